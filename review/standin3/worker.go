package main

import (
	"bytes"
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
	// maxHold is the longest lease, stopTime how long a stop takes, saveInterval the time between two checkpoints, restoreTime the time to continue
	// from one, startupTime that until a lasting task is at work, failTime that until a task of a failing worker fails.
	maxHold      = 6 * time.Second
	stopTime     = 50 * time.Millisecond
	saveInterval = 500 * time.Millisecond
	restoreTime  = 100 * time.Millisecond
	startupTime  = 300 * time.Millisecond
	failTime     = 100 * time.Millisecond
	pollInterval = 10 * time.Millisecond
)

// step is a step of a job as the client sends it, with what its tasks do.
type step struct {
	Count     int    `json:"count"`
	CPU       int    `json:"cpu"`
	Memory    int    `json:"mem-mb"`
	Estimate  int64  `json:"estimate-ms,omitempty"`
	DependsOn []int  `json:"depends-on,omitempty"`
	Saves     bool   `json:"saves-progress,omitempty"`
	Requires  string `json:"requires,omitempty"`
	AtMost    int    `json:"anti-affinity,omitempty"`
	Lasts     bool   `json:"long-running,omitempty"`
	Image     string `json:"image,omitempty"`
	TargetMS  int    `json:"target_ms,omitempty"`
	Fills     bool   `json:"fills,omitempty"`
	MayMiss   int    `json:"may_miss,omitempty"`
	// work is how long a task works.
	work time.Duration
}

// room returns the processors that a task takes of a worker's room.
func (s step) room() int {
	if s.Fills {
		return 0
	}
	return s.CPU
}

type run struct {
	task               string
	number             int
	step               step
	done               time.Duration
	waits              time.Duration
	saved              string
	savedAt            time.Duration
	percent            int
	startedAt, movedAt time.Time
	stopAt             time.Time
	fails              bool
}

type ended struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

// worker is a sound stand-in of a worker that checks its room.
type worker struct {
	name, address, agent, hall string
	labels                     []string
	cpu, memory                int
	world                      *world

	mu       sync.Mutex
	id       string
	lives    int
	born     time.Time
	sequence int
	fence    uint64
	leaseEnd time.Time
	running  map[string]*run
	last     map[string]int
	ends     []ended
	lastEnd  int
	down     bool
	failing  bool
	server   *http.Server
}

func (w *worker) start() error {
	if err := w.begin(); err != nil {
		return err
	}
	go w.report()
	go func() {
		for range time.Tick(pollInterval) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	return nil
}

// begin starts a life of the worker with a new id.
func (w *worker) begin() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.lives)
	w.born, w.sequence, w.fence, w.leaseEnd = time.Now(), 0, 0, time.Time{}
	w.running, w.last, w.ends, w.lastEnd, w.down = make(map[string]*run), make(map[string]int), nil, 0, false
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	return nil
}

// crash ends the worker with all that runs there; after a time it starts again with a new id.
func (w *worker) crash(downtime time.Duration) {
	w.mu.Lock()
	w.world.note("crash    worker=%s id=%s running=%d", w.name, w.id, len(w.running))
	w.down = true
	for _, r := range w.running {
		w.world.ended(w, r, "lost")
	}
	w.running, w.ends = make(map[string]*run), nil
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(downtime, func() {
		for w.begin() != nil {
			time.Sleep(pollInterval)
		}
		w.world.note("back     worker=%s", w.name)
		w.heartbeat()
	})
}

// report sends the heartbeats.
func (w *worker) report() {
	for {
		w.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

func (w *worker) heartbeat() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.sequence++
	id := w.id
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": w.hall, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem-mb": w.memory, "gpu": 0}, "labels": w.labels, "clock-ms": w.clock(), "sequence": w.sequence,
	})
	w.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.agent+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until-ms"`
	Fence    uint64 `json:"fence"`
	Saved    string `json:"last-checkpoint"`
	LastSeen int    `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
	Percent  *int   `json:"percent"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !read(rw, r, &o) {
		return
	}
	w.mu.Lock()
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != w.id:
		w.mu.Unlock()
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	case o.Fence < w.fence:
		clock := w.clock()
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": "fence"})
		return
	}
	w.fence = o.Fence
	w.advance()
	reason := ""
	switch r.URL.Path {
	case "/run-start":
		reason = w.startRun(o)
	case "/run-stop":
		w.stopRun(o)
	case "/pace":
		if task := w.running[o.Task]; task != nil && task.number == o.Run && o.Percent != nil {
			task.percent = *o.Percent
		}
	case "/hold":
		w.hold(rw, r, o)
		return
	}
	clock := w.clock()
	w.mu.Unlock()
	if reason != "" {
		answer(rw, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": reason})
		return
	}
	answer(rw, http.StatusOK, map[string]any{"clock-ms": clock})
}

