package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

type size struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem-mb"`
	GPU    int `json:"gpu"`
}

func (s size) plus(o size) size { return size{s.CPU + o.CPU, s.Memory + o.Memory, s.GPU + o.GPU} }
func (s size) fits(o size) bool { return s.CPU <= o.CPU && s.Memory <= o.Memory && s.GPU <= o.GPU }

// behavior is what a run does: it ends after a duration with an outcome, or lasts if the duration is 0.
type behavior struct {
	duration time.Duration
	how      string
	size     size
	// atStop is the checkpoint that a stopped run leaves, empty for a step that saves no progress.
	atStop string
	// measure returns the fifth entry of the run's row.
	measure func() int
}

type run struct {
	task     string
	number   int
	begun    time.Time
	behavior behavior
	pace     int
	ended    bool
}

type ended struct {
	sequence uint64
	task     string
	number   int
	how      string
	saved    string
}

// maxEnds is how many ends the worker lists at once.
const maxEnds = 500

// worker is a stand-in of one worker on a side machine.
type worker struct {
	name     string
	address  string
	control  string
	service  string
	labels   []string
	capacity size
	record   *record
	behave   func(w *worker, task string, number int) behavior
	listener net.Listener
	// ticket returns the ticket that a start of a task on a life of the worker has to bring; nil for queues without advice.
	ticket func(life, task string) string

	mu       sync.Mutex
	id       string
	life     int
	up       bool
	born     time.Time
	fence    uint64
	until    time.Duration
	sequence uint64
	last     uint64
	runs     map[string]*run
	highest  map[string]int
	ends     []ended
	changed  chan struct{}
	beats    uint64
	draining bool
	// remaining is when a draining worker is gone.
	remaining time.Time
	conns     map[net.Conn]bool
}

func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.life++
	w.id, w.born, w.up = fmt.Sprintf("i-%s-%d", w.name, w.life), time.Now(), true
	w.fence, w.until, w.sequence, w.last, w.beats = 0, 0, 0, 0, 0
	w.runs, w.highest, w.ends, w.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	w.listener, w.conns = l, map[net.Conn]bool{}
	server := &http.Server{Handler: w, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if s == http.StateClosed {
			delete(w.conns, c)
		} else if w.listener == l {
			w.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	go w.beat(w.life)
	go w.watchLease(w.life)
	return nil
}

// crash ends the worker at once, with all that runs there.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	for _, r := range w.runs {
		r.ended = true
		w.record.add("lost", w, r.task, r.number, "worker crashed")
	}
	w.runs = map[string]*run{}
	w.record.add("crash", w, "", 0, "")
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + 5*time.Second }

func (w *worker) beat(life int) {
	for w.report(life) {
		time.Sleep(1100 * time.Millisecond)
	}
}

// report sends one heartbeat of a life, and reports whether that life goes on.
func (w *worker) report(life int) bool {
	client := &http.Client{Timeout: time.Second}
	w.mu.Lock()
	if !w.up || w.life != life {
		w.mu.Unlock()
		return false
	}
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	account := map[string]any{
		"service": w.service, "address": w.address, "zone": "cba-a", "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0,
		"capacity": w.capacity, "labels": w.labels, "clock-ms": w.clock().Milliseconds(), "sequence": w.beats,
	}
	if w.draining {
		account["remaining-ms"] = max(time.Until(w.remaining).Milliseconds(), 0)
	}
	body, _ := json.Marshal(account)
	url := "http://" + w.control + "/instances/" + w.id + "/heartbeat"
	w.mu.Unlock()
	if answer, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
		_ = answer.Body.Close()
	}
	return true
}

// leave reports the worker as draining, and ends it for good after the time that it goes on serving.
func (w *worker) leave(after time.Duration) {
	w.mu.Lock()
	w.draining, w.remaining = true, time.Now().Add(after)
	life, url := w.life, "http://"+w.control+"/instances/"+w.id+"/deregister"
	w.record.add("drain", w, "", 0, "")
	w.mu.Unlock()
	w.report(life)
	time.AfterFunc(after, func() {
		if answer, err := (&http.Client{Timeout: time.Second}).Post(url, "application/json", nil); err == nil {
			_ = answer.Body.Close()
		}
		w.crash()
	})
}

