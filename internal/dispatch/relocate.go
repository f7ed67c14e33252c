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
	// slowFor is how long it may be that slow before it is moved to a worker that it suits.
	slowFor = 1200 * time.Millisecond
	// mostMoves bounds the moves of one plan; the next plan sees their effect.
	mostMoves = 2
)

// paced takes note of the pace of a task.
func (p *placed) paced(pace int) {
	p.pace = pace
	switch {
	case pace > slowPace:
		p.slow = time.Time{}
	case p.slow.IsZero():
		p.slow = time.Now()
	}
}

// weigh reckons what serves and what fills on a worker anew, by the paces of the latest report.
func (h *hosted) weigh() {
	h.worker.Clear()
	for _, p := range h.runs {
		h.worker.Count(p.step, p.cpu(), 1)
	}
}

// cpu returns the thousandths of a core that a task may use at its pace.
func (p *placed) cpu() int {
	if p.step.Fills {
		return p.step.Size.CPU * p.pace / pacing.Full
	}
	return p.step.Size.CPU
}

// relocate stops some tasks that are paced down and save their progress, where another worker would suit them.
func (t *term) relocate(planner *plan.Planner) {
	moves := 0
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		for _, id := range h.runsWhich((*placed).stuckSlow) {
			if moves == mostMoves {
				return
			}
			p := h.runs[id]
			known := t.jobs[id.Job]
			if known == nil || known.job.State().Final() || !t.suitsElsewhere(planner, host, id, p) {
				continue
			}
			moves++
			t.logger.Info("task is moved from where it is paced down; task=%s run=%d vm=%s pace=%d", id, p.run, host.VM, p.pace)
			known.failed[host] = true
			t.halt(host, id, p)
		}
	}
}

// suitsElsewhere reports whether another worker than its own would suit a task.
func (t *term) suitsElsewhere(planner *plan.Planner, host job.Host, id job.TaskID, p *placed) bool {
	known := t.jobs[id.Job]
	group := &plan.Group{
		Job: known.job, Time: id.Time, Number: id.Step, Step: p.step, Service: t.queueOf(known).Service,
		Held: map[job.Host]int{}, Avoid: map[job.Host]bool{host: true},
	}
	return planner.Suits(group)
}

// stuckSlow reports whether a task has been paced down for long and loses little by a move.
func (p *placed) stuckSlow() bool {
	return p.step.Fills && p.step.Checkpoints && !p.step.Gang && p.committed && !p.stopping &&
		!p.slow.IsZero() && time.Since(p.slow) > slowFor
}

// moveFromLeaving stops what loses nothing by it on workers that leave, so that it starts elsewhere before they are gone.
func (t *term) moveFromLeaving() {
	for _, h := range t.hosts.all() {
		if !h.draining {
			continue
		}
		host := h.worker.Host
		for _, id := range h.runsInOrder() {
			p := h.runs[id]
			losesNothing := p.step.Lasting || p.step.Checkpoints
			if !p.committed || p.stopping || !losesNothing || p.step.Gang {
				continue
			}
			t.logger.Info("task is moved from a worker that leaves; task=%s run=%d vm=%s", id, p.run, host.VM)
			t.halt(host, id, p)
		}
	}
}
