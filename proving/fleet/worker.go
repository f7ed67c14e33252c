package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// heartbeatEvery is how often a worker reports to the agent beside it.
	heartbeatEvery = 300 * time.Millisecond
	// longestHold is the longest time for which a worker lets itself be held, as on the users' sites.
	longestHold = 6 * time.Second
	// wake is how often a worker looks for what has ended.
	wake = 10 * time.Millisecond
)

// Worker stands in for a worker of the platform. It does not guard its room, so that a start beyond it shows.
type Worker struct {
	name    string
	books   *Books
	agent   string
	room    job.Size
	service string
	ended   chan struct{}

	mu   sync.Mutex
	life *life
	// silent makes it answer nothing, late does orders without an answer some time later.
	silent bool
	late   time.Duration
	lives  int
}

// life is one life of a worker.
type life struct {
	instance string
	began    time.Time
	sequence uint64
	fence    uint64
	held     time.Time
	running  map[job.TaskID]*run
	latest   map[job.TaskID]int
	ends     []ending
	next     uint64
}

type run struct {
	number  int
	step    job.Step
	left    time.Duration
	looked  time.Time
	percent int
}

type ending struct {
	number uint64
	task   job.TaskID
	run    int
	how    job.End
	// lapsed says that the worker's time was over after the end, before it was taken note of.
	lapsed bool
}

// NewWorker returns a worker that reports to an agent; Run lets it live.
func NewWorker(name, service, agent string, room job.Size, books *Books) *Worker {
	w := &Worker{name: name, books: books, agent: agent, room: room, service: service, ended: make(chan struct{})}
	w.revive()
	return w
}

// Crash kills all that runs and begins a new life.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revive()
}

func (w *Worker) revive() {
	if w.life != nil {
		for id := range w.life.running {
			w.books.ended(w.life.instance, id, false)
		}
	}
	w.lives++
	w.life = &life{
		instance: fmt.Sprintf("i-%s-%d", w.name, w.lives), began: time.Now(),
		running: make(map[job.TaskID]*run), latest: make(map[job.TaskID]int),
	}
}

// SetSilent makes the worker answer and report nothing; what it runs goes on.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// SetLate makes the worker do every other order that much later, without an answer; 0 ends that.
func (w *Worker) SetLate(late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = late
}

// Run reports to the agent and ends what is due until stop is closed.
func (w *Worker) Run(stop <-chan struct{}) {
	defer close(w.ended)
	ticker := time.NewTicker(wake)
	defer ticker.Stop()
	var reported time.Time
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance()
		due := !w.silent && time.Since(reported) >= heartbeatEvery
		w.mu.Unlock()
		if due {
			reported = time.Now()
			go w.report()
		}
	}
}

func (w *Worker) report() {
	w.mu.Lock()
	w.life.sequence++
	l := w.life
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": "", "zone": "", "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": w.room.CPU, "mem-mb": w.room.Memory}, "labels": []string{"a", "r1-1"},
		"clock-ms": l.clock(), "sequence": l.sequence,
	})
	w.mu.Unlock()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.agent + "/instances/" + l.instance + "/heartbeat")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	// An agent that does not answer is asked again with the next report.
	_ = fasthttp.DoTimeout(request, response, time.Second)
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() }

// advance ends what is done or over; w.mu is held.
func (w *Worker) advance() {
	now, l := time.Now(), w.life
	over := !l.held.IsZero() && now.After(l.held)
	if over {
		for i := range l.ends {
			l.ends[i].lapsed = true
		}
	}
	for id, r := range l.running {
		r.left -= now.Sub(r.looked) * time.Duration(r.percent) / 100
		r.looked = now
		switch {
		case over:
			w.end(id, job.EndLapsed)
		case r.left <= 0 && !r.step.Lasting:
			w.end(id, job.EndDone)
		}
	}
}

func (w *Worker) end(id job.TaskID, how job.End) {
	l := w.life
	r := l.running[id]
	delete(l.running, id)
	l.next++
	l.ends = append(l.ends, ending{number: l.next, task: id, run: r.number, how: how})
	w.books.ended(l.instance, id, how == job.EndDone)
}

// order is the body of a call about a run.
type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Text    string `json:"spec"`
	Until   int64  `json:"until-ms"`
	Fence   uint64 `json:"fence"`
	Seen    uint64 `json:"last-seen"`
	Wait    int64  `json:"wait-ms"`
	Percent int    `json:"percent"`
}