// watchLease kills everything when the lease is over.
func (w *worker) watchLease(life int) {
	lapsed := false
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			return
		}
		over := w.until > 0 && w.clock() > w.until
		if over && !lapsed {
			w.record.add("lapse", w, "", 0, "the lease of the worker is over")
		}
		lapsed = over
		if w.clock() > w.until {
			for _, task := range w.tasks() {
				w.end(w.runs[task], "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) tasks() []string {
	var names []string
	for task := range w.runs {
		names = append(names, task)
	}
	sort.Strings(names)
	return names
}

// end ends a run; w.mu is held.
func (w *worker) end(r *run, how string) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.sequence++
	saved := ""
	if how == "stopped" {
		saved = r.behavior.atStop
	}
	w.ends = append(w.ends, ended{w.sequence, r.task, r.number, how, saved})
	w.record.add("end", w, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) used() size {
	var total size
	for _, r := range w.runs {
		total = total.plus(r.behavior.size)
	}
	return total
}

// extend raises the time until which runs may go on, cut to the longest hold.
func (w *worker) extend(millis int64) {
	until := min(time.Duration(millis)*time.Millisecond, w.clock()+6*time.Second)
	w.until = max(w.until, until)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, 409, map[string]any{"clock-ms": w.clock().Milliseconds(), "reason": reason})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Text     string `json:"spec"`
	Until    int64  `json:"until-ms"`
	Ticket   string `json:"ticket"`
	Percent  int    `json:"percent"`
	Fence    uint64 `json:"fence"`
	LastSeen uint64 `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, 400, map[string]string{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	if named := r.Header.Get("X-Expect-Instance"); named != "" && named != w.id {
		reply(rw, 421, map[string]string{})
		return
	}
	if o.Fence < w.fence {
		if strings.HasPrefix(r.URL.Path, "/run-start") {
			w.record.add("refuse", w, o.Task, o.Run, "fence")
		}
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		w.startRun(rw, o)
	case "/run-stop":
		w.record.add("stop", w, o.Task, o.Run, "")
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			w.end(r, "stopped")
		}
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		reply(rw, 200, map[string]int64{"clock-ms": w.clock().Milliseconds()})
	case "/pace":
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			r.pace = o.Percent
			w.record.add("pace", w, o.Task, o.Run, fmt.Sprint(o.Percent))
			reply(rw, 200, map[string]int64{"clock-ms": w.clock().Milliseconds()})
			return
		}
		w.refuse(rw, "old")
	case "/hold":
		w.hold(rw, r, o)
	default:
		reply(rw, 404, map[string]string{})
	}
}

func (w *worker) startRun(rw http.ResponseWriter, o order) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extend(o.Until)
		reply(rw, 200, map[string]int64{"clock-ms": w.clock().Milliseconds()})
		return
	}
	b := w.behave(w, o.Task, o.Run)
	switch {
	case o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil:
		w.extend(o.Until)
		w.record.add("refuse", w, o.Task, o.Run, "old")
		w.refuse(rw, "old")
		return
	case time.Duration(o.Until)*time.Millisecond <= w.clock():
		w.record.add("refuse", w, o.Task, o.Run, "late")
		w.refuse(rw, "late")
		return
	case w.ticket != nil && o.Ticket != w.ticket(w.id, o.Task):
		w.record.add("refuse", w, o.Task, o.Run, "ticket")
		w.refuse(rw, "ticket")
		return
	case !w.used().plus(b.size).fits(w.capacity):
		w.extend(o.Until)
		w.record.add("refuse", w, o.Task, o.Run, "room")
		w.refuse(rw, "room")
		return
	}
	w.extend(o.Until)
	begun := &run{task: o.Task, number: o.Run, begun: time.Now(), behavior: b, pace: 100}
	w.runs[o.Task] = begun
	w.record.add("start", w, o.Task, o.Run, "")
	if b.duration > 0 {
		time.AfterFunc(b.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(begun, b.how)
		})
	}
	reply(rw, 200, map[string]int64{"clock-ms": w.clock().Milliseconds()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	if o.LastSeen > w.last {
		for len(w.ends) > 0 && w.ends[0].sequence <= o.LastSeen {
			w.record.add("noted", w, w.ends[0].task, w.ends[0].number, w.ends[0].how)
			w.ends = w.ends[1:]
		}
		w.last = o.LastSeen
	}
	life, deadline := w.life, time.After(time.Duration(min(o.Wait, 2000))*time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(w.ends) == 0 && w.up && w.life == life; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if !w.up || w.life != life {
		return
	}
	running, ends := [][]any{}, [][]any{}
	for _, task := range w.tasks() {
		r := w.runs[task]
		percent := 100
		if r.behavior.duration > 0 {
			percent = int(100 * time.Since(r.begun) / r.behavior.duration)
		}
		measured := r.behavior.size.CPU * r.pace / 100
		if r.behavior.measure != nil {
			measured = r.behavior.measure()
		}
		running = append(running, []any{task, r.number, "", percent, measured})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ends = append(ends, []any{e.sequence, e.task, e.number, e.how, e.saved})
	}
	reply(rw, 200, map[string]any{"clock-ms": w.clock().Milliseconds(), "running": running, "ended": ends})
}
