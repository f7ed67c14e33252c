package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// hosted is one incarnation of a worker and what is placed there.
type hosted struct {
	worker plan.Worker
	runs   map[job.TaskID]*placed
	// ended says that the incarnation has ended and its runs were counted as lost.
	ended bool
	// draining says that the worker leaves, and all that runs there with it.
	draining bool
	// sampled is when the figures were last taken into account, used what each image that fills used by them, in shares of
	// the worker.
	sampled time.Time
	used    map[string]float64
	// failures counts runs that ended as failed since the last that was done.
	failures int
}

// placed is a run that is placed on a worker.
type placed struct {
	step *job.Step
	run  int
	// began is when the run was placed, or became known to this lead.
	began time.Time
	// committed says that the store has the run, sent when its order last left.
	committed bool
	sent      time.Time
	stopping  bool
	stopSent  time.Time
	// handedOver says that the run was ordered on an earlier incarnation of the worker, and is only to be refused here.
	handedOver bool
	percent    int
	// figure is the latest: the tail in milliseconds of a task that serves, else the thousandths of a core in use.
	figure int
	// moved is when the task last got on, or stood still for its pace; still counts the figures since, looked is when the
	// last of them came.
	moved  time.Time
	still  int
	looked time.Time
	// pace is the pace in percent of a task that fills, slow since when it has been below slowPace.
	pace int
	slow time.Time
	// over is since when a task that serves has been over its target, zero while it is not.
	over time.Time
	// proved says that the run has outlived its start, as the lead saw first at provedAt; suspect that it started alone to show
	// whether it crashes its worker.
	proved   bool
	provedAt time.Time
	suspect  bool
	// shown is when the worker last showed the run.
	shown time.Time
	// own is by how much a task that serves is off its load.
	own pressure.Own
}

// lived returns for how long the run was seen to live at the least.
func (p *placed) lived() time.Duration {
	if !p.proved {
		return 0
	}
	return crash.Soon + p.shown.Sub(p.provedAt)
}

// progress takes note of how far a task is, at its pace.
func (p *placed) progress(percent, pace int) {
	now := time.Now()
	switch {
	case percent != p.percent || pace < steadyPace:
		p.percent, p.moved, p.still = percent, now, 0
	case now.Sub(p.looked) < sampleEvery:
		return
	default:
		p.still++
	}
	p.looked = now
}

// host returns what is known of an incarnation of a worker, with an empty record of one that is new.
func (t *term) host(name job.Host) *hosted {
	h := t.hosts.get(name)
	if h == nil {
		h = &hosted{worker: plan.Worker{Host: name, Trials: plan.AnyNumber}, runs: make(map[job.TaskID]*placed)}
		t.hosts.add(h)
	}
	return h
}

// add counts a run that the store has.
func (h *hosted) add(id job.TaskID, step *job.Step, run int) {
	h.runs[id] = &placed{step: step, run: run, began: time.Now(), committed: true, moved: time.Now(), pace: pacing.Full}
	h.worker.Take(step)
}

// remove counts a run as gone.
func (h *hosted) remove(id job.TaskID, run int) {
	p := h.runs[id]
	if p == nil || p.run != run {
		return
	}
	delete(h.runs, id)
	h.worker.Give(p.step)
}

// stop asks for the end of a run; its room stays taken until the end is known.
func (t *term) stop(id job.TaskID, task *job.Task) {
	h := t.hosts.get(task.Host())
	if h == nil || h.runs[id] == nil || h.runs[id].run != task.Run() {
		return
	}
	p := h.runs[id]
	p.stopping = true
	if p.committed {
		t.sendStop(task.Host(), id, p)
	}
}

// halt stops a committed run, so that its task starts elsewhere.
func (t *term) halt(host job.Host, id job.TaskID, p *placed) {
	p.stopping = true
	t.sendStop(host, id, p)
}

// sendStop orders the stop of a run and notes when, unless its agent cannot be reached.
func (t *term) sendStop(host job.Host, id job.TaskID, p *placed) {
	if t.orderStop(host, id, p.run) {
		p.stopSent = time.Now()
	}
}

// run returns a run that is placed here, nil for any other.
func (h *hosted) run(r link.Run) *placed {
	id, ok := r.TaskID()
	p := h.runs[id]
	if !ok || p == nil || p.run != r.Number {
		return nil
	}
	return p
}

// lose takes back runs of an incarnation that has ended, and forgets the incarnation once none is left.
func (t *term) lose(h *hosted, runs []job.TaskID, reason string) {
	if len(runs) > 0 {
		t.logger.Warn("a worker's runs are lost; vm=%s instance=%s runs=%d reason=%s",
			h.worker.Host.VM, h.worker.Host.Incarnation, len(runs), reason)
	}
	for _, id := range runs {
		t.apply(id, h.runs[id].run, job.EndLapsed, "", h.worker.Host)
	}
	if len(h.runs) == 0 {
		t.hosts.remove(h.worker.Host)
	}
	t.wakeUp()
}

// apply records the end of a run, wherever the task stands now.
func (t *term) apply(id job.TaskID, run int, end job.End, checkpoint string, host job.Host) {
	began := time.Time{}
	if h := t.hosts.get(host); h != nil {
		if p := h.runs[id]; p != nil {
			began = p.began
		}
		h.remove(id, run)
	}
	known := t.jobs[id.Job]
	if known == nil || !known.job.Ended(id, run, end, checkpoint) {
		return
	}
	known.holdBack(id, end, began)
	t.logger.Info("run ended; task=%s run=%d vm=%s end=%s", id, run, host.VM, end)
	step := &known.job.Spec().Steps[id.Step]
	if h := t.hosts.get(host); h != nil && !step.Lasting {
		h.judge(end)
	}
	if step.Gang && end == job.EndDone {
		t.endGang(known, id)
	}
	if end == job.EndFailed {
		known.failed[host] = true
	}
	t.conclude(known)
	t.touch(known)
}

// conclude ends what is left of a job that has just come to its final state.
func (t *term) conclude(known *tracked) {
	state := known.job.State()
	if !state.Final() || !known.ended.IsZero() {
		return
	}
	t.logger.Info("job ended; job=%s state=%s ms=%d objective_ms=%d",
		known.job.ID(), state, time.Since(known.since).Milliseconds(), known.job.Objective().Milliseconds())
	t.finish(known)
}

// endGang stops what is left of a gang that one end has ended for all: an order that is still on its way, at the most.
func (t *term) endGang(known *tracked, ended job.TaskID) {
	member := ended
	for member.Index = range known.job.Tasks(ended.Time, ended.Step) {
		t.stop(member, known.job.Task(member))
	}
}

// judge counts failures in a row of the tasks that end by themselves.
func (h *hosted) judge(end job.End) {
	switch end {
	case job.EndDone:
		h.failures = 0
	case job.EndFailed:
		h.failures++
	default:
	}
}
