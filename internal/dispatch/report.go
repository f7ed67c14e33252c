package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

const (
	// commitPatience is how long the answer to a report waits for its ends to be committed.
	commitPatience = 300 * time.Millisecond
	// resendAfter is how long after its order a run may be missing from a report before it is ordered again.
	resendAfter = 900 * time.Millisecond
)

// agent is an agent as its latest report tells.
type agent struct {
	vm      string
	session session
	heard   time.Time
	host    job.Host
	seen    uint64
	// orders are gathered until they are sent.
	orders *link.Orders
}

// report takes what an agent and its worker have, and answers with the permission to go on.
func (t *term) report(s session, r link.Report) (link.ReportAnswer, error) {
	if r.Epoch > t.epoch {
		return link.ReportAnswer{}, fault.New(fault.Stale, "epoch %d is newer than this lead's %d", r.Epoch, t.epoch)
	}
	t.mu.Lock()
	answer := link.ReportAnswer{Epoch: t.epoch}
	a := t.hear(s, r)
	needed, taken := t.reconcile(a, r)
	answer.Profiles = t.profiles(r.Unknown)
	answer.Presses = t.presses(a.host)
	t.mu.Unlock()
	t.wakeUp()
	saved := taken && t.awaitSaved(needed)
	t.mu.Lock()
	defer t.mu.Unlock()
	if saved {
		for _, e := range r.Ended {
			a.seen = max(a.seen, e.Sequence)
		}
	}
	age := time.Since(t.verified)
	answer.Seen = a.seen
	answer.PermissionMillis = min(permission, max(trust-age, 0)).Milliseconds()
	answer.Doubtful = age > doubtAfter
	answer.Entries = t.entryList()
	return answer, nil
}

// hear takes note of the agent and of the life of its worker; an earlier life has lost all that it ran.
func (t *term) hear(s session, r link.Report) *agent {
	a := t.agents[r.VM]
	if a == nil {
		a = &agent{vm: r.VM}
		t.agents[r.VM] = a
	}
	a.session, a.heard = s, time.Now()
	if r.Instance == "" || !r.Fenced {
		return a
	}
	current := job.Host{VM: r.VM, Instance: r.Instance}
	if a.host != current {
		t.logger.Info("worker heard; vm=%s instance=%s labels=%v cpu=%d memory=%d", r.VM, r.Instance, r.Labels, r.CPU, r.Memory)
		a.host, a.seen, a.orders = current, 0, nil
		for _, earlier := range t.hostsInOrder() {
			if other := earlier.worker.Host; other.VM == r.VM && other != current {
				t.lose(earlier, "the worker has a new life")
			}
		}
	}
	w := &t.host(current).worker
	w.Service, w.Labels = r.Service, r.Labels
	w.Capacity = job.Size{CPU: r.CPU, Memory: r.Memory, GPU: r.GPU}
	w.Open = !r.Draining && !r.Silent
	t.hosts[current].draining = r.Draining
	return a
}

// reconcile compares what the worker has with what is placed there. It returns which jobs must be saved before the
// reported ends may go, and whether the ends were looked at.
func (t *term) reconcile(a *agent, r link.Report) (map[*tracked]uint64, bool) {
	h := t.hosts[job.Host{VM: r.VM, Instance: r.Instance}]
	if h == nil || !r.Fenced || r.Epoch != t.epoch {
		return nil, false
	}
	needed := make(map[*tracked]uint64)
	for _, e := range r.Ended {
		if id, ok := e.TaskID(); ok {
			t.apply(id, e.Number, job.End(e.End), e.Checkpoint, a.host)
			if known := t.jobs[id.Job]; known != nil {
				needed[known] = known.version
			}
		}
	}
	for _, rejected := range r.Rejected {
		t.rejected(h, rejected)
	}
	switch {
	case !r.Silent:
		t.compare(h, r)
		t.sample(h, r)
	case r.Lapsed:
		t.lose(h, "the worker is silent and its time is over")
	}
	return needed, true
}

// rejected takes back a run that never started.
func (t *term) rejected(h *hosted, r link.Rejected) {
	id, ok := r.TaskID()
	p := h.runs[id]
	if !ok || p == nil || p.run != r.Number {
		return
	}
	t.logger.Info("start rejected; task=%s run=%d vm=%s reason=%s", r.Task, r.Number, h.worker.Host.VM, host.Refusal(r.Refusal))
	h.remove(id, r.Number)
	known := t.jobs[id.Job]
	if known == nil {
		return
	}
	known.failed[h.worker.Host] = true
	if known.job.Unplace(id, r.Number) {
		t.touch(known)
	}
}

// compare orders again what is missing and stops what should not run.
func (t *term) compare(h *hosted, r link.Report) {
	present := make(map[job.TaskID]int, len(r.Running)+len(r.Pending))
	for _, running := range r.Running {
		id, ok := running.TaskID()
		if !ok {
			continue
		}
		present[id] = running.Number
		t.running(h, id, running)
	}
	for _, pending := range r.Pending {
		if id, ok := pending.TaskID(); ok {
			present[id] = pending.Number
		}
	}
	for _, id := range h.runsInOrder() {
		p := h.runs[id]
		if present[id] != p.run && p.committed && !p.stopping && time.Since(p.sent) > resendAfter {
			t.orderStart(h.worker.Host, id, p)
		}
		if present[id] != p.run && p.stopping && time.Since(p.stopSent) > resendAfter {
			p.stopSent = time.Now()
			t.orderStop(h.worker.Host, id, p.run)
		}
	}
}

// running takes note of a run that the worker has.
func (t *term) running(h *hosted, id job.TaskID, r link.Running) {
	p := h.runs[id]
	if p == nil || p.run != r.Number {
		t.orderStop(h.worker.Host, id, r.Number)
		return
	}
	if p.stopping {
		if time.Since(p.stopSent) > resendAfter {
			p.stopSent = time.Now()
			t.orderStop(h.worker.Host, id, p.run)
		}
		return
	}
	if known := t.jobs[id.Job]; known != nil {
		known.job.Save(id, r.Number, r.Checkpoint)
	}
	p.paced(r.Pace)
	if r.Percent != p.percent || r.Pace < steadyPace {
		p.percent, p.moved = r.Percent, time.Now()
	}
}

// steadyPace is the pace in percent below which a task that stands still is not held against its worker.
const steadyPace = 50

// awaitSaved waits until jobs are saved at given versions and reports whether they are.
func (t *term) awaitSaved(needed map[*tracked]uint64) bool {
	deadline := time.NewTimer(commitPatience)
	defer deadline.Stop()
	for {
		t.mu.Lock()
		committed := t.committed
		missing := false
		for known, version := range needed {
			missing = missing || known.saved < version
		}
		t.mu.Unlock()
		if !missing {
			return true
		}
		select {
		case <-committed:
		case <-deadline.C:
			return false
		case <-t.done:
			return false
		}
	}
}

func (t *term) profiles(runs []link.Run) []link.Profile {
	var found []link.Profile
	for _, r := range runs {
		id, ok := r.TaskID()
		known := t.jobs[id.Job]
		if ok && known != nil && known.job.Task(id) != nil {
			found = append(found, profileOf(&known.job.Spec().Steps[id.Step], r))
		}
	}
	return found
}

func profileOf(step *job.Step, r link.Run) link.Profile {
	return link.Profile{
		Run: r, Image: step.Image, CPU: step.Size.CPU, TargetMillis: step.Target.Milliseconds(),
		Fills: step.Fills, Lasting: step.Lasting,
	}
}
