package platform

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// WorkerConfig is the configuration of a stand-in for a worker.
type WorkerConfig struct {
	Instance     string
	Capacity     resource.Vector
	Slots        int
	Connections  int
	EndpointHost string
	// Runtime is the running time of a batch task.
	Runtime time.Duration
	// Service is the service time of a request on an idle VM.
	Service time.Duration
	// UsageLag is the age of usage reports.
	UsageLag time.Duration
}

// Worker is a stand-in for a worker. It records its own history, against which tests check invariants.
type Worker struct {
	WorkerConfig
	faults Faults

	mu            sync.Mutex
	runs          map[worker.RunWire]*workerRun
	spans         []Span
	overcommitted int
	failAll       bool
	noCheckpoints bool
	hang          bool
	endpoints     *endpoints
}

type workerRun struct {
	order      worker.OrderWire
	state      task.State
	progress   float64
	reference  string
	percent    int
	lease      time.Time
	advancedAt time.Time
	endpoint   *endpoint
	span       int
}

// Span is the time of a run on the worker, in milliseconds since 1970; Until is 0 while it runs.
type Span struct {
	Worker string         `json:"worker"`
	Run    worker.RunWire `json:"run"`
	From   int64          `json:"from"`
	Until  int64          `json:"until"`
	Start  float64        `json:"start_progress"`
	End    float64        `json:"end_progress"`
	State  string         `json:"state"`
}

// WorkerHistory is the history of a worker.
type WorkerHistory struct {
	Spans []Span `json:"spans"`
	// Overcommitted counts the starts after which the runs exceeded the capacity of the VM.
	Overcommitted int            `json:"over_committed"`
	Executed      map[string]int `json:"executed"`
}

const tickInterval = 20 * time.Millisecond

// NewWorker returns a worker without runs.
func NewWorker(config WorkerConfig) *Worker {
	w := &Worker{WorkerConfig: config, runs: make(map[worker.RunWire]*workerRun), endpoints: newEndpoints()}
	go w.tickLoop()
	return w
}

// Handle serves the worker's protocol, and its faults under /control/.
func (w *Worker) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/control/books":
		w.mu.Lock()
		history := WorkerHistory{Spans: append([]Span{}, w.spans...), Overcommitted: w.overcommitted, Executed: w.endpoints.counts()}
		w.mu.Unlock()
		writeJSON(ctx, history)
	case path == "/control/set":
		w.set(ctx)
	case strings.HasPrefix(path, "/control/"):
		w.faults.Control(ctx)
	case w.faults.Enter(ctx):
		w.call(ctx, strings.TrimPrefix(path, "/v1/"))
	}
}

// set takes fail=yes, saves=no, hang=yes, runtime=MS, service=MS and answer=FAULT.
func (w *Worker) set(ctx *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, value := range ctx.QueryArgs().All() {
		millis, _ := strconv.Atoi(string(value))
		yes := string(value) == "yes"
		switch string(key) {
		case "fail":
			w.failAll = yes
		case "saves":
			w.noCheckpoints = !yes
		case "hang":
			w.hang = yes
		case "runtime":
			w.Runtime = time.Duration(millis) * time.Millisecond
		case "service":
			w.endpoints.setService(time.Duration(millis) * time.Millisecond)
		case "answer":
			w.endpoints.setFault(string(value))
		default:
			ctx.Error("no such setting", fasthttp.StatusBadRequest)
		}
	}
}

