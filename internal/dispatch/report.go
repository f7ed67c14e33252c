package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// commitWaitTimeout is how long the answer to a report, or to a query of a job's state, waits for a commit.
const commitWaitTimeout = 300 * time.Millisecond

// agent is the state of an agent as of its last report.
type agent struct {
	vm         string
	hall       string
	session    session
	lastReport time.Time
	host       job.Host
	// confirmedAt is the time of the last report that confirmed the incarnation, leasedAt of the last one whose answer granted a lease.
	confirmedAt time.Time
	leasedAt    time.Time
	// workerlessSince is since when the agent has reported no worker, zero while it reports one.
	workerlessSince  time.Time
	acknowledgedEnds uint64
	// rowReader decodes the reports of the session, fences are the fencing tokens granted to it.
	rowReader *link.RowReader
	fences    fenceRange
	// firstFailure is when the first call failed in the latest series of failed calls to the worker, zero if there was none.
	firstFailure time.Time
	// pendingOrders are the orders that are not sent yet.
	pendingOrders *link.Orders
}

// receivedReport is a received report with the versions of jobs that must be saved before its ends and crashes may be acknowledged.
type receivedReport struct {
	agent            *agent
	report           link.Report
	answer           link.ReportAnswer
	requiredVersions map[*trackedJob]uint64
	lastCrash        uint64
	// reconciled reports whether the reported ends were recorded, leased whether the answer grants an agent lease.
	reconciled bool
	leased     bool
}

// report records the report of an agent and returns the answer with the agent lease.
func (t *term) report(s session, r link.Report) (link.ReportAnswer, error) {
	if r.Epoch > t.epoch {
		return link.ReportAnswer{}, fault.New(fault.Stale, "epoch %d is newer than this leader's %d", r.Epoch, t.epoch)
	}
	received, err := t.receiveReport(s, r)
	if err != nil {
		t.logger.Warn("report rejected; vm=%s instance=%s reason=%v", r.VM, r.Incarnation(), err)
		return link.ReportAnswer{}, err
	}
	t.awaitSaved(received.requiredVersions)
	return t.completeAnswer(received), nil
}

// receiveReport records the reported state of an agent and its worker and prepares the answer.
func (t *term) receiveReport(s session, r link.Report) (*receivedReport, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.superseded(s, r) {
		return nil, fault.New(fault.Stale, "%s has reported over a newer connection", r.VM)
	}
	a := t.ensureAgent(r.VM)
	if a.session == nil || a.session.number() != s.number() {
		a.rowReader, a.fences = link.NewRowReader(), t.grantFences()
	}
	if err := a.readRows(&r); err != nil {
		return nil, err
	}
	received := &receivedReport{agent: a, report: r, requiredVersions: make(map[*trackedJob]uint64)}
	affected := make(map[*trackedJob]bool)
	t.recordOutstanding(r)
	received.lastCrash = t.recordCrashes(a, r, affected)
	t.recordAgent(a, s, r)
	if received.leased = t.grantsLease(a, r); received.leased {
		a.leasedAt = a.lastReport
	}
	for tracked := range affected {
		received.requiredVersions[tracked] = tracked.version
	}
	received.reconciled = t.reconcile(a, r, received.requiredVersions)
	t.releaseRuns(r)
	answer := &received.answer
	answer.Epoch, answer.FirstFence, answer.LastFence = t.epoch, a.fences.first, a.fences.last
	answer.Profiles = t.profiles(r.MissingProfiles)
	answer.Interference, answer.LoadFrequency = t.interferenceWeights(a.host), quantize(t.pressure.LoadFrequency(), frequencyResolution)
	answer.Loads = t.serviceLoads(a.host)
	answer.Backlog = quantize(t.backlog.level, backlogResolution)
	answer.Hall = t.hallStatus(r.Hall)
	if len(t.dirty) > 0 {
		t.notifyChange()
	}
	return received, nil
}

// completeAnswer adds the lease, the entries and the acknowledgements of what is saved to the answer.
func (t *term) completeAnswer(received *receivedReport) link.ReportAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, r, answer := received.agent, received.report, received.answer
	if !t.unsaved(received.requiredVersions) {
		answer.AcknowledgedCrashes = received.lastCrash
	}
	if received.reconciled && a.host == (job.Host{VM: r.VM, Incarnation: r.Incarnation()}) {
		a.acknowledgedEnds = max(a.acknowledgedEnds, t.lastSavedEnd(received))
	}
	age := t.verificationAge()
	answer.AcknowledgedEnds = a.acknowledgedEnds
	if received.leased && !t.hasSteppedDown() {
		answer.LeaseMillis = min(agentLease, max(leaderTimeout-age, 0)).Milliseconds()
	}
	answer.Unverified = age > staleVerificationAfter
	answer.Entries, answer.EntriesVersion = t.entriesFor(r.VM, r.EntriesVersion)
	if newest := t.dispatcher.config.Policies.Newest(); newest != nil {
		answer.Connections = newest.Connections(r.Service)
		answer.UnknownService = r.Instance != "" && !newest.HasService(r.Service)
	}
	return answer
}

