package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// orders: many jobs with long texts are placed on a worker while its agent restarts.
func init() {
	const jobs = 180
	id := func(n int) string { return fmt.Sprintf("00000000000%05x", 0xd0000+n) }
	scenarios["orders"] = scenario{
		shape: func(*state) config {
			return config{
				workers: 11, capacity: same(size{CPU: 32000, Memory: 128000}),
				labels: racks(func(n int) string {
					if n == 0 {
						return "b"
					}
					return "a"
				}),
				behave: func(*worker, string, int) behavior { return behavior{size: size{CPU: 100, Memory: 200}} },
			}
		},
		play: func(s *system, trouble bool, _ *state) (int, error) {
			s.configure(7, s.route("r-1", "/lohu930/", 0, 4))
			if err := s.startAll(); err != nil {
				return notRun, err
			}
			if trouble {
				s.record.note("the process of side-1 is killed")
				_ = s.agents[0].command.Process.Signal(syscall.SIGKILL)
				_ = s.agents[0].command.Wait()
			}
			var sent sync.WaitGroup
			for n := range jobs {
				sent.Go(func() {
					s.submit("/lohu930/", id(n), map[string]any{"spec": strings.Repeat("<&>", 1333), "steps": []any{map[string]any{
						"count": 1, "cpu": 100, "mem-mb": 200, "estimate-ms": 500, "requires": "b", "long-running": true}}})
				})
			}
			sent.Wait()
			s.record.note("%d jobs are accepted", jobs)
			if trouble {
				time.Sleep(time.Second)
				if err := s.start(s.agents[0]); err != nil {
					return notRun, err
				}
				s.record.note("the process of side-1 starts again")
			}
			time.Sleep(30 * time.Second)
			started := map[string]bool{}
			for _, e := range s.record.all() {
				if e.what == "start" {
					started[e.task] = true
				}
			}
			s.record.note("%d of %d jobs have begun", len(started), jobs)
			if len(started) < jobs {
				return broken, nil
			}
			return held, nil
		},
	}
}
