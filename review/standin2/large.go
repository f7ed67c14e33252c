package main

import (
	"fmt"
	"strings"
	"time"
)

// large: the tasks of one job are stopped on a worker that leaves; with their checkpoints the progress record of the job is larger than the
// largest value that the store takes.
func init() {
	const big, tasks, text = "00000000000000e5", 480, 2400
	const leaves = 6 * time.Second
	id := func(n int) string { return fmt.Sprintf("00000000000%05x", 0xe0000+n) }
	scenarios["large"] = scenario{
		shape: func(*state) config {
			return config{
				workers: 11, capacity: same(size{CPU: 32000, Memory: 128000}),
				labels: racks(func(n int) string {
					if n == 0 {
						return "b"
					}
					return "a"
				}),
				behave: func(_ *worker, task string, _ int) behavior {
					if task[:len(big)] != big {
						return behavior{duration: 500 * time.Millisecond, how: "done", size: size{CPU: 500, Memory: 500}}
					}
					return behavior{duration: 1900 * time.Millisecond, how: "done", size: size{CPU: 60, Memory: 200}, atStop: strings.Repeat("c", text)}
				},
			}
		},
		play: func(s *system, trouble bool, _ *state) (int, error) {
			s.configure(7, s.route("r-1", "/lohu930/", 0, 4))
			if err := s.startAll(); err != nil {
				return notRun, err
			}
			s.submit("/lohu930/", big, map[string]any{"spec": "large", "steps": []any{map[string]any{
				"count": tasks, "cpu": 60, "mem-mb": 200, "estimate-ms": 1900, "saves-progress": true, "requires": "b"}}})
			for wait := time.Now(); count(s.record.all(), "start", big, "") < tasks && time.Since(wait) < 3*time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
			if trouble {
				s.workers[0].leave(leaves)
			}
			for n := range 20 {
				time.Sleep(500 * time.Millisecond)
				s.submit("/lohu930/", id(n), map[string]any{"spec": "small", "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem-mb": 500, "estimate-ms": 500}}})
			}
			time.Sleep(20 * time.Second)
			started := map[string]bool{}
			for _, e := range s.record.all() {
				if e.what == "start" && e.task[:len(big)] != big {
					started[e.task] = true
				}
			}
			s.record.note("%d of 20 small jobs have begun; the large job is shown as %s", len(started), s.state("/lohu930/", big))
			if len(started) < 20 {
				return broken, nil
			}
			return held, nil
		},
	}
}
