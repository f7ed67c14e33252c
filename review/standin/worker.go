package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	tickInterval      = 5 * time.Millisecond
	maxHold           = 6 * time.Second
	maxWait           = 2 * time.Second
	// gangWait is how long the members of a gang wait for the others (gang_ms).
	gangWait = 3 * time.Second
	// greyDelay is how long a task runs on a worker that fails all that it starts.
	greyDelay = 20 * time.Millisecond
	// maxEnds is how many ends one answer lists.
	maxEnds = 500
)

// step is what a worker needs to know of a step of a job that a client sent.
type step struct {
	Count       int
	CPU, Memory int
	Work        time.Duration
	Gang        bool
}

// catalog has the jobs that clients sent, and the gangs whose members wait for each other. All workers share it.
type catalog struct {
	record *record

	mu    sync.Mutex
	steps map[string]step
	// gangs counts the members of each run of a gang that are present, by "ID.K.STEP/RUN".
	gangs map[string]*gang
}

// gang is one run of a gang.
type gang struct {
	present map[string]bool
	begun   bool
	// ended is how the first member ended.
	ended string
}

func newCatalog(r *record) *catalog {
	return &catalog{record: r, steps: make(map[string]step), gangs: make(map[string]*gang)}
}

func (c *catalog) addStep(id string, number int, s step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps[fmt.Sprintf("%s.%d", id, number)] = s
}

// stepOf returns the step of a task named ID.K.STEP.INDEX.
func (c *catalog) stepOf(task string) (step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.steps[parts[0]+"."+parts[2]]
	return s, ok
}

// gangOf returns the gang run that a task's run belongs to; c.mu is held.
func (c *catalog) gangOf(task string, run int) *gang {
	name := task[:strings.LastIndexByte(task, '.')] + "/" + strconv.Itoa(run)
	if c.gangs[name] == nil {
		c.gangs[name] = &gang{present: make(map[string]bool)}
	}
	return c.gangs[name]
}

// worker is a stand-in for a worker of the users' service.
type worker struct {
	name    string
	address string
	agent   string
	rack    string
	cpu     int
	memory  int
	catalog *catalog
	record  *record

	mu       sync.Mutex
	life     int
	id       string
	start    time.Time
	sequence uint64
	fence    uint64
	leaseEnd time.Time
	running  map[string]*run
	// highest is the highest run of each task that was started, stopped or ended in this life.
	highest map[string]int
	ended   []end
	lastEnd uint64
	changed chan struct{}
	// down is set once the worker is lost, grey while it fails all that it starts.
	down, grey bool
	server     *http.Server
}

// run is a run in progress.
type run struct {
	number    int
	step      step
	startedAt time.Time
	begunAt   time.Time
}

// end is the end of a run that is not acknowledged yet.
type end struct {
	number uint64
	task   string
	run    int
	how    string
}

func newWorker(name, address, agent, rack string, cpu, memory int, c *catalog) *worker {
	return &worker{
		name: name, address: address, agent: agent, rack: rack, cpu: cpu, memory: memory, catalog: c, record: c.record, changed: make(chan struct{}),
	}
}

// live starts the next life of the worker.
func (w *worker) live() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.life)
	w.start, w.sequence, w.fence, w.leaseEnd, w.lastEnd = time.Now(), 0, 0, time.Time{}, 0
	w.running, w.highest, w.ended, w.down = make(map[string]*run), make(map[string]int), nil, false
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.record.line("%s lives as %s", w.name, w.id)
	return nil
}

// crash ends the worker's life with all that runs there; its connections are reset and its port is closed.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	for task, r := range w.running {
		w.record.line("%s crashes under %s run %d after %d ms", w.name, task, r.number, time.Since(r.startedAt).Milliseconds())
		w.leave(task, r, "lost")
	}
	w.running, w.ended, w.down = make(map[string]*run), nil, true
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// serve sends heartbeats and advances the runs until ctx ends.
func (w *worker) serve(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance(time.Now())
		due := !w.down && time.Since(reportedAt) >= heartbeatInterval
		w.mu.Unlock()
		if due {
			reportedAt = time.Now()
			go w.heartbeat()
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.start).Milliseconds() }

func (w *worker) heartbeat() {
	w.mu.Lock()
	w.sequence++
	id := w.id
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": "hall-a", "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem-mb": w.memory, "gpu": 0}, "labels": []string{"a", w.rack},
		"clock-ms": w.clock(), "sequence": w.sequence,
	})
	w.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.agent+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

// advance ends the runs that are due; w.mu is held.
func (w *worker) advance(now time.Time) {
	if w.down {
		return
	}
	lapsed := !w.leaseEnd.IsZero() && now.After(w.leaseEnd)
	var failed []string
	for task, r := range w.running {
		how := w.dueEnd(task, r, now, lapsed)
		switch how {
		case "":
		case "failed":
			failed = append(failed, task)
		default:
			w.finish(task, r, how)
		}
	}
	// The runs that such a worker fails at one moment end together.
	for _, task := range failed {
		w.finish(task, w.running[task], "failed")
	}
}

