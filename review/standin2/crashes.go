package main

import "time"

// crashes: the worker of a job's only task crashes, four times; no run of the task ends failed.
func init() {
	const job = "00000000000000c3"
	scenarios["crashes"] = scenario{
		shape: func(*state) config {
			return config{
				workers: 11, capacity: same(size{CPU: 32000, Memory: 128000}), labels: racks(same("a")),
				behave: func(*worker, string, int) behavior {
					return behavior{duration: 4 * time.Second, how: "done", size: size{CPU: 3500, Memory: 6400}}
				},
			}
		},
		play: func(s *system, trouble bool, _ *state) (int, error) {
			s.configure(7, s.route("r-1", "/lohu930/", 0, 4))
			if err := s.startAll(); err != nil {
				return notRun, err
			}
			s.submit("/lohu930/", job, map[string]any{"spec": "one", "steps": []any{map[string]any{"count": 1, "cpu": 3500, "mem-mb": 6400, "estimate-ms": 4000}}})
			if trouble {
				for n := range 4 {
					if !s.crashWorkerOf(job, n+1, 1500*time.Millisecond, 4*time.Second) {
						break
					}
				}
			}
			time.Sleep(12 * time.Second)
			shown := s.state("/lohu930/", job)
			s.record.note("the job is shown as %s after %d starts and %d ends failed", shown, count(s.record.all(), "start", job, ""), count(s.record.all(), "end", job, "failed"))
			if shown == "failed" && count(s.record.all(), "end", job, "failed") == 0 {
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