func (w *Worker) call(ctx *fasthttp.RequestCtx, verb string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch verb {
	case "describe":
		writeJSON(ctx, worker.DescriptionWire{
			Instance: w.Instance, Capacity: worker.EncodeSize(w.Capacity), Slots: w.Slots, Connections: w.Connections,
		})
	case "list":
		w.list(ctx)
	case "start":
		w.start(ctx)
	case "renew":
		w.renew(ctx)
	case "usage":
		w.usage(ctx)
	case "throttle":
		var t worker.ThrottleWire
		if r := w.find(ctx, &t, &t.Run); r != nil {
			r.percent = t.Percent
		}
	case "checkpoint", "stop", "forget":
		var run worker.RunWire
		if r := w.find(ctx, &run, &run); r != nil {
			w.end(r, run, verb)
		}
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (w *Worker) find(ctx *fasthttp.RequestCtx, message any, run *worker.RunWire) *workerRun {
	if err := json.Unmarshal(ctx.Request.Body(), message); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return nil
	}
	r, ok := w.runs[*run]
	if !ok {
		ctx.Error("no such run", fasthttp.StatusNotFound)
		return nil
	}
	return r
}

func (w *Worker) list(ctx *fasthttp.RequestCtx) {
	statuses := []worker.StatusWire{}
	for run, r := range w.runs {
		status := worker.StatusWire{
			Run: run, Workload: r.order.Workload, State: r.state.String(), Size: r.order.Size,
			Checkpoint: r.reference, Progress: r.progress,
		}
		if r.endpoint != nil {
			status.Address = r.endpoint.address
		}
		statuses = append(statuses, status)
	}
	writeJSON(ctx, statuses)
}

func (w *Worker) start(ctx *fasthttp.RequestCtx) {
	var order worker.OrderWire
	if err := json.Unmarshal(ctx.Request.Body(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if _, ok := w.runs[order.Run]; ok {
		return
	}
	now := time.Now()
	r := &workerRun{
		order: order, state: task.Running, reference: order.Checkpoint, percent: 100, advancedAt: now,
		lease: now.Add(time.Duration(order.LeaseMillis) * time.Millisecond), span: len(w.spans),
	}
	if order.Checkpoint != "" {
		r.progress, _ = strconv.ParseFloat(strings.TrimPrefix(order.Checkpoint, "progress-"), 64)
	}
	if order.Service {
		e, err := w.endpoints.open(w.EndpointHost, w.Service, w.pressure)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		r.endpoint = e
	}
	w.runs[order.Run] = r
	w.spans = append(w.spans, Span{Worker: w.Instance, Run: order.Run, From: now.UnixMilli(), Start: r.progress})
	if !w.used().Fits(w.Capacity) {
		w.overcommitted++
	}
}

// used returns the capacity used by the runs; w.mu is held.
func (w *Worker) used() resource.Vector {
	var used resource.Vector
	for _, r := range w.runs {
		if !r.state.IsFinal() {
			used = used.Add(r.order.Size.Decode())
		}
	}
	return used
}

func (w *Worker) renew(ctx *fasthttp.RequestCtx) {
	var renewal worker.RenewWire
	if err := json.Unmarshal(ctx.Request.Body(), &renewal); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	for _, run := range renewal.Runs {
		if r, ok := w.runs[run]; ok {
			r.lease = time.Now().Add(time.Duration(renewal.LeaseMillis) * time.Millisecond)
		}
	}
}

func (w *Worker) usage(ctx *fasthttp.RequestCtx) {
	usages := []worker.UsageWire{}
	for run, r := range w.runs {
		if r.state == task.Running {
			usages = append(usages, worker.UsageWire{Run: run, Used: r.order.Size})
		}
	}
	writeJSON(ctx, usages)
}

// end checkpoints, stops or forgets a run; w.mu is held.
func (w *Worker) end(r *workerRun, run worker.RunWire, verb string) {
	switch {
	case verb == "forget":
		if r.state.IsFinal() {
			delete(w.runs, run)
		}
	case r.state.IsFinal():
	case verb == "checkpoint" && !w.noCheckpoints:
		r.reference = "progress-" + strconv.FormatFloat(r.progress, 'f', 6, 64)
		w.close(r, task.Checkpointed)
	case verb == "stop":
		w.close(r, task.Stopped)
	}
}

// close ends a run; w.mu is held.
func (w *Worker) close(r *workerRun, state task.State) {
	r.state = state
	span := &w.spans[r.span]
	span.Until, span.End, span.State = time.Now().UnixMilli(), r.progress, state.String()
	if r.endpoint != nil {
		r.endpoint.close()
	}
}

func (w *Worker) tickLoop() {
	for now := range time.Tick(tickInterval) {
		w.mu.Lock()
		for _, r := range w.runs {
			w.advance(r, now)
		}
		w.mu.Unlock()
	}
}

// advance advances a run and ends it if it is due; w.mu is held.
func (w *Worker) advance(r *workerRun, now time.Time) {
	if r.state != task.Running {
		return
	}
	elapsed := now.Sub(r.advancedAt)
	r.advancedAt = now
	switch {
	case now.After(r.lease):
		w.close(r, task.Stopped)
	case r.order.Service || w.hang:
	case w.failAll:
		w.close(r, task.Failed)
	default:
		r.progress += elapsed.Seconds() / w.Runtime.Seconds() * float64(r.percent) / 100
		if r.progress >= 1 {
			r.progress = 1
			w.close(r, task.Finished)
		}
	}
}

// pressure returns the share of the VM's processors that batch tasks use.
func (w *Worker) pressure() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := 0.0
	for _, r := range w.runs {
		if r.state == task.Running && !r.order.Service {
			used += float64(r.order.Size.Processors) * float64(r.percent) / 100
		}
	}
	return used / float64(max(w.Capacity.Processors(), 1))
}