// dueEnd returns how a run ends now, empty if it goes on; w.mu is held.
func (w *worker) dueEnd(task string, r *run, now time.Time, lapsed bool) string {
	if lapsed {
		return "lapsed"
	}
	if r.step.Gang {
		if how := w.gangEnd(task, r, now); how != "" || r.begunAt.IsZero() {
			return how
		}
	}
	switch {
	case w.grey && now.Sub(r.begunAt) >= greyDelay:
		return "failed"
	case now.Sub(r.begunAt) >= r.step.Work:
		return "done"
	}
	return ""
}

// gangEnd lets a member of a gang begin once all are present, and returns how it ends by the others' doing; w.mu is held.
func (w *worker) gangEnd(task string, r *run, now time.Time) string {
	w.catalog.mu.Lock()
	defer w.catalog.mu.Unlock()
	g := w.catalog.gangOf(task, r.number)
	switch {
	case g.ended == "done":
		return "done"
	case g.ended != "":
		return "broken"
	case !g.begun && len(g.present) == r.step.Count:
		g.begun = true
	case !g.begun && now.Sub(r.startedAt) >= gangWait:
		return "alone"
	}
	if g.begun && r.begunAt.IsZero() {
		r.begunAt = now
	}
	return ""
}

// leave records in the run's gang that a member has ended; w.mu is held.
func (w *worker) leave(task string, r *run, how string) {
	if !r.step.Gang {
		return
	}
	w.catalog.mu.Lock()
	defer w.catalog.mu.Unlock()
	g := w.catalog.gangOf(task, r.number)
	delete(g.present, task)
	if g.ended == "" && g.begun {
		g.ended = how
	}
}

// finish ends a run and lists its end; w.mu is held.
func (w *worker) finish(task string, r *run, how string) {
	w.leave(task, r, how)
	delete(w.running, task)
	w.lastEnd++
	w.ended = append(w.ended, end{number: w.lastEnd, task: task, run: r.number, how: how})
	w.record.end(w.name, task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of a call to the worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen uint64 `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (w *worker) handle(writer http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.advance(time.Now())
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < w.fence {
		w.mu.Unlock()
		answer(writer, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": "fence"})
		return
	}
	w.fence = o.Fence
	if r.URL.Path == "/hold" {
		w.hold(writer, r, o)
		return
	}
	defer w.mu.Unlock()
	switch r.URL.Path {
	case "/run-start":
		w.startRun(writer, o)
	case "/run-stop":
		w.stopRun(writer, o)
	case "/pace":
		answer(writer, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease to a time on the worker's clock, at most by maxHold; w.mu is held.
func (w *worker) extend(until int64) {
	until = min(until, w.clock()+maxHold.Milliseconds())
	if end := w.start.Add(time.Duration(until) * time.Millisecond); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) used() (cpu, memory int) {
	for _, r := range w.running {
		cpu += r.step.CPU
		memory += r.step.Memory
	}
	return cpu, memory
}

func (w *worker) startRun(writer http.ResponseWriter, o order) {
	refuse := func(reason string) {
		w.record.line("%s refuses %s run %d: %s", w.name, o.Task, o.Run, reason)
		answer(writer, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason})
	}
	s, known := w.catalog.stepOf(o.Task)
	cpu, memory := w.used()
	r := w.running[o.Task]
	switch {
	case !known:
		writer.WriteHeader(http.StatusBadRequest)
		return
	case r != nil && r.number == o.Run:
	case o.Run <= w.highest[o.Task]:
		w.extend(o.Until)
		refuse("old")
		return
	case o.Until <= w.clock():
		refuse("late")
		return
	case cpu+s.CPU > w.cpu || memory+s.Memory > w.memory:
		w.extend(o.Until)
		refuse("room")
		return
	default:
		now := time.Now()
		r = &run{number: o.Run, step: s, startedAt: now}
		if !s.Gang {
			r.begunAt = now
		}
		w.running[o.Task], w.highest[o.Task] = r, o.Run
		if s.Gang {
			w.catalog.mu.Lock()
			w.catalog.gangOf(o.Task, o.Run).present[o.Task] = true
			w.catalog.mu.Unlock()
		}
		w.record.start(w.name, o.Task, o.Run)
	}
	w.extend(o.Until)
	answer(writer, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

func (w *worker) stopRun(writer http.ResponseWriter, o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		w.finish(o.Task, r, "stopped")
	}
	answer(writer, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

// hold renews the lease, drops the acknowledged ends and answers once an end is listed or the wait is over. It unlocks w.mu.
func (w *worker) hold(writer http.ResponseWriter, r *http.Request, o order) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	timeout := time.NewTimer(min(time.Duration(o.Wait)*time.Millisecond, maxWait))
	defer timeout.Stop()
	waiting := o.Wait > 0
	for waiting && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", r.percent(time.Now()), r.step.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	clock := w.clock()
	w.mu.Unlock()
	answer(writer, http.StatusOK, map[string]any{"clock-ms": clock, "running": running, "ended": ended})
}

func (r *run) percent(now time.Time) int {
	if r.begunAt.IsZero() || r.step.Work == 0 {
		return 0
	}
	return int(100 * min(now.Sub(r.begunAt), r.step.Work) / r.step.Work)
}
