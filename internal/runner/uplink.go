package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// reportInterval is the longest time between two reports.
	reportInterval = 600 * time.Millisecond
	// reportTimeout bounds the answer to a report, which may wait for a commit.
	reportTimeout = 1100 * time.Millisecond
	// dialTimeout bounds the time to connect to the leader.
	dialTimeout = 500 * time.Millisecond
)

// runUplink keeps a connection to the leader and reports the state of the worker.
func (r *Runner) runUplink(ctx context.Context) error {
	backoff := wait.NewBackoff(minSearchDelay, maxSearchDelay, r.config.Random)
	// afterEpoch is the epoch of a leader that did not answer.
	afterEpoch := uint64(0)
	for ctx.Err() == nil {
		leader, err := r.findLeader(ctx, afterEpoch)
		if err == nil {
			wait.For(ctx, r.connectDelay(leader))
			var reported bool
			reported, err = r.reportTo(ctx, leader.Leader)
			afterEpoch = failedEpoch(leader.Epoch, reported, err)
			if reported {
				backoff.Reset()
				r.storeBackoff.Reset()
			}
		}
		if ctx.Err() == nil {
			r.logger.Warn("no leader; reason=%v", err)
			wait.For(ctx, backoff.Next()+retryAfter(err))
		}
	}
	return ctx.Err()
}

// failedEpoch returns the epoch after which a later leader is searched for, 0 if the same one may be used again: it has answered reports, or it answers
// that it does not lead, as a newly elected leader does while it loads the jobs.
func failedEpoch(epoch uint64, reported bool, err error) uint64 {
	if reported || fault.Is(err, fault.Stale) {
		return 0
	}
	return epoch
}

// retryAfter returns the retry delay requested by a leader that rejects this agent.
func retryAfter(err error) time.Duration {
	if fault.Is(err, fault.Overloaded) {
		return fault.RetryAfter(err)
	}
	return 0
}

// reportTo reports to one leader until it stops answering or is replaced, and returns whether it answered a report.
func (r *Runner) reportTo(ctx context.Context, leader record.Leader) (bool, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	session, err := rpc.DialWith(bounded, r.config.Dial, leader.Address, r.config.Secret, r.mux)
	cancel()
	if err != nil {
		return false, err
	}
	defer session.Close()
	if err := r.adoptLeader(session, leader); err != nil {
		return false, err
	}
	r.logger.Info("connected to leader; epoch=%d node=%s", leader.Epoch, leader.Process)
	checkedAt, u := time.Now(), &uplink{session: session}
	reported := false
	for ctx.Err() == nil {
		unverified, err := r.sendReport(ctx, u)
		if err != nil {
			return reported, err
		}
		if !reported {
			r.sendFence(ctx)
		}
		reported = true
		if unverified && time.Since(checkedAt) > leaderCheckInterval {
			checkedAt = time.Now()
			if latest, err := r.queryEntries(ctx, link.LeaderRequest{After: leader.Epoch, AtOnce: true}); err == nil && latest.Epoch > leader.Epoch {
				return reported, fault.New(fault.Stale, "leader of epoch %d replaced that of %d", latest.Epoch, leader.Epoch)
			}
		}
		select {
		case <-ctx.Done():
		case <-session.Done():
			return reported, fault.New(fault.Unavailable, "the leader closed the connection")
		case <-r.reportDue:
		case <-time.After(reportInterval):
		}
	}
	return reported, ctx.Err()
}

// adoptLeader sets the leader; an earlier epoch than the current one is rejected.
func (r *Runner) adoptLeader(session *rpc.Peer, leader record.Leader) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader.Epoch < r.epoch {
		return fault.New(fault.Stale, "epoch %d is earlier than %d", leader.Epoch, r.epoch)
	}
	if leader.Epoch > r.epoch && r.worker != nil {
		r.worker.cancelOrders()
	}
	r.epoch, r.session = leader.Epoch, session
	r.hall.connectedAt = r.config.Uptime.Now()
	return nil
}

// uplink is a connection to a leader, with what the leader has received over it.
type uplink struct {
	session *rpc.Peer
	// rowWriter is nil until the leader is known to read rows, entryList the number of the list of entries received last.
	rowWriter *link.RowWriter
	entryList uint64
}

