package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// loadLogInterval is the time between two log lines about the load: short enough to show a burst of work, and one line in two
// seconds costs next to nothing.
const loadLogInterval = 2 * time.Second

// millisPerCore is the number of units of a CPU size in one core.
const millisPerCore = 1000

// load sums up the waiting tasks, the running tasks and the use of the workers.
type load struct {
	// waitingShort, waitingLongRunning and waitingBatch count the waiting tasks; the last are the best-effort tasks of
	// batchJobs jobs.
	waitingShort, waitingLongRunning, waitingBatch int
	batchJobs                                      int
	// capacity is the CPU of the workers, serving the reservations of serving tasks, requested and used the requests and the
	// use of best-effort tasks, all in thousandths of a core.
	capacity, serving, requested, used int
	// bestEffort counts the best-effort tasks, throttled those below full pace, served the serving tasks, overTarget those above
	// their latency target.
	bestEffort, throttled, served, overTarget int
	// short is the load of short work by service, without its waiting tasks.
	short shortLoads
}

// currentLoad returns the load without the waiting tasks.
func (t *term) currentLoad() load {
	l := load{short: make(shortLoads)}
	for _, h := range t.hosts.all() {
		l.addWorker(h)
	}
	return l
}

// logLoad logs the load with the waiting tasks, at most once in loadLogInterval, and reports whether it did.
func (t *term) logLoad(l load, groups []*plan.Group) bool {
	if time.Since(t.loadLoggedAt) < loadLogInterval {
		return false
	}
	t.loadLoggedAt = time.Now()
	t.logClosures()
	t.logIdleTasks(t.loadLoggedAt)
	l.addWaiting(groups)
	t.logger.Info("load; workers=%d waiting_short=%d waiting_lasting=%d waiting_batch=%d of_jobs=%d cores=%d serving=%d "+
		"filling_tasks=%d slowed=%d asked=%d used=%d served=%d over=%d starved=%.1f reserved=%d",
		t.hosts.len(), l.waitingShort, l.waitingLongRunning, l.waitingBatch, l.batchJobs, l.capacity/millisPerCore, l.serving/millisPerCore,
		l.bestEffort, l.throttled, l.requested/millisPerCore, l.used/millisPerCore, l.served, l.overTarget, t.backlog.level,
		t.reserves.total()/millisPerCore)
	return true
}

// addWaiting counts the waiting tasks, and the jobs of the best-effort ones.
func (l *load) addWaiting(groups []*plan.Group) {
	jobs := make(map[job.ID]bool)
	for _, g := range groups {
		switch {
		case g.Step.LongRunning:
			l.waitingLongRunning += len(g.Indexes)
		case g.Step.BestEffort:
			l.waitingBatch += len(g.Indexes)
			jobs[g.Job.ID()] = true
		default:
			l.waitingShort += len(g.Indexes)
		}
	}
	l.batchJobs = len(jobs)
}

// addWorker counts a worker and the runs placed there.
func (l *load) addWorker(h *hostState) {
	l.capacity += h.worker.Capacity.CPU
	l.serving += h.worker.ServingCPU
	short := shortLoad{open: h.openCapacity()}
	for _, p := range h.runs {
		if p.step.IsShort() {
			short.used += p.step.Size.CPU
		}
		switch {
		case p.step.BestEffort:
			l.bestEffort++
			l.requested += p.step.Size.CPU
			l.used += p.measurement
			if p.pace < pacing.Full {
				l.throttled++
			}
		case p.step.Serves():
			l.served++
			if p.measurement > int(p.step.Target.Milliseconds()) {
				l.overTarget++
			}
		}
	}
	if short.open > 0 {
		short.usedOpen = short.used
	}
	l.short.add(h.worker.Service, short)
}