// extend moves the end of the lease, which is never shortened; w.mu is held.
func (w *worker) extend(until int64) {
	end := w.born.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if until > 0 && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// startRun starts a run and returns why not, if it doesn't; w.mu is held.
func (w *worker) startRun(o order) string {
	s, known := w.world.step(o.Task)
	present := w.running[o.Task]
	taken := 0
	for _, r := range w.running {
		taken += r.step.room()
	}
	switch {
	case present != nil && present.number == o.Run:
		w.extend(o.Until)
		return ""
	case o.Run <= w.last[o.Task] || present != nil:
		w.extend(o.Until)
		return "old"
	case o.Until <= w.clock():
		return "late"
	case taken+s.room() > w.cpu:
		w.extend(o.Until)
		return "room"
	}
	w.extend(o.Until)
	w.last[o.Task] = o.Run
	r := &run{task: o.Task, number: o.Run, step: s, percent: 100, startedAt: time.Now(), movedAt: time.Now(), fails: w.failing, saved: o.Saved}
	if o.Saved != "" {
		millis, _ := strconv.ParseInt(o.Saved, 16, 64)
		r.done, r.waits = time.Duration(millis)*time.Millisecond, restoreTime
		r.savedAt = r.done
	}
	w.running[o.Task] = r
	w.world.started(w, r, known)
	return ""
}

// stopRun begins the stop of a run; w.mu is held.
func (w *worker) stopRun(o order) {
	w.last[o.Task] = max(w.last[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
		w.world.stopping(w, r)
		r.stopAt = time.Now().Add(stopTime)
	}
}

// progress returns the progress of a run in percent.
func (r *run) progress() int {
	if r.step.Lasts {
		if time.Since(r.startedAt) >= startupTime {
			return 100
		}
		return 50
	}
	return int(100 * r.done / max(r.step.work, 1))
}

// advance moves all runs on and ends those that are over; w.mu is held.
func (w *worker) advance() {
	now := time.Now()
	lapsed := !w.leaseEnd.IsZero() && now.After(w.leaseEnd)
	for _, r := range w.running {
		passed := now.Sub(r.movedAt)
		r.movedAt = now
		if r.waits > 0 {
			r.waits -= passed
			passed = 0
		}
		r.done += passed * time.Duration(r.percent) / 100
		if r.step.Saves && r.done-r.savedAt >= saveInterval {
			r.savedAt = r.done
			r.saved = fmt.Sprintf("%016x", r.done.Milliseconds())
		}
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero():
			if now.After(r.stopAt) {
				if r.step.Saves {
					r.saved = fmt.Sprintf("%016x", r.done.Milliseconds())
				}
				w.end(r, "stopped")
			}
		case r.fails && now.Sub(r.startedAt) >= failTime:
			w.end(r, "failed")
		case !r.step.Lasts && r.done >= r.step.work:
			w.end(r, "done")
		}
	}
}

// end ends a run and lists its end; w.mu is held.
func (w *worker) end(r *run, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.ends = append(w.ends, ended{number: w.lastEnd, task: r.task, run: r.number, how: how, saved: r.saved})
	w.world.ended(w, r, how)
}

// hold answers once an end is listed or the wait is over; w.mu is held, and released by it.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.Until)
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.world.noted(w.ends[0])
		w.ends = w.ends[1:]
	}
	id, deadline := w.id, time.Now().Add(time.Duration(o.Wait)*time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(deadline) && w.id == id && !w.down {
		w.mu.Unlock()
		time.Sleep(pollInterval)
		w.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for _, t := range w.running {
		figure := t.step.CPU * t.percent / 100
		running = append(running, []any{t.task, t.number, t.saved, t.progress(), figure})
	}
	for _, e := range w.ends[:min(len(w.ends), maxPage)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"clock-ms": w.clock(), "running": running, "ended": ends}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

// jobOf returns the job and the step number in a task's name.
func jobOf(task string) (string, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	n, _ := strconv.Atoi(parts[2])
	return parts[0], n
}

// failTasks ends the tasks of a job by their own fault, as lasting tasks may at any time.
func (w *worker) failTasks(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		if job, _ := jobOf(r.task); job == id {
			w.end(r, "failed")
		}
	}
}

// setFailing makes the worker fail all that it starts, or ends this.
func (w *worker) setFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.world.note("failing  worker=%s %t", w.name, failing)
	w.failing = failing
}
