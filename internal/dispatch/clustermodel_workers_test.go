package dispatch

import (
	"slices"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// follow connects an agent to a leader, unless it has followed one of a later epoch.
func (m *clusterModel) follow(a *fakeAgent, t *term) bool {
	if t.epoch < a.epoch {
		return false
	}
	if t.epoch > a.epoch {
		a.epoch, a.connectedAt = t.epoch, time.Now()
		a.pendingOrders = nil
		a.rejected = nil
	}
	a.worker.fence = max(a.worker.fence, a.epoch)
	return true
}

// report reports the state of a worker to a leader and applies the answer.
func (m *clusterModel) report(a *fakeAgent, t *term) {
	if !m.follow(a, t) {
		return
	}
	a.detectWorker()
	a.worker.expire()
	sent := time.Now()
	r := link.Report{
		VM: a.vm, Hall: a.hall, Epoch: a.epoch, Instance: a.known.Worker(), StartMillis: a.known.StartMillis(), Service: testService, CPU: testCapacity.CPU,
		Memory: testCapacity.Memory, Fenced: true, Rejected: a.rejected,
	}
	if a.lost {
		r.Unreachable, r.LeaseExpired, r.Fenced = true, time.Now().After(a.lostLeaseEnd), a.epoch == a.lostEpoch
	}
	for _, name := range sortedKeys(a.worker.running) {
		run := link.Run{Task: name, Number: a.worker.running[name].number}
		a.listed[run] = true
		r.Running = append(r.Running, link.Running{Run: run, Pace: 100})
	}
	for _, e := range a.worker.ended {
		if e.Sequence > a.acknowledgedEnds && len(r.Ended) < maxModelEnds {
			r.Ended = append(r.Ended, e)
		}
	}
	r.MoreEnds = len(r.Ended) == maxModelEnds
	if !r.MoreEnds {
		r.Rejected = append(r.Rejected, a.refusedAsOld(r.Ended)...)
	}
	r.Pending = append(r.Pending, a.refusedOld...)
	for _, orders := range a.pendingOrders {
		if orders.Incarnation() != a.known {
			continue
		}
		for _, s := range orders.Starts {
			r.Pending = append(r.Pending, s.Run)
		}
	}
	before := len(a.pendingOrders)
	answered := make(chan struct{})
	var answer link.ReportAnswer
	var err error
	go func() {
		defer close(answered)
		answer, err = t.report(fakeSession{a}, r)
	}()
	synctest.Wait()
	if t == m.currentTerm() {
		m.runLeader(t)
	}
	<-answered
	// The orders that the leader sends meanwhile use another connection, so the answer may arrive before or after them.
	synctest.Wait()
	var delayed []link.Orders
	if rapid.Bool().Draw(m.t, "answer before orders") {
		delayed = slices.Clone(a.pendingOrders[before:])
		a.pendingOrders = a.pendingOrders[:before]
	}
	if err == nil {
		m.applyAnswer(a, r, answer, sent)
	}
	a.pendingOrders = append(a.pendingOrders, delayed...)
	if err == nil && r.LeaseExpired && t == m.currentTerm() {
		m.checkReleased(a)
	}
}

// loseWorker loses the worker of an agent permanently, unless another one is lost: the jobs need the capacity of the rest.
func (m *clusterModel) loseWorker(a *fakeAgent) {
	for _, other := range m.agents {
		if other.lost {
			return
		}
	}
	a.detectWorker()
	a.lost, a.lostLeaseEnd, a.lostEpoch = true, a.leaseEnd, a.epoch
	a.worker.running, a.worker.ended = make(map[string]fakeRun), nil
}

// checkReleased fails the test if a task is placed on a lost worker after its agent has reported to the leader that its leases have expired.
func (m *clusterModel) checkReleased(a *fakeAgent) {
	for _, h := range m.currentTerm().hosts.onVM(a.vm) {
		if h.worker.Host.Incarnation == a.known && len(h.runs) > 0 {
			m.t.Fatalf("%d runs are placed on %s, whose leases have expired", len(h.runs), a.known)
		}
	}
}

func (m *clusterModel) applyAnswer(a *fakeAgent, r link.Report, answer link.ReportAnswer, sent time.Time) {
	if sent.After(a.leaseEnd) && !a.leaseEnd.IsZero() {
		a.dropOrders()
	}
	a.updateHall(answer.Hall, sent)
	a.worker.expire()
	a.leaseEnd = later(a.leaseEnd, sent.Add(time.Duration(answer.LeaseMillis)*time.Millisecond))
	if r.Incarnation() != a.worker.id {
		return
	}
	a.rejected = nil
	a.acknowledgedEnds = max(a.acknowledgedEnds, answer.AcknowledgedEnds)
	a.worker.leaseEnd = a.leaseEnd
	for _, e := range a.worker.ended {
		// Ends before the last lease expiry of the worker may have been discarded by the platform's rules.
		if e.Sequence <= a.worker.expiredSequence {
			continue
		}
		if e.Sequence <= a.acknowledgedEnds && job.End(e.End) == job.EndDone {
			m.acknowledgedTasks[e.Task] = true
		}
		if e.Sequence <= a.acknowledgedEnds && job.End(e.End) == job.EndFailed {
			m.acknowledgedFailures.add(m.unit(e.Task), e.Number)
		}
	}
	a.worker.ended = slices.DeleteFunc(a.worker.ended, func(e link.Ended) bool { return e.Sequence <= a.acknowledgedEnds })
	for name, run := range a.worker.running {
		run.until = a.leaseEnd
		a.worker.running[name] = run
	}
}

// deliverOrders carries out one random message of the agent's pending orders, not always the oldest.
func (m *clusterModel) deliverOrders(a *fakeAgent) {
	if len(a.pendingOrders) == 0 {
		return
	}
	index := rapid.IntRange(0, len(a.pendingOrders)-1).Draw(m.t, "letter")
	orders := a.pendingOrders[index]
	a.pendingOrders = slices.Delete(a.pendingOrders, index, index+1)
	if orders.Epoch != a.epoch || orders.Incarnation() != a.known {
		return
	}
	a.updateHall(orders.Hall, a.connectedAt)
	for _, s := range orders.Starts {
		m.start(a, s)
	}
	for _, s := range orders.Stops {
		a.stop(s)
	}
}

func (m *clusterModel) start(a *fakeAgent, s link.Start) {
	worker := a.worker
	worker.expire()
	if a.listed[s.Run] {
		return
	}
	if a.lost {
		a.refusedRuns[s.Task] = max(a.refusedRuns[s.Task], s.Number)
		a.rejected = append(a.rejected, link.Rejected{Run: s.Run, Refusal: 1})
		return
	}
	if s.Number <= a.refusedRuns[s.Task] {
		if worker.running[s.Task].number != s.Number && !slices.ContainsFunc(worker.ended, func(e link.Ended) bool { return e.Run == s.Run }) {
			a.rejected = append(a.rejected, link.Rejected{Run: s.Run, Refusal: 3})
		}
		return
	}
	if worker.latest[s.Task] < s.Number && (!time.Now().Before(a.leaseEnd) || worker.fence > a.epoch || !a.mayStart()) {
		if worker.latest[s.Task] < s.Number {
			a.refusedRuns[s.Task] = s.Number
		}
		a.rejected = append(a.rejected, link.Rejected{Run: s.Run, Refusal: 1})
		return
	}
	if worker.latest[s.Task] >= s.Number {
		if run, runs := worker.running[s.Task]; !runs || run.number != s.Number {
			a.refusedOld = append(a.refusedOld, s.Run)
		}
		return
	}
	m.checkStart(a, s)
	id, _ := job.ParseTaskID(s.Task)
	worker.latest[s.Task] = s.Number
	worker.running[s.Task] = fakeRun{number: s.Number, until: a.leaseEnd, size: m.specs[id.Job].Steps[id.Step].Reservation()}
	worker.checkCapacity(m.t)
}

// checkStart fails the test if a start must not happen.
func (m *clusterModel) checkStart(a *fakeAgent, s link.Start) {
	id, _ := job.ParseTaskID(s.Task)
	spec, known := m.specs[id.Job]
	if !known {
		m.t.Fatalf("%s: started, but not submitted", s.Task)
	}
	if since, closed := m.closedSince[a.hall]; closed && time.Since(since) > testClosureDelay {
		m.t.Fatalf("%s: run %d starts on %s in a hall that has been closed for %s", s.Task, s.Number, a.vm, time.Since(since))
	}
	step := spec.Steps[id.Step]
	for _, other := range m.agents {
		other.worker.expire()
		if _, runs := other.worker.running[s.Task]; runs {
			m.t.Fatalf("%s: run %d starts on %s while it runs on %s", s.Task, s.Number, a.vm, other.vm)
		}
	}
	if m.acknowledgedTasks[s.Task] && !step.LongRunning {
		m.t.Fatalf("%s: run %d starts after the acknowledged end of the task", s.Task, s.Number)
	}
	if unit := m.unit(s.Task); len(m.acknowledgedFailures[unit]) >= testAttempts && !step.LongRunning {
		m.t.Fatalf("%s: run %d starts after the failed runs %v", s.Task, s.Number, m.acknowledgedFailures[unit])
	}
	for _, d := range step.DependsOn {
		if !m.stepDone(id, d) {
			m.t.Fatalf("%s: starts before the end of step %d", s.Task, d)
		}
	}
}

func (m *clusterModel) stepDone(id job.TaskID, step int) bool {
	spec := m.specs[id.Job].Steps[step]
	for i := range spec.Count {
		name := job.TaskID{Job: id.Job, Step: step, Index: i}.String()
		if m.completedTasks[name] == spec.Gang && spec.Gang {
			return true
		}
		if !spec.Gang && !m.completedTasks[name] {
			return false
		}
	}
	return !spec.Gang
}

// finishRandomRun ends a random run of a worker.
func (m *clusterModel) finishRandomRun(a *fakeAgent) {
	a.worker.expire()
	names := sortedKeys(a.worker.running)
	if len(names) == 0 {
		return
	}
	name := rapid.SampledFrom(names).Draw(m.t, "ends")
	id, _ := job.ParseTaskID(name)
	step := m.specs[id.Job].Steps[id.Step]
	end := job.EndDone
	if step.LongRunning || rapid.IntRange(0, 5).Draw(m.t, "fails") == 0 {
		end = job.EndFailed
	}
	if step.Gang {
		m.endGang(id, step.Count, end)
		return
	}
	if end == job.EndDone {
		m.completedTasks[name] = true
	}
	m.endRun(a.worker, name, end)
}

// endRun ends a run of a worker and records whether it failed.
func (m *clusterModel) endRun(w *fakeWorker, name string, end job.End) {
	if end == job.EndFailed {
		m.failures.add(m.unit(name), w.running[name].number)
	}
	w.end(name, end)
}

// endGang ends all members of a gang together, as job.EndGangIncomplete if some are missing. Several members may fail in one run.
func (m *clusterModel) endGang(id job.TaskID, count int, end job.End) {
	members := make(map[string]*fakeWorker)
	for _, a := range m.agents {
		a.worker.expire()
		for name := range a.worker.running {
			if member, _ := job.ParseTaskID(name); member.Job == id.Job && member.Step == id.Step {
				members[name] = a.worker
			}
		}
	}
	if len(members) < count {
		for _, name := range sortedKeys(members) {
			members[name].end(name, job.EndGangIncomplete)
		}
		return
	}
	for n, name := range sortedKeys(members) {
		memberEnd := end
		if n > 0 && end == job.EndFailed && rapid.Bool().Draw(m.t, "member is broken") {
			memberEnd = job.EndGangBroken
		}
		if end == job.EndDone {
			m.completedTasks[name] = true
		}
		m.endRun(members[name], name, memberEnd)
	}
}
