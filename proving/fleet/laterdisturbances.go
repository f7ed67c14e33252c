package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// secondDisturbances are drawn with a generator of their own: seeds recorded before this list was added still draw the
// same faults from the first list.
var secondDisturbances = []disturbance{
	{"connections to an entry stay silent", func(f *Fleet, n int, _ time.Duration) { f.peer(n).SilenceOpen() }},
	{"connections of an entry to the store stay silent", func(f *Fleet, n int, _ time.Duration) {
		f.storeRelays[f.entry(n).name].SilenceOpen()
	}},
	{"connections to a worker stay silent", func(f *Fleet, n int, _ time.Duration) {
		f.workerRelays[n%len(f.workerRelays)].SilenceOpen()
	}},
	{"all connections stay silent", func(f *Fleet, _ int, _ time.Duration) {
		for _, r := range f.relays() {
			r.SilenceOpen()
		}
	}},
	{"worker crashed and its last report late", func(f *Fleet, n int, d time.Duration) {
		lastReport := f.worker(n).nextHeartbeat()
		f.worker(n).Crash()
		<-time.After(d / 2)
		f.worker(n).send(lastReport)
	}},
}

// invalidReports are reports of unknown senders: unreadable ones, or of something that is not a worker of the fleet. %d is
// replaced by a number.
var invalidReports = []string{
	`{"service":"`, `[]`, `{"service":%d,"state":"ready"}`,
	`{"service":"desk","address":"","zone":"","version":"v1","slots":8,"state":"asleep","capacity":{"cpu":9,"mem-mb":9},"clock-ms":1,"sequence":%d}`,
	`{"service":"other","address":"","zone":"","version":"v1","slots":8,"state":"draining","capacity":{"cpu":9,"mem-mb":9},"clock-ms":1,"sequence":%d}`,
}

// thirdDisturbances are drawn with a generator of their own, for the same reason as secondDisturbances.
var thirdDisturbances = []disturbance{
	{"capacity of a worker shrinks", func(f *Fleet, n int, d time.Duration) {
		f.worker(n).SetCapacity(job.Size{CPU: workerCapacity.CPU / 2, Memory: workerCapacity.Memory / 2})
		<-time.After(d)
		f.worker(n).SetCapacity(workerCapacity)
	}},
	{"unknown senders report to an agent", func(f *Fleet, n int, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); n++ {
			w := f.worker(n / 100)
			own := w.nextHeartbeat().instance
			for _, instance := range []string{own, fmt.Sprintf("stranger-%d", n%9)} {
				w.send(heartbeat{instance: instance, body: []byte(invalidReport(n))})
			}
			<-time.After(20 * time.Millisecond)
		}
	}},
}

// invalidReport returns the n-th report, in rotation, of invalidReports.
func invalidReport(n int) string {
	report := invalidReports[n%len(invalidReports)]
	if strings.Contains(report, "%d") {
		report = fmt.Sprintf(report, n)
	}
	return report
}
