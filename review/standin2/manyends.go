package main

import "time"

// manyEnds: more runs of one worker end at about the same time than it lists at once, while the store is slow.
func init() {
	const job, tasks = "5c0e7a21d94b36f8", 1400
	scenarios["many-ends"] = scenario{
		shape: func(*state) config {
			return config{
				workers: 11, capacity: same(size{CPU: 32000, Memory: 128000}),
				labels: racks(func(n int) string {
					if n == 0 {
						return "b"
					}
					return "a"
				}),
				behave: func(*worker, string, int) behavior {
					return behavior{duration: 7 * time.Second, how: "done", size: size{CPU: 20, Memory: 80}}
				},
			}
		},
		play: func(s *system, trouble bool, _ *state) (int, error) {
			s.configure(7, s.route("r-1", "/lohu930/", 0, 4))
			if err := s.startAll(); err != nil {
				return notRun, err
			}
			s.submit("/lohu930/", job, map[string]any{"spec": "many", "steps": []any{map[string]any{"count": tasks, "cpu": 20, "mem-mb": 80, "estimate-ms": 7000, "requires": "b"}}})
			for wait := time.Now(); count(s.record.all(), "start", job, "") < tasks && time.Since(wait) < 10*time.Second; {
				time.Sleep(20 * time.Millisecond)
			}
			s.record.note("%d runs have started", count(s.record.all(), "start", job, ""))
			time.Sleep(time.Until(firstStart(s.record, job).Add(6800 * time.Millisecond)))
			if trouble {
				s.record.note("the store takes 240 ms an answer for 4.5 s")
				s.store.setDelay(60 * storeDelay)
				time.Sleep(4500 * time.Millisecond)
				s.store.setDelay(storeDelay)
				s.record.note("the store answers as usual again")
			}
			time.Sleep(25 * time.Second)
			s.record.note("the job is shown as %s", s.state("/lohu930/", job))
			again := twice(s.record.all())
			s.record.note("%d starts, %d ends done, %d starts after an end done that was taken note of", count(s.record.all(), "start", job, ""), count(s.record.all(), "end", job, "done"), len(again))
			if len(again) > 0 {
				return broken, nil
			}
			return held, nil
		},
	}
}
