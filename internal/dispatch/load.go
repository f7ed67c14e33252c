package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// loadEvery is how often the lead logs its load: often enough to see a wave of work, and one line in two seconds costs nothing.
const loadEvery = 2 * time.Second

// thousandths is how many parts of a core a size counts.
const thousandths = 1000

// load sums up what waits, what runs and what the workers have left.
type load struct {
	// waiting tasks are short ones, lasting ones and those that will fill, which are of batchJobs jobs.
	waitingShort, waitingLasting, waitingBatch int
	batchJobs                                  int
	// capacity and the next are thousandths of a core: of the workers, declared by what serves, asked for and in use by what fills.
	capacity, serving, asked, used int
	// filling counts the tasks that fill, slowed those of them that are paced down, over the serving tasks over their targets.
	filling, slowed, served, over int
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
	if time.Since(t.loadLogged) < loadEvery {
		return
	}
	t.loadLogged = time.Now()
	t.logClosures()
	l.addWaiting(groups)
	t.logger.Info("load; workers=%d waiting_short=%d waiting_lasting=%d waiting_batch=%d of_jobs=%d cores=%d serving=%d "+
		"filling_tasks=%d slowed=%d asked=%d used=%d served=%d over=%d starved=%.1f",
		t.hosts.len(), l.waitingShort, l.waitingLasting, l.waitingBatch, l.batchJobs, l.capacity/thousandths, l.serving/thousandths,
		l.filling, l.slowed, l.asked/thousandths, l.used/thousandths, l.served, l.over, t.starvation.level)
}

// addWaiting counts the tasks that wait, and the jobs that those of them belong to which will fill.
func (l *load) addWaiting(groups []*plan.Group) {
	batch := make(map[job.ID]bool)
	for _, g := range groups {
		switch {
		case g.Step.Lasting:
			l.waitingLasting += len(g.Indexes)
		case g.Step.Fills:
			l.waitingBatch += len(g.Indexes)
			batch[g.Job.ID()] = true
		default:
			l.waitingShort += len(g.Indexes)
		}
	}
	l.batchJobs = len(batch)
}

// addWorker counts a worker and what is placed there.
func (l *load) addWorker(h *hosted) {
	l.capacity += h.worker.Capacity.CPU
	l.serving += h.worker.Serving
	for _, p := range h.runs {
		switch {
		case p.step.Fills:
			l.filling++
			l.asked += p.step.Size.CPU
			l.used += p.figure
			if p.pace < pacing.Full {
				l.slowed++
			}
		case p.step.Serves():
			l.served++
			if p.figure > int(p.step.Target.Milliseconds()) {
				l.over++
			}
		}
	}
}
