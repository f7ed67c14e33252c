package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	service = "direcciona"
	host    = "jobs.example"
	prefix  = "/q/"
)

// life is one run of a task as its worker saw it.
type life struct {
	worker  string
	task    string
	number  int
	started time.Time
	stopped time.Time
	ended   time.Time
	how     string
}

// world records what clients, workers and the operator see.
type world struct {
	record *os.File
	begun  time.Time

	mu    sync.Mutex
	jobs  map[string][]step
	lives []*life
}

func newWorld(path string) (*world, error) {
	f, err := os.Create(path)
	return &world{record: f, begun: time.Now(), jobs: make(map[string][]step)}, err
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%7.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// step returns the step of a task.
func (w *world) step(task string) (step, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, n := jobOf(task)
	if steps := w.jobs[id]; n < len(steps) {
		return steps[n], true
	}
	return step{}, false
}

func (w *world) started(at *worker, r *run, known bool) {
	w.note("start    task=%s run=%d worker=%s from=%q known=%t", r.task, r.number, at.name, r.saved, known)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives = append(w.lives, &life{worker: at.name, task: r.task, number: r.number, started: time.Now()})
}

// stopping records that a run is being stopped.
func (w *world) stopping(at *worker, r *run) {
	w.note("stop     task=%s run=%d worker=%s percent=%d", r.task, r.number, at.name, r.progress())
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lives {
		if l.worker == at.name && l.task == r.task && l.number == r.number && l.ended.IsZero() {
			l.stopped = time.Now()
		}
	}
}

func (w *world) ended(at *worker, r *run, how string) {
	w.note("end      task=%s run=%d worker=%s how=%s", r.task, r.number, at.name, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lives {
		if l.worker == at.name && l.task == r.task && l.number == r.number && l.ended.IsZero() {
			l.ended, l.how = time.Now(), how
		}
	}
}

func (w *world) noted(e ended) { w.note("noted    task=%s run=%d how=%s", e.task, e.run, e.how) }

// livesOf returns the runs of a job so far.
func (w *world) livesOf(id string) []life {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []life
	for _, l := range w.lives {
		if job, _ := jobOf(l.task); job == id {
			found = append(found, *l)
		}
	}
	return found
}

// atWork returns the tasks of a job that run now.
func (w *world) atWork(id string) map[string]life {
	found := make(map[string]life)
	for _, l := range w.livesOf(id) {
		if l.ended.IsZero() {
			found[l.task] = l
		}
	}
	return found
}

// call sends a client's request and returns the status, 0 without an answer, and the body.
func (w *world) call(method, front, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, _ := http.NewRequest(method, "http://"+front+path, bytes.NewReader(data))
	request.Host = host
	request.Header.Set("X-Deadline", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		w.note("answer   %s %s none", method, path)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	w.note("answer   %s %s status=%d body=%s", method, path, response.StatusCode, text)
	return response.StatusCode, text
}

// submit hands a job in, again at the next entry until it is accepted.
func (f *fleet) submit(id, text string, steps ...step) error {
	f.world.mu.Lock()
	f.world.jobs[id] = steps
	f.world.mu.Unlock()
	for i := range 20 {
		f.world.note("send     POST %s%s", prefix, id)
		status, _ := f.world.call(http.MethodPost, f.fronts[i%len(f.fronts)], prefix+id, map[string]any{"spec": text, "steps": steps})
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job, empty without an answer.
func (f *fleet) state(id string) string {
	for _, front := range f.fronts {
		if status, data := f.world.call(http.MethodGet, front, prefix+id, nil); status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(data, &body)
			return body.State
		}
	}
	return ""
}