// Handle serves the worker's protocol.
func (w *Worker) Handle(ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	w.mu.Lock()
	silent, late, l := w.silent, w.late, w.life
	w.mu.Unlock()
	if expected := string(ctx.Request.Header.Peek("X-Expect-Instance")); expected != "" && expected != l.instance {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	path := string(ctx.Path())
	switch {
	case silent:
		lose(ctx)
	case path == "/hold":
		w.hold(ctx, l, o)
	case late > 0 && o.Run%2 == 1:
		time.AfterFunc(late, func() { w.carryOut(path, l, o) })
		lose(ctx)
	default:
		answer(ctx, l, w.carryOut(path, l, o))
	}
}

// lose breaks the connection in place of an answer.
func lose(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func answer(ctx *fasthttp.RequestCtx, l *life, reason string) {
	body := map[string]any{"clock-ms": l.clock()}
	if reason != "" {
		body["reason"] = reason
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	write(ctx, body)
}

// carryOut does an order, unless its life is over, and returns why not.
func (w *Worker) carryOut(path string, l *life, o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	id, ok := job.ParseTaskID(o.Task)
	switch {
	case w.life != l || o.Fence < l.fence:
		return "fence"
	case !ok:
		return "old"
	}
	l.fence = max(l.fence, o.Fence)
	switch path {
	case "/run-start":
		return w.start(l, id, o)
	case "/run-stop":
		w.stop(l, id, o.Run)
	case "/pace":
		if r := l.running[id]; r != nil && r.number == o.Run {
			r.percent = o.Percent
		}
	}
	return ""
}

func (w *Worker) start(l *life, id job.TaskID, o order) string {
	r := l.running[id]
	switch {
	case r != nil && r.number == o.Run:
		l.prolong(o.Until)
		return ""
	case o.Run <= l.latest[id]:
		l.prolong(o.Until)
		return "old"
	case o.Until <= l.clock():
		return "late"
	}
	l.prolong(o.Until)
	l.latest[id] = o.Run
	step, takes, known := w.books.step(id)
	l.running[id] = &run{number: o.Run, step: step, left: takes, looked: time.Now(), percent: 100}
	w.books.started(l.instance, id, o.Run, o.Text)
	if used := l.used(); known && !used.Fits(w.room) {
		w.books.overfull(l.instance, id)
	}
	return ""
}

func (l *life) used() job.Size {
	var used job.Size
	for _, r := range l.running {
		used = used.Plus(r.step.Room())
	}
	return used
}

func (l *life) prolong(until int64) {
	end := l.began.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(longestHold); end.After(latest) {
		end = latest
	}
	if end.After(l.held) {
		l.held = end
	}
}

func (w *Worker) stop(l *life, id job.TaskID, number int) {
	l.latest[id] = max(l.latest[id], number)
	if r := l.running[id]; r != nil && r.number == number {
		w.end(id, job.EndStopped)
	}
}

// hold renews what runs and answers once there is an end, or after a wait.
func (w *Worker) hold(ctx *fasthttp.RequestCtx, l *life, o order) {
	reason := w.renew(l, o)
	if reason != "" {
		answer(ctx, l, reason)
		return
	}
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for {
		w.mu.Lock()
		news := len(l.ends) > 0
		body := l.view()
		w.mu.Unlock()
		if news || time.Now().After(deadline) {
			write(ctx, body)
			return
		}
		<-time.After(wake)
	}
}

func (w *Worker) renew(l *life, o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.life != l || o.Fence < l.fence {
		return "fence"
	}
	l.fence = max(l.fence, o.Fence)
	if o.Until > 0 {
		l.prolong(o.Until)
	}
	l.ends = slices.DeleteFunc(l.ends, func(e ending) bool {
		if e.number > o.Seen {
			return false
		}
		if e.how == job.EndDone && !e.lapsed {
			w.books.noted(e.task)
		}
		return true
	})
	return ""
}

func (l *life) view() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for id, r := range l.running {
		running = append(running, []any{id.String(), r.number, "", r.progress(), r.step.Size.CPU})
	}
	for _, e := range l.ends {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.how.String(), ""})
	}
	return map[string]any{"clock-ms": l.clock(), "running": running, "ended": ended}
}

// progress returns how far a run is in percent; what lasts is at work at once.
func (r *run) progress() int {
	if r.step.Lasting || r.step.Estimate == 0 {
		return 100
	}
	return 100 - int(100*r.left/r.step.Estimate)
}

// workOf returns how long a task works, which callers write into its text as "work=800ms".
func workOf(text string) time.Duration {
	_, rest, _ := strings.Cut(text, "work=")
	d, err := time.ParseDuration(strings.Fields(rest + " 0s")[0])
	if err != nil {
		return 0
	}
	return d
}
