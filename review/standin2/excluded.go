package main

import (
	"time"
)

// excluded: a task fails once on the only worker that has room for it; the other worker that it may run on is full.
func init() {
	const lasting, short = "00000000000000a1", "00000000000000b2"
	scenarios["excluded"] = scenario{
		shape: func(st *state) config {
			return config{
				workers: 11, capacity: same(size{CPU: 32000, Memory: 128000}),
				labels: racks(func(n int) string {
					if n < 2 {
						return "b"
					}
					return "a"
				}),
				behave: func(w *worker, task string, _ int) behavior {
					if task[:len(lasting)] == lasting {
						return behavior{size: size{CPU: 32000, Memory: 1000}}
					}
					b := behavior{duration: time.Second, how: "done", size: size{CPU: 1000, Memory: 500}}
					if st.get("grey") == 1 {
						b.duration, b.how = 200*time.Millisecond, "failed"
					}
					return b
				},
			}
		},
		play: func(s *system, trouble bool, st *state) (int, error) {
			s.configure(7, s.route("r-1", "/lohu930/", 0, 4), s.route("r-2", "/pule252/", 0, 4))
			if err := s.startAll(); err != nil {
				return notRun, err
			}
			s.submit("/pule252/", lasting, map[string]any{"spec": "lasting", "steps": []any{map[string]any{
				"count": 1, "cpu": 32000, "mem-mb": 1000, "estimate-ms": 500, "requires": "b", "long-running": true}}})
			time.Sleep(3 * time.Second)
			if count(s.record.all(), "start", lasting, "") != 1 {
				return notRun, nil
			}
			if trouble {
				s.record.note("the free worker of kind b fails what it starts for 5 s")
				st.set("grey", 1)
			}
			s.submit("/lohu930/", short, map[string]any{"spec": "short", "steps": []any{map[string]any{
				"count": 1, "cpu": 1000, "mem-mb": 500, "estimate-ms": 1000, "requires": "b"}}})
			time.Sleep(5 * time.Second)
			st.set("grey", 0)
			s.record.note("all workers work again; nothing more is handed in")
			calm := time.Since(s.record.began)
			time.Sleep(14 * time.Second)
			shown := s.state("/lohu930/", short)
			s.record.note("the job is shown as %s", shown)
			started := 0
			for _, e := range s.record.all() {
				if e.what == "start" && e.task[:len(short)] == short && e.at > calm {
					started++
				}
			}
			s.record.note("the job began %d runs in the 14 s since; 31 of 32 cores of a worker that it may run on are free, and 32 of 352 cores are in use", started)
			if shown != "completed" && started == 0 {
				return broken, nil
			}
			return held, nil
		},
	}
}
