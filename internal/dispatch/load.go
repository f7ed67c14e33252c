package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// loadLogInterval is how often the lead logs its load: often enough to see a wave of work, and one line in two seconds costs nothing.
const loadLogInterval = 2 * time.Second

// millisPerCore is how many parts of a core a size counts.
const millisPerCore = 1000

// load sums up what waits, what runs and what the workers have left.
type load struct {
	// waiting tasks are short ones, lasting ones and those that will fill, which are of batchJobs jobs.
	waitingShort, waitingLongRunning, waitingBatch int
	batchJobs                                      int
	// capacity and the next are thousandths of a core: of the workers, declared by what serves, requested for and in use by what fills.
	capacity, serving, requested, used int
	// filling counts the tasks that fill, throttled those of them that are paced down, overTarget the serving tasks overTarget their targets.
	filling, throttled, served, overTarget int
}

// currentLoad returns the load, without what waits.
func (t *term) currentLoad() load {
	var l load
	for _, h := range t.hosts.all() {
		l.addWorker(h)
	}
	return l
}

// logLoad logs the load, with what waits, now and then.
func (t *term) logLoad(l load, groups []*plan.Group) {
	if time.Since(t.loadLoggedAt) < loadLogInterval {
		return
	}
	t.loadLoggedAt = time.Now()
	t.logClosures()
	l.addWaiting(groups)
	t.logger.Info("load; workers=%d waiting_short=%d waiting_lasting=%d waiting_batch=%d of_jobs=%d cores=%d serving=%d "+
		"filling_tasks=%d slowed=%d asked=%d used=%d served=%d over=%d starved=%.1f",
		t.hosts.len(), l.waitingShort, l.waitingLongRunning, l.waitingBatch, l.batchJobs, l.capacity/millisPerCore, l.serving/millisPerCore,
		l.filling, l.throttled, l.requested/millisPerCore, l.used/millisPerCore, l.served, l.overTarget, t.backlog.level)
}

// addWaiting counts the tasks that wait, and the jobs that those of them belong to which will fill.
func (l *load) addWaiting(groups []*plan.Group) {
	batch := make(map[job.ID]bool)
	for _, g := range groups {
		switch {
		case g.Step.LongRunning:
			l.waitingLongRunning += len(g.Indexes)
		case g.Step.BestEffort:
			l.waitingBatch += len(g.Indexes)
			batch[g.Job.ID()] = true
		default:
			l.waitingShort += len(g.Indexes)
		}
	}
	l.batchJobs = len(batch)
}

// addWorker counts a worker and what is placed there.
func (l *load) addWorker(h *hostState) {
	l.capacity += h.worker.Capacity.CPU
	l.serving += h.worker.ServingCPU
	for _, p := range h.runs {
		switch {
		case p.step.BestEffort:
			l.filling++
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
}
