package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// commitWaitTimeout is how long the answer to a report waits for its ends to be committed.
const commitWaitTimeout = 300 * time.Millisecond

// agent is an agent as its latest report tells.
type agent struct {
	vm               string
	hall             string
	session          session
	lastReport       time.Time
	host             job.Host
	acknowledgedEnds uint64
	// rowReader reads the reports of the session, and fences are the numbers that were granted to it.
	rowReader *link.RowReader
	fences    fenceRange
	// callsBrokenAt is when the calls to the worker last broke off, zero where they never did.
	callsBrokenAt time.Time
	// pendingOrders are gathered until they are sent.
	pendingOrders *link.Orders
}

// receivedReport is a report that was receivedReport, and what must be saved before its ends and crashes may go.
type receivedReport struct {
	agent            *agent
	report           link.Report
	answer           link.ReportAnswer
	requiredVersions map[*trackedJob]uint64
	lastCrash        uint64
	// reconciled says that the reported reconciled were looked at.
	reconciled bool
}

// report takes what an agent and its worker have, and answers with the permission to go on.
func (t *term) report(s session, r link.Report) (link.ReportAnswer, error) {
	if r.Epoch > t.epoch {
		return link.ReportAnswer{}, fault.New(fault.Stale, "epoch %d is newer than this lead's %d", r.Epoch, t.epoch)
	}
	known, err := t.receiveReport(s, r)
	if err != nil {
		t.logger.Warn("report is refused; vm=%s instance=%s reason=%v", r.VM, r.Incarnation(), err)
		return link.ReportAnswer{}, err
	}
	return t.completeAnswer(known, t.awaitSaved(known.requiredVersions)), nil
}

// receiveReport records what an agent and its worker have.
func (t *term) receiveReport(s session, r link.Report) (*receivedReport, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.superseded(s, r) {
		return nil, fault.New(fault.Stale, "%s has reported by a newer connection", r.VM)
	}
	a := t.ensureAgent(r.VM)
	if a.session == nil || a.session.number() != s.number() {
		a.rowReader, a.fences = link.NewRowReader(), t.grantFences()
	}
	if err := a.readRows(&r); err != nil {
		return nil, err
	}
	known := &receivedReport{agent: a, report: r, requiredVersions: make(map[*trackedJob]uint64)}
	concerned := make(map[*trackedJob]bool)
	known.lastCrash = t.recordCrashes(a, r, concerned)
	t.recordAgent(a, s, r)
	for concerning := range concerned {
		known.requiredVersions[concerning] = concerning.version
	}
	known.reconciled = t.reconcile(a, r, known.requiredVersions)
	answer := &known.answer
	answer.Epoch, answer.FirstFence, answer.LastFence = t.epoch, a.fences.first, a.fences.last
	answer.Profiles = t.profiles(r.Unknown)
	answer.Interference, answer.LoadFrequency = t.interferenceWeights(a.host), quantize(t.pressure.LoadFrequency(), frequencyResolution)
	answer.Loads = t.serviceLoads(a.host)
	answer.Backlog = quantize(t.backlog.level, backlogResolution)
	answer.Hall = t.hallStatus(r.Hall)
	if len(t.dirty) > 0 {
		t.wakeUp()
	}
	return known, nil
}

// completeAnswer completes the answer to a report, by whether what follows from it is saved.
func (t *term) completeAnswer(known *receivedReport, saved bool) link.ReportAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, r, answer := known.agent, known.report, known.answer
	if saved {
		answer.AcknowledgedCrashes = known.lastCrash
	}
	if saved && known.reconciled && a.host == (job.Host{VM: r.VM, Incarnation: r.Incarnation()}) {
		for _, e := range r.Ended {
			a.acknowledgedEnds = max(a.acknowledgedEnds, e.Sequence)
		}
	}
	age := t.verificationAge()
	answer.AcknowledgedEnds = a.acknowledgedEnds
	answer.LeaseMillis = min(agentLease, max(leaderTimeout-age, 0)).Milliseconds()
	answer.Unverified = age > staleVerificationAfter
	answer.Entries, answer.List = t.entriesFor(r.VM, r.List)
	if newest := t.dispatcher.config.Policies.Newest(); newest != nil {
		answer.Connections = newest.Connections(r.Service)
		answer.UnknownService = r.Instance != "" && !newest.HasService(r.Service)
	}
	return answer
}

// superseded reports whether the agent has reported by a newer connection, so that a cut has held this report up. An agent
// that starts again connects anew, and a connection that reports was answered while its agent lived: so the order of
// connections is that of the agent's lives, and that of what they saw of the worker.
func (t *term) superseded(s session, r link.Report) bool {
	a := t.agents[r.VM]
	return a != nil && a.session != nil && s.number() < a.session.number()
}

// readRows brings the runs of a report back that are told as rows.
func (a *agent) readRows(r *link.Report) (err error) {
	if r.Running == nil {
		r.Running, err = a.rowReader.Read(r.Rows, r.Named)
	}
	return err
}

// ensureAgent returns what is known of the agent of a VM, with an empty record of one that is new.
func (t *term) ensureAgent(vm string) *agent {
	a := t.agents[vm]
	if a == nil {
		a = &agent{vm: vm}
		t.agents[vm] = a
	}
	return a
}

// recordAgent records the agent and the incarnation of its worker; an earlier incarnation has lost all that it ran.
func (t *term) recordAgent(a *agent, s session, r link.Report) {
	a.session, a.lastReport, a.hall = s, time.Now(), r.Hall
	a.recordDisconnect(r.FirstFailureMillis)
	if r.Instance == "" || !r.Fenced {
		return
	}
	current := job.Host{VM: r.VM, Incarnation: r.Incarnation()}
	t.completeIdentity(current)
	if a.host != current {
		t.logger.Info("worker reports; vm=%s instance=%s labels=%v cpu=%d memory=%d", r.VM, current.Incarnation, r.Labels, r.CPU, r.Memory)
		a.host, a.acknowledgedEnds, a.pendingOrders = current, 0, nil
		for _, earlier := range t.hosts.onVM(r.VM) {
			if earlier.worker.Host != current {
				t.retireIncarnation(a, earlier, nil, current.Incarnation, "the worker has another incarnation")
			}
		}
		t.stopLateStarts(current)
	}
	if !r.Silent {
		t.resolveUnreachable(current)
	}
	w := &t.ensureHost(current).worker
	if open := !r.Draining && !r.Silent; open != w.Schedulable {
		t.wakeUp()
	}
	w.Service, w.Labels = r.Service, r.Labels
	w.Capacity = job.Size{CPU: r.CPU, Memory: r.Memory, GPU: r.GPU}
	w.Schedulable = !r.Draining && !r.Silent
	t.hosts.get(current).draining = r.Draining
}

// awaitSaved waits until jobs are saved at given versions and reports whether they are.
func (t *term) awaitSaved(needed map[*trackedJob]uint64) bool {
	deadline := time.NewTimer(commitWaitTimeout)
	defer deadline.Stop()
	for {
		t.mu.Lock()
		committed := t.committed
		missing := false
		for known, version := range needed {
			missing = missing || known.savedVersion < version
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
		if known := t.jobOf(r); known != nil {
			id, _ := r.TaskID()
			found = append(found, profileOf(&known.job.Spec().Steps[id.Step], r))
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
