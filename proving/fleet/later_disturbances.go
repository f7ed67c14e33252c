package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// laterDisturbances came after the first seeds were kept, and are drawn beside the others, so that those still play the same.
var laterDisturbances = []disturbance{
	{"connections to an entry silent for good", func(f *Fleet, n int, _ time.Duration) { f.peer(n).Silence() }},
	{"connections of an entry to the store silent for good", func(f *Fleet, n int, _ time.Duration) {
		f.storeRelays[f.entry(n).name].Silence()
	}},
	{"connections to a worker silent for good", func(f *Fleet, n int, _ time.Duration) {
		f.workerRelays[n%len(f.workerRelays)].Silence()
	}},
	{"all connections silent for good", func(f *Fleet, _ int, _ time.Duration) {
		for _, r := range f.relays() {
			r.Silence()
		}
	}},
	{"worker crashed and its last report late", func(f *Fleet, n int, d time.Duration) {
		stale := f.worker(n).composeHeartbeat()
		f.worker(n).Crash()
		<-time.After(d / 2)
		f.worker(n).send(stale)
	}},
}

// strangeReports are reports of other writers: unreadable, or of what is no worker of ours; %d is replaced by a number.
var strangeReports = []string{
	`{"service":"`, `[]`, `{"service":%d,"state":"ready"}`,
	`{"service":"desk","address":"","zone":"","version":"v1","slots":8,"state":"asleep","capacity":{"cpu":9,"mem-mb":9},"clock-ms":1,"sequence":%d}`,
	`{"service":"other","address":"","zone":"","version":"v1","slots":8,"state":"draining","capacity":{"cpu":9,"mem-mb":9},"clock-ms":1,"sequence":%d}`,
}

// newDisturbances came after both lists before, and are drawn beside them for the same reason.
var newDisturbances = []disturbance{
	{"room of a worker shrinks", func(f *Fleet, n int, d time.Duration) {
		f.worker(n).SetRoom(job.Size{CPU: room.CPU / 2, Memory: room.Memory / 2})
		<-time.After(d)
		f.worker(n).SetRoom(room)
	}},
	{"strangers report to an agent", func(f *Fleet, n int, d time.Duration) {
		for ends := time.Now().Add(d); time.Now().Before(ends); n++ {
			w := f.worker(n / 100)
			own := w.composeHeartbeat().instance
			for _, instance := range []string{own, fmt.Sprintf("stranger-%d", n%9)} {
				w.send(heartbeat{instance: instance, body: []byte(strangeReport(n))})
			}
			<-time.After(20 * time.Millisecond)
		}
	}},
}

// strangeReport returns one of the strange reports.
func strangeReport(n int) string {
	report := strangeReports[n%len(strangeReports)]
	if strings.Contains(report, "%d") {
		report = fmt.Sprintf(report, n)
	}
	return report
}
