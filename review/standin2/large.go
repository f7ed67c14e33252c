package main

import (
	"fmt"
	"strings"
	"time"
)

// large: one job with many tasks that save their progress; its progress record grows over the largest value that the store takes.
func init() {
	const big, tasks, text = "00000000000000e5", 1200, 1000
	id := func(n int) string { return fmt.Sprintf("00000000000%05x", 0xe0000+n) }
	scenarios["large"] = scenario{
		shape: func(*state) config {
			return config{
				workers: 11, capacity: same(size{CPU: 32000, Memory: 128000}), labels: racks(same("a")),
				behave: func(_ *worker, task string, _ int) behavior {
					if task[:len(big)] != big {
						return behavior{duration: 500 * time.Millisecond, how: "done", size: size{CPU: 500, Memory: 500}}
					}
					return behavior{duration: 12 * time.Second, how: "done", size: size{CPU: 100, Memory: 200}, saved: func(age time.Duration) string {
						if age < 2*time.Second {
							return ""
						}
						return fmt.Sprintf("%0*d", text, int(age/(2*time.Second)))
					}}
				},
			}
		},
		play: func(s *system, trouble bool, _ *state) (int, error) {
			s.configure(7, s.route("r-1", "/lohu930/", 0, 4))
			if err := s.startAll(); err != nil {
				return notRun, err
			}
			if trouble {
				s.submit("/lohu930/", big, map[string]any{"spec": "large", "steps": []any{map[string]any{
					"count": tasks, "cpu": 100, "mem-mb": 200, "estimate-ms": 12000, "saves-progress": true}}})
			}
			for n := range 20 {
				time.Sleep(500 * time.Millisecond)
				s.submit("/lohu930/", id(n), map[string]any{"spec": strings.Repeat("x", 20), "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem-mb": 500, "estimate-ms": 500}}})
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
