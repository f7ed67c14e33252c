package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// validMillis is how long a ticket is valid.
const validMillis = 60_000

// advisor is a stand-in of the service that tells which workers may run a step: those on one machine, whatever their life.
type advisor struct {
	record *record
	good   string
	mu     sync.Mutex
}

// ticket returns the ticket for a step on a life of a worker.
func ticket(life, step string) string { return "t-" + step + "-" + life }

func (a *advisor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(rw, 400, map[string]string{})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(time.Duration(20+5*len(body.Workers)) * time.Millisecond)
	good := [][]string{}
	for _, id := range body.Workers {
		if strings.HasPrefix(id, "i-"+a.good+"-") {
			good = append(good, []string{id, ticket(id, body.Step)})
		}
	}
	a.record.note("advice: %s, asked about %d workers, good: %v", body.Step, len(body.Workers), good)
	reply(rw, 200, map[string]any{"good": good, "valid_ms": validMillis})
}

// advised: the worker that a step may run on crashes and returns as a new life, for which no ticket is asked.
func init() {
	const job = "00000000000000a7"
	scenarios["advised"] = scenario{
		shape: func(*state) config {
			return config{
				workers: 11, capacity: same(size{CPU: 32000, Memory: 128000}), labels: racks(same("a")),
				behave: func(*worker, string, int) behavior {
					return behavior{duration: 4 * time.Second, how: "done", size: size{CPU: 1000, Memory: 500}}
				},
			}
		},
		play: func(s *system, trouble bool, _ *state) (int, error) {
			route := s.route("r-1", "/lohu930/", 0, 4)
			route["advice"] = map[string]int{"decide_ms": 20, "each_ms": 5, "valid_ms": validMillis}
			s.configure(7, route)
			l, err := net.Listen("tcp", ipOf(200)+":0")
			if err != nil {
				return notRun, err
			}
			go func() { _ = http.Serve(l, &advisor{record: s.record, good: "w1"}) }()
			s.advice = l.Addr().String()
			for _, w := range s.workers {
				w.ticket = func(life, task string) string { return ticket(life, task[:strings.LastIndex(task, ".")]) }
			}
			if err := s.startAll(); err != nil {
				return notRun, err
			}
			s.submit("/lohu930/", job, map[string]any{"spec": "one", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem-mb": 500, "estimate-ms": 4000}}})
			const down = 3 * time.Second
			if trouble {
				if !s.crashWorkerOf(job, 1, 1500*time.Millisecond, down) {
					return notRun, nil
				}
				time.Sleep(down)
				s.record.note("worker w1 is back; nothing more is handed in")
			}
			// The disruption is over for contact-ms, then the job is watched for finish_s.
			time.Sleep(3 * time.Second)
			before := count(s.record.all(), "start", job, "")
			time.Sleep(14 * time.Second)
			starts, shown := count(s.record.all(), "start", job, ""), s.state("/lohu930/", job)
			s.record.note("the job is shown as %s; %d runs until 3 s after the return, %d in the 14 s since", shown, before, starts-before)
			if shown != "completed" && starts == before {
				return broken, nil
			}
			return held, nil
		},
	}
}

// crashWorkerOf crashes the worker of the nth start of a job some time after it, and starts it again later.
func (s *system) crashWorkerOf(job string, nth int, age, down time.Duration) bool {
	for wait := time.Now(); time.Since(wait) < 15*time.Second; time.Sleep(5 * time.Millisecond) {
		found := 0
		for _, e := range s.record.all() {
			if e.what != "start" || e.task[:len(job)] != job {
				continue
			}
			if found++; found < nth {
				continue
			}
			for _, w := range s.workers {
				if w.name == e.worker {
					time.Sleep(time.Until(s.record.began.Add(e.at + age)))
					s.record.note("worker %s crashes for %s", w.name, down)
					w.crash()
					time.AfterFunc(down, func() { _ = w.start() })
					return true
				}
			}
		}
	}
	return false
}