// compact replaces the running runs of a report by rows if the leader reads them. Checkpoints that don't fit into the report follow in later ones.
func (u *uplink) compact(report *link.Report) {
	report.EntriesVersion = u.entryList
	if u.rowWriter != nil {
		report.Rows, report.RowNames = u.rowWriter.Write(report.Running)
		report.Running = nil
		return
	}
	budget := link.NewCheckpointBudget()
	for i := range report.Running {
		if !budget.Take(report.Running[i].Checkpoint) {
			report.Running[i].Checkpoint = ""
		}
	}
}

// applyAnswer updates the connection from the leader's answer.
func (u *uplink) applyAnswer(answer link.ReportAnswer) {
	u.entryList = answer.EntriesVersion
	if u.entryList > 0 && u.rowWriter == nil {
		u.rowWriter = link.NewRowWriter()
	}
}

// sendReport sends one report, applies the answer, and returns whether the leader is unverified. After an error the connection is closed.
func (r *Runner) sendReport(ctx context.Context, u *uplink) (bool, error) {
	r.awaitStartOutcomes(ctx)
	sentAt := r.config.Uptime.Now()
	report, w := r.compose()
	u.compact(&report)
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := rpc.Call[link.Report, link.ReportAnswer](bounded, u.session, link.MethodReport, report)
	if err != nil {
		return false, err
	}
	u.applyAnswer(answer)
	if len(answer.Entries) > 0 {
		r.config.Pool.Add(answer.Entries)
	}
	r.config.Worker.LimitConnections(answer.Connections)
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.Epoch != r.epoch {
		return false, fault.New(fault.Stale, "the leader has epoch %d, not %d", answer.Epoch, r.epoch)
	}
	if r.fences.grant(r.epoch, answer.FirstFence, answer.LastFence) {
		wait.Notify(r.heartbeat)
	}
	r.hall.update(answer.Hall, sentAt)
	r.crashes.acknowledge(answer.AcknowledgedCrashes)
	if w != nil && w == r.worker && !r.agentLeaseEnd.IsZero() && sentAt.After(r.agentLeaseEnd) {
		r.withdrawStarts(w)
	}
	r.extendAgentLease(sentAt, time.Duration(answer.LeaseMillis)*time.Millisecond)
	if w != nil && w == r.worker {
		w.applyAnswer(report, answer)
		wait.Notify(r.endsAcknowledged)
	}
	return answer.Unverified, nil
}

// extendAgentLease extends the agent lease by the lease that the answer to a report grants, counted from when the report was sent. An answer that
// grants none changes nothing: the end of the last lease decides when runs are stopped.
func (r *Runner) extendAgentLease(sentAt boottime.Instant, lease time.Duration) {
	if end := sentAt.Add(lease); lease > 0 && end.After(r.agentLeaseEnd) {
		r.agentLeaseEnd = end
	}
}

// withdrawStarts withdraws all starts in progress: the agent lease had expired meanwhile, so the leader may have given up their runs and placed them
// elsewhere. The worker rejects a start that still arrives after its deadline.
func (r *Runner) withdrawStarts(w *workerState) {
	for run, o := range w.orders {
		if o.start != nil && !o.final {
			r.logger.Warn("withdrawing a start after the agent lease expired; task=%s run=%d", run.Task, run.Number)
			r.stopRun(w, run)
		}
	}
}

// applyAnswer stores what the leader's answer acknowledges and reports for this incarnation.
func (w *workerState) applyAnswer(report link.Report, answer link.ReportAnswer) {
	if report.Fenced {
		w.acknowledgedEnds = max(w.acknowledgedEnds, answer.AcknowledgedEnds)
	}
	w.unknownService = answer.UnknownService && report.Service == w.report.Service
	w.addProfiles(answer.Profiles)
	w.interference, w.loadFrequency, w.backlog = answer.Interference, answer.LoadFrequency, answer.Backlog
	w.loads = loadsOf(answer.Loads, time.Now())
	for _, rejected := range report.Rejected {
		if run, ok := parseRun(rejected.Run); ok && w.orders[run] != nil && w.orders[run].final {
			delete(w.orders, run)
		}
	}
}