// superseded reports whether the agent has already reported over a newer connection, so that a network partition delayed this report. An agent
// opens a new connection when it starts, and a connection reports only after it was answered while its agent ran: so the order of connections
// is the order of the agent's incarnations and of their observations of the worker.
func (t *term) superseded(s session, r link.Report) bool {
	a := t.agents[r.VM]
	return a != nil && a.session != nil && s.number() < a.session.number()
}

// readRows decodes the running tasks of a report that are encoded as rows.
func (a *agent) readRows(r *link.Report) (err error) {
	if r.Running == nil {
		r.Running, err = a.rowReader.Read(r.Rows, r.RowNames)
	}
	return err
}

// ensureAgent returns the record of the agent of a VM and creates an empty one if there is none.
func (t *term) ensureAgent(vm string) *agent {
	a := t.agents[vm]
	if a == nil {
		a = &agent{vm: vm}
		t.agents[vm] = a
	}
	return a
}

// recordAgent records the session of an agent and the incarnation of its worker, and retires the previous incarnations on the VM.
func (t *term) recordAgent(a *agent, s session, r link.Report) {
	a.session, a.lastReport, a.hall = s, time.Now(), r.Hall
	a.recordFirstFailure(r.FirstFailureMillis)
	a.recordWorkerless(r.Instance == "")
	if !t.confirms(r) {
		return
	}
	a.confirmedAt = a.lastReport
	current := job.Host{VM: r.VM, Incarnation: r.Incarnation()}
	t.completeIdentity(current)
	if a.host != current {
		t.logger.Info("worker reports; vm=%s instance=%s labels=%v cpu=%d memory=%d", r.VM, current.Incarnation, r.Labels, r.CPU, r.Memory)
		a.host, a.acknowledgedEnds, a.pendingOrders = current, 0, nil
		for _, other := range t.hosts.onVM(r.VM) {
			if other.worker.Host != current {
				t.retireIncarnation(a, other, nil, r, "the worker has another incarnation")
			}
		}
		t.stopLateStarts(current)
	}
	if !r.Unreachable {
		t.resolveUnreachable(current)
	}
	h := t.ensureHost(current)
	h.confirm(a.lastReport.Add(time.Duration(r.MaxLeaseMillis) * time.Millisecond))
	w := &h.worker
	open := !r.Draining && !r.Unreachable
	if open != w.Schedulable {
		t.notifyChange()
	}
	w.Service, w.Labels = r.Service, r.Labels
	w.Capacity = job.Size{CPU: r.CPU, Memory: r.Memory, GPU: r.GPU}
	w.Schedulable, w.Stopping = open, r.Stopping
	h.draining = r.Draining
}

// lastSavedEnd returns the sequence up to which all reported ends are saved, 0 for none. An acknowledgement covers all ends up to its sequence.
func (t *term) lastSavedEnd(received *receivedReport) uint64 {
	last := uint64(0)
	ends := slices.SortedFunc(slices.Values(received.report.Ended), func(x, y link.Ended) int { return cmp.Compare(x.Sequence, y.Sequence) })
	for _, e := range ends {
		if tracked := t.jobOf(e.Run); tracked != nil && tracked.savedVersion < received.requiredVersions[tracked] {
			break
		}
		last = e.Sequence
	}
	return last
}

// unsaved reports whether the required version of a job is not saved.
func (t *term) unsaved(required map[*trackedJob]uint64) bool {
	for tracked, version := range required {
		if tracked.savedVersion < version {
			return true
		}
	}
	return false
}

// savesPending reports whether the required version of a job is not saved but may be soon.
func (t *term) savesPending(required map[*trackedJob]uint64) bool {
	for tracked, version := range required {
		if tracked.savedVersion < version && !tracked.suspended() {
			return true
		}
	}
	return false
}

// awaitSaved waits until the required versions of jobs are saved, and reports whether they are within commitWaitTimeout. It does not wait for jobs whose
// progress the store refuses.
func (t *term) awaitSaved(required map[*trackedJob]uint64) bool {
	deadline := time.NewTimer(commitWaitTimeout)
	defer deadline.Stop()
	for {
		t.mu.Lock()
		committed, pending, unsaved := t.committed, t.savesPending(required), t.unsaved(required)
		t.mu.Unlock()
		if !pending {
			return !unsaved
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
		if tracked := t.jobOf(r); tracked != nil {
			id, _ := r.TaskID()
			found = append(found, profileOf(&tracked.job.Spec().Steps[id.Step], r))
		}
	}
	return found
}

func profileOf(step *job.Step, r link.Run) link.Profile {
	return link.Profile{
		Run: r, Image: step.Image, CPU: step.Size.CPU, Memory: step.Size.Memory, GPU: step.Size.GPU, TargetMillis: step.Target.Milliseconds(),
		BestEffort: step.BestEffort, LongRunning: step.LongRunning,
	}
}
