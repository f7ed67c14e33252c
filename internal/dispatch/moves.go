package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// slowPace is the pace in percent up to which a best-effort task makes hardly any progress.
	slowPace = 15
	// maxSlowDuration is how long a task may stay at slowPace before it is moved, if another worker suits it.
	maxSlowDuration = 1200 * time.Millisecond
	// maxMoves bounds the moves in one plan, so that the next plan takes their effect into account.
	maxMoves = 2
)

// recordPace records the pace of a task and since when it is slow.
func (p *placedRun) recordPace(pace int) {
	p.pace = pace
	p.timing.recordPace(pace)
	switch {
	case pace > slowPace:
		p.slowSince = time.Time{}
	case p.slowSince.IsZero():
		p.slowSince = time.Now()
	}
}

// recountUsage recomputes the reserved and the best-effort CPU of a worker by the paces of its last report.
func (h *hostState) recountUsage() {
	h.worker.Reset()
	for _, p := range h.runs {
		h.worker.Count(p.step, p.cpuAtPace(), 1)
	}
}

// cpuAtPace returns the CPU in thousandths of a core that a task may use at its pace.
func (p *placedRun) cpuAtPace() int {
	if p.step.BestEffort {
		return p.step.Size.CPU * p.pace / pacing.Full
	}
	return p.step.Size.CPU
}

// moveThrottled stops some throttled tasks that save checkpoints, if another worker suits them.
func (t *term) moveThrottled(planner *plan.Planner) {
	moves := 0
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		for _, id := range h.runsWhere((*placedRun).movableThrottled) {
			if moves == maxMoves {
				return
			}
			p := h.runs[id]
			tracked := t.jobs[id.Job]
			if tracked == nil || tracked.job.State().IsFinal() || !t.suitedElsewhere(planner, host, id, p) {
				continue
			}
			moves++
			t.logger.Info("throttled task is moved to another worker; task=%s run=%d vm=%s pace=%d", id, p.number, host.VM, p.pace)
			tracked.failedHosts[host] = true
			t.stopRun(host, id, p)
		}
	}
}

// suitedElsewhere reports whether a worker other than its own suits a task.
func (t *term) suitedElsewhere(planner *plan.Planner, host job.Host, id job.TaskID, p *placedRun) bool {
	tracked := t.jobs[id.Job]
	group := &plan.Group{
		Job: tracked.job, Iteration: id.Iteration, StepIndex: id.Step, Step: p.step, Service: t.currentQueue(tracked).Service,
		TasksByWorker: map[job.Host]int{}, Avoid: map[job.Host]bool{host: true},
	}
	return planner.HasSuitableWorker(group)
}

// movableThrottled reports whether a task has been throttled for long and loses little progress by a move.
func (p *placedRun) movableThrottled() bool {
	return p.step.BestEffort && p.step.Checkpoints && !p.step.Gang && p.committed && !p.stopping &&
		!p.slowSince.IsZero() && time.Since(p.slowSince) > maxSlowDuration
}

// moveFromDraining stops long-running and checkpointed tasks on draining workers, so that they restart elsewhere before the
// worker is gone; such tasks lose no progress by it.
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
			t.logger.Info("task is moved from a draining worker; task=%s run=%d vm=%s", id, p.number, host.VM)
			t.stopRun(host, id, p)
		}
	}
}
