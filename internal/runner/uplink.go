package runner

import (
	"context"
	"time"

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
	// dialTimeout bounds how long a connection to the lead may take.
	dialTimeout = 500 * time.Millisecond
)

// runUplink keeps a connection to the lead and tells it what the worker has.
func (r *Runner) runUplink(ctx context.Context) error {
	pause := wait.NewBackoff(minSearchDelay, maxSearchDelay, r.config.Random)
	// failed is the epoch of a leader that did not answer.
	failed := uint64(0)
	for ctx.Err() == nil {
		leader, err := r.findLeader(ctx, failed)
		if err == nil {
			wait.For(ctx, r.connectDelay(leader))
			var reported bool
			reported, err = r.reportTo(ctx, leader.Leader)
			failed = failedEpoch(leader.Epoch, reported, err)
			if reported {
				pause.Reset()
				r.storeBackoff.Reset()
			}
		}
		if ctx.Err() == nil {
			r.logger.Warn("no lead; reason=%v", err)
			wait.For(ctx, pause.Next()+retryAfter(err))
		}
	}
	return ctx.Err()
}

// failedEpoch returns the epoch of a leader after which a later one is looked for, 0 where the same may lead on: it has answered reports, or says that it
// does not lead, as one does that was elected just now and still reads the jobs.
func failedEpoch(epoch uint64, reported bool, err error) uint64 {
	if reported || fault.Is(err, fault.Stale) {
		return 0
	}
	return epoch
}

// retryAfter returns how long a leader that refuses this agent wants it to stay away.
func retryAfter(err error) time.Duration {
	if fault.Is(err, fault.Overloaded) {
		return fault.RetryAfter(err)
	}
	return 0
}

// reportTo reports to one lead until it does not answer or another leads, and returns whether it answered a report.
func (r *Runner) reportTo(ctx context.Context, lead record.Leader) (bool, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	session, err := rpc.DialWith(bounded, r.config.Dial, lead.Address, r.config.Secret, r.mux)
	cancel()
	if err != nil {
		return false, err
	}
	defer session.Close()
	if err := r.adoptLeader(session, lead); err != nil {
		return false, err
	}
	r.logger.Info("lead followed; epoch=%d node=%s", lead.Epoch, lead.Process)
	checked, u := time.Now(), &uplink{session: session}
	reported := false
	for ctx.Err() == nil {
		doubtful, err := r.sendReport(ctx, u)
		if err != nil {
			return reported, err
		}
		if !reported {
			r.sendFence(ctx)
		}
		reported = true
		if doubtful && time.Since(checked) > leaderCheckInterval {
			checked = time.Now()
			if now, err := r.queryEntries(ctx, link.Leader{After: lead.Epoch, AtOnce: true}); err == nil && now.Epoch > lead.Epoch {
				return reported, fault.New(fault.Stale, "epoch %d leads in place of %d", now.Epoch, lead.Epoch)
			}
		}
		select {
		case <-ctx.Done():
		case <-session.Done():
			return reported, fault.New(fault.Unavailable, "the lead closed the connection")
		case <-r.reportDue:
		case <-time.After(reportInterval):
		}
	}
	return reported, ctx.Err()
}

// adoptLeader binds the agent to a lead; it never goes back to an earlier epoch.
func (r *Runner) adoptLeader(session *rpc.Peer, lead record.Leader) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lead.Epoch < r.epoch {
		return fault.New(fault.Stale, "epoch %d is earlier than %d", lead.Epoch, r.epoch)
	}
	if lead.Epoch > r.epoch && r.worker != nil {
		r.worker.cancelOrders()
	}
	r.epoch, r.session = lead.Epoch, session
	r.hall.connectedAt = r.config.Uptime.Now()
	return nil
}

// uplink is a connection to a lead, with what that knows by it.
type uplink struct {
	session *rpc.Peer
	// rowWriter is nil until the lead has shown that it reads rowWriter, list is which list of entries it told last.
	rowWriter *link.RowWriter
	entryList uint64
}

// compact leaves out of a report what the lead has by this connection.
func (u *uplink) compact(report *link.Report) {
	report.List = u.entryList
	if u.rowWriter != nil {
		report.Rows, report.Named = u.rowWriter.Write(report.Running)
		report.Running = nil
	}
}

// applyAnswer takes note of what the lead has by this connection.
func (u *uplink) applyAnswer(answer link.ReportAnswer) {
	u.entryList = answer.List
	if u.entryList > 0 && u.rowWriter == nil {
		u.rowWriter = link.NewRowWriter()
	}
}