// loadsOf converts loads reported by the leader, with the time of the report.
func loadsOf(reported map[string]link.Load, now time.Time) map[string]pressure.Load {
	loads := make(map[string]pressure.Load, len(reported))
	for name, load := range reported {
		loads[name] = pressure.Load{Headroom: load.Headroom, Slope: load.Slope, Mean: load.Mean, Deviation: load.Deviation, Time: now}
	}
	return loads
}

// compose returns the report of the worker's current state.
func (r *Runner) compose() (link.Report, *workerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := link.Report{VM: r.config.VM, Hall: r.config.Hall, Epoch: r.epoch, Crashes: r.crashes.compose(), Stopping: r.stopping, AgentAgeMillis: r.ageMillis()}
	w := r.worker
	report.LeaseExpired = r.leasesExpired(time.Now())
	r.leaseExpiryReported = report.LeaseExpired || r.leaseExpiryReported && (w == nil || w.unreachable)
	if w == nil {
		return report, nil
	}
	latest := w.report
	report.Instance, report.StartMillis, report.Service, report.Labels = w.id.Worker(), w.id.StartMillis(), latest.Service, latest.Labels
	report.CPU, report.Memory, report.GPU = latest.Capacity.CPU, latest.Capacity.Memory, latest.Capacity.GPU
	report.Draining, report.RemainingMillis = latest.Draining, latest.Remaining.Milliseconds()
	report.Unreachable, report.FirstFailureMillis = w.unreachable, millisSince(w.firstFailure)
	report.Fenced = w.fenced && r.fences.covers(w.highestFence, r.epoch)
	report.MaxLeaseMillis = max(time.Until(w.leaseEnd), 0).Milliseconds()
	report.Unsettled, report.Withdrawn = r.unsettledRuns(w, time.Now()), w.withdrawnRuns(time.Now())
	w.addRuns(&report)
	return report, w
}

// leasesExpired reports whether the leases of all runs on the VM have certainly expired: those of a worker that does not answer, or, before the
// first report of a worker, those that a previous process of the agent may have renewed.
func (r *Runner) leasesExpired(now time.Time) bool {
	if w := r.worker; w != nil {
		return w.unreachable && (w.idChanged || now.After(w.leaseEnd))
	}
	return !r.startedAt.IsZero() && now.Sub(r.startedAt) > runLease
}

// ageMillis returns the age of the process, at least 1 once it runs.
func (r *Runner) ageMillis() int64 {
	if r.startedAt.IsZero() {
		return 0
	}
	return max(time.Since(r.startedAt).Milliseconds(), 1)
}

// addEnded adds the ended runs of the latest view to a report, up to the first whose checkpoint doesn't fit: the next follow once these are
// acknowledged. A checkpoint that fits into no message is given up.
func (w *workerState) addEnded(report *link.Report) {
	budget := link.NewCheckpointBudget()
	report.MoreEnds = w.view.MoreEnds
	for _, e := range w.view.Ended {
		checkpoint := e.Checkpoint
		if link.TooLong(checkpoint) {
			checkpoint = ""
		}
		if !budget.Take(checkpoint) {
			report.MoreEnds = true
			return
		}
		report.Ended = append(report.Ended, link.Ended{Run: wireRun(e.Run), Sequence: e.Sequence, End: int(e.End), Checkpoint: checkpoint})
	}
}

// addRuns adds the runs of the latest view and the unsettled orders to a report.
func (w *workerState) addRuns(report *link.Report) {
	w.addEnded(report)
	listed := make(map[host.Run]bool, len(w.view.Ended)+len(w.view.Running))
	for _, e := range w.view.Ended {
		listed[e.Run] = true
	}
	for _, running := range w.view.Running {
		listed[running.Run] = true
		if _, known := w.profiles[running.Run]; !known {
			report.MissingProfiles = append(report.MissingProfiles, wireRun(running.Run))
		}
		report.Running = append(report.Running, link.Running{
			Run: wireRun(running.Run), Percent: running.Percent, Measurement: running.Measurement,
			Pace: w.paceOf(running.Run), Checkpoint: running.Checkpoint, Starting: w.possibleRuns.fresh(running.Run),
		})
	}
	for run, o := range w.orders {
		switch {
		case !o.final || !o.coveredBy(w.completeViews):
			report.Pending = append(report.Pending, wireRun(run))
		case !listed[run]:
			report.Rejected = append(report.Rejected, link.Rejected{Run: wireRun(run), Refusal: int(o.refused)})
		}
	}
}
