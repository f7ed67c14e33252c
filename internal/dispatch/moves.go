package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// slowPace is the pace in percent up to which a task that fills hardly gets on.
	slowPace = 15
	// maxSlowDuration is how long it may be that slow before it is moved to a worker that it suits.
	maxSlowDuration = 1200 * time.Millisecond
	// maxMoves bounds the moves of one plan; the next plan sees their effect.
	maxMoves = 2
)

// recordPace takes note of the pace of a task.
func (p *placedRun) recordPace(pace int) {
	p.pace = pace
	switch {
	case pace > slowPace:
		p.slowSince = time.Time{}
	case p.slowSince.IsZero():
		p.slowSince = time.Now()
	}
}

// recountUsage reckons what serves and what fills on a worker anew, by the paces of the latest report.
func (h *hostState) recountUsage() {
	h.worker.Reset()
	for _, p := range h.runs {
		h.worker.Count(p.step, p.cpuAtPace(), 1)
	}
}

// cpuAtPace returns the thousandths of a core that a task may use at its pace.
func (p *placedRun) cpuAtPace() int {
	if p.step.BestEffort {
		return p.step.Size.CPU * p.pace / pacing.Full
	}
	return p.step.Size.CPU
}

// moveThrottled stops some tasks that are paced down and save their progress, where another worker would suit them.
func (t *term) moveThrottled(planner *plan.Planner) {
	moves := 0
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		for _, id := range h.runsWhere((*placedRun).movableThrottled) {
			if moves == maxMoves {
				return
			}
			p := h.runs[id]
			known := t.jobs[id.Job]
			if known == nil || known.job.State().IsFinal() || !t.suitedElsewhere(planner, host, id, p) {
				continue
			}
			moves++
			t.logger.Info("task is moved from where it is paced down; task=%s run=%d vm=%s pace=%d", id, p.number, host.VM, p.pace)
			known.failedHosts[host] = true
			t.stopRun(host, id, p)
		}
	}
}

// suitedElsewhere reports whether another worker than its own would suit a task.
func (t *term) suitedElsewhere(planner *plan.Planner, host job.Host, id job.TaskID, p *placedRun) bool {
	known := t.jobs[id.Job]
	group := &plan.Group{
		Job: known.job, Time: id.Iteration, StepIndex: id.Step, Step: p.step, Service: t.currentQueue(known).Service,
		TasksByWorker: map[job.Host]int{}, Avoid: map[job.Host]bool{host: true},
	}
	return planner.HasSuitableWorker(group)
}

// movableThrottled reports whether a task has been paced down for long and loses little by a move.
func (p *placedRun) movableThrottled() bool {
	return p.step.BestEffort && p.step.Checkpoints && !p.step.Gang && p.committed && !p.stopping &&
		!p.slowSince.IsZero() && time.Since(p.slowSince) > maxSlowDuration
}

// moveFromDraining stops what loses nothing by it on workers that leave, so that it starts elsewhere before they are gone.
func (t *term) moveFromDraining() {
	for _, h := range t.hosts.all() {
		if !h.draining {
			continue
		}
		host := h.worker.Host
		for _, id := range h.sortedRuns() {
			p := h.runs[id]
			losesNothing := p.step.LongRunning || p.step.Checkpoints
			if !p.committed || p.stopping || !losesNothing || p.step.Gang {
				continue
			}
			t.logger.Info("task is moved from a worker that leaves; task=%s run=%d vm=%s", id, p.number, host.VM)
			t.stopRun(host, id, p)
		}
	}
}