// sendReport sends one report and takes the answer; without one the connection is of no use any more.
func (r *Runner) sendReport(ctx context.Context, u *uplink) (bool, error) {
	sent := r.config.Uptime.Now()
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
		r.config.Pool.Learn(answer.Entries)
	}
	r.config.Worker.LimitConnections(answer.Connections)
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.Epoch != r.epoch {
		return false, fault.New(fault.Stale, "the lead has epoch %d, not %d", answer.Epoch, r.epoch)
	}
	if r.fences.grant(r.epoch, answer.FirstFence, answer.LastFence) {
		wait.Notify(r.heartbeat)
	}
	r.hall.update(answer.Hall, sent)
	r.crashes.acknowledge(answer.AcknowledgedCrashes)
	if w != nil && w == r.worker && !r.agentLeaseEnd.IsZero() && sent.After(r.agentLeaseEnd) {
		r.withdrawStarts(w)
	}
	if until := sent.Add(time.Duration(answer.LeaseMillis) * time.Millisecond); until.After(r.agentLeaseEnd) {
		r.agentLeaseEnd = until
	}
	if w != nil && w == r.worker {
		w.applyAnswer(report, answer)
		wait.Notify(r.endsAcknowledged)
	}
	return answer.Unverified, nil
}

// withdrawStarts takes back all starts under way: the permission was over meanwhile, so that the lead may have given their runs
// up and placed them elsewhere. A start that is on its way to the worker is late by its own time.
func (r *Runner) withdrawStarts(w *workerState) {
	for run, o := range w.orders {
		if o.start != nil && !o.final {
			r.logger.Warn("start is taken back after the permission was over; task=%s run=%d", run.Task, run.Number)
			r.stopRun(w, run)
		}
	}
}

// applyAnswer stores what the leader has committed and knows.
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

// loadsOf returns the loads that the lead tells of, as of a time.
func loadsOf(told map[string]link.Load, now time.Time) map[string]pressure.Load {
	loads := make(map[string]pressure.Load, len(told))
	for name, t := range told {
		loads[name] = pressure.Load{Headroom: t.Headroom, Slope: t.Slope, Mean: t.Mean, Deviation: t.Deviation, Time: now}
	}
	return loads
}

// compose returns the report of what the worker has now.
func (r *Runner) compose() (link.Report, *workerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := link.Report{VM: r.config.VM, Hall: r.config.Hall, Epoch: r.epoch, Crashes: r.crashes.compose()}
	w := r.worker
	if w == nil {
		return report, nil
	}
	own := w.report
	report.Instance, report.StartMillis, report.Service, report.Labels = w.id.Worker(), w.id.StartMillis(), own.Service, own.Labels
	report.CPU, report.Memory, report.GPU = own.Capacity.CPU, own.Capacity.Memory, own.Capacity.GPU
	report.Draining, report.RemainingMillis = own.Draining, own.Remaining.Milliseconds()
	report.Silent, report.FirstFailureMillis = w.silent, millisSince(w.firstFailure)
	report.Lapsed = w.silent && (w.idChanged || time.Now().After(w.leaseEnd))
	report.Fenced = w.views > 0 && r.fences.covers(w.highestFence, r.epoch)
	w.addRuns(&report)
	return report, w
}

// addRuns adds the runs of the latest view and the orders that are not settled.
func (w *workerState) addRuns(report *link.Report) {
	shown := make(map[host.Run]bool, len(w.view.Ended)+len(w.view.Running))
	for _, e := range w.view.Ended {
		shown[e.Run] = true
		report.Ended = append(report.Ended, link.Ended{
			Run: wireRun(e.Run), Sequence: e.Sequence, End: int(e.End), Checkpoint: e.Checkpoint,
		})
	}
	for _, running := range w.view.Running {
		shown[running.Run] = true
		if _, known := w.profiles[running.Run]; !known {
			report.Unknown = append(report.Unknown, wireRun(running.Run))
		}
		report.Running = append(report.Running, link.Running{
			Run: wireRun(running.Run), Percent: running.Percent, Measurement: running.Measurement,
			Pace: w.paceOf(running.Run), Checkpoint: running.Checkpoint, Fresh: w.possibleRuns.fresh(running.Run),
		})
	}
	for run, o := range w.orders {
		switch {
		case !o.final || !o.coveredBy(w.views):
			report.Pending = append(report.Pending, wireRun(run))
		case !shown[run]:
			report.Rejected = append(report.Rejected, link.Rejected{Run: wireRun(run), Refusal: int(o.refused)})
		}
	}
}
