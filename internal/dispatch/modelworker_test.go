package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// modelWorker is a worker that follows the users' rules, with capacity for one task. Only one goroutine of the synctest bubble uses it at any
// moment of fake time.
type modelWorker struct {
	simulation *simulation
	mu         chan struct{}
	id         incarnation.ID
	startedAt  time.Time
	// startClock is the reading of the worker's monotonic clock at its start.
	startClock     time.Duration
	downUntil      time.Time
	reportSequence uint64
	fence          uint64
	leaseUntil     host.Clock
	run            *host.Run
	runStartedAt   time.Time
	latestRun      int
	ends           []host.EndedRun
	lastEnd        uint64
	// lapsedEnd is the last end before the lease expired; such ends do not count as acknowledged.
	lapsedEnd uint64
	// startDelay delays starts, which then get no answer; with 0 they are carried out and answered at once.
	startDelay time.Duration
	// holdsCalls makes calls during the downtime wait for the next incarnation, which carries them out once it is up, in place of a refused connection.
	holdsCalls bool
	// lateRenewals makes the next incarnation under the same id carry out the renewals that the previous one has not answered, once it is up.
	lateRenewals bool
	// stopTime is how long a stop takes, stopAt when the run of the one in progress ends, zero for none.
	stopTime time.Duration
	stopAt   time.Time
	// refusesStarts makes the worker refuse starts as one that is busy.
	refusesStarts bool
	// highestSentFence is the highest fence of the starts that were sent to any incarnation.
	highestSentFence uint64
}

func newModelWorker(s *simulation, name string) *modelWorker {
	w := &modelWorker{simulation: s, mu: make(chan struct{}, 1)}
	w.reset(incarnation.New(name, clockStart), time.Hour)
	return w
}

func (w *modelWorker) lock()   { w.mu <- struct{}{} }
func (w *modelWorker) unlock() { <-w.mu }

func (w *modelWorker) reset(id incarnation.ID, clock time.Duration) {
	w.id, w.startedAt, w.startClock = id, time.Now(), clock
	w.reportSequence, w.fence, w.leaseUntil, w.run, w.latestRun, w.ends, w.lastEnd, w.lapsedEnd = 0, 0, 0, nil, 0, nil, 0, 0
	w.stopAt = time.Time{}
}

// restart crashes the worker, which answers again as another incarnation after simulatedDowntime.
func (w *modelWorker) restart(id incarnation.ID, clock time.Duration) {
	w.restartAfter(id, clock, simulatedDowntime)
}

func (w *modelWorker) restartAfter(id incarnation.ID, clock, downtime time.Duration) {
	w.lock()
	defer w.unlock()
	w.reset(id, clock)
	w.downUntil = time.Now().Add(downtime)
}

func (w *modelWorker) now() host.Clock { return host.Clock(w.startClock + time.Since(w.startedAt)) }

// serve reports to the agent at an interval, and ends the run when it is done or its lease has expired.
func (w *modelWorker) serve(ctx context.Context, vm int) {
	var reported time.Time
	for ctx.Err() == nil {
		w.lock()
		w.advance()
		due := time.Since(reported) >= simulatedHeartbeatInterval && time.Now().After(w.downUntil)
		w.reportSequence++
		report := host.Report{
			Incarnation: w.id, Service: testService, Capacity: testCapacity, Sequence: w.reportSequence, Clock: w.now(), Labels: []string{"a"},
		}
		w.unlock()
		if due {
			reported = time.Now()
			w.simulation.agents[vm].Reported(report)
		}
		wait.For(ctx, simulatedStep)
	}
}

// advance ends the run if it is done or its lease has expired; w must be locked.
func (w *modelWorker) advance() {
	if w.now() > w.leaseUntil {
		w.lapsedEnd = w.lastEnd
	}
	switch {
	case w.run == nil:
	case w.now() > w.leaseUntil:
		w.endRun(job.EndLapsed)
	case !w.stopAt.IsZero() && !time.Now().Before(w.stopAt):
		w.endRun(job.EndStopped)
	case !w.simulation.longRunning && time.Since(w.runStartedAt) >= w.simulation.taskTime:
		w.endRun(job.EndDone)
	}
}

func (w *modelWorker) endRun(end job.End) {
	w.lastEnd++
	w.ends = append(w.ends, host.EndedRun{Sequence: w.lastEnd, Run: *w.run, End: end})
	w.run, w.stopAt = nil, time.Time{}
}

// lockForCall locks the worker for a call, or returns an error without the lock if the worker does not answer or has another id.
func (w *modelWorker) lockForCall(id incarnation.ID) error {
	w.lock()
	w.advance()
	switch {
	case time.Now().Before(w.downUntil):
		w.unlock()
		return fault.New(fault.Unavailable, "connection refused")
	case !id.IsZero() && !w.id.SameWorker(id):
		w.unlock()
		return fault.New(fault.Stale, "another instance answers")
	}
	return nil
}

// Start implements host.Worker.
func (w *modelWorker) Start(ctx context.Context, id incarnation.ID, start host.Start) (host.Refusal, error) {
	w.lock()
	w.highestSentFence = max(w.highestSentFence, start.Fence)
	w.unlock()
	if held, err := w.hold(ctx, id, modelCallTimeout, func() { w.startRun(start) }); held {
		return host.RefusedInvalid, err
	}
	if err := w.lockForCall(id); err != nil {
		return host.RefusedInvalid, err
	}
	if w.refusesStarts {
		defer w.unlock()
		return host.RefusedBusy, nil
	}
	if w.startDelay == 0 {
		defer w.unlock()
		return w.startRun(start), nil
	}
	delay := w.startDelay
	w.unlock()
	go func() {
		wait.For(w.simulation.ctx, delay)
		w.lock()
		up := w.downUntil
		w.unlock()
		if w.holdsCalls {
			wait.For(w.simulation.ctx, time.Until(up))
		}
		if w.simulation.ctx.Err() == nil && w.lockForCall(id) == nil {
			w.startRun(start)
			w.unlock()
		}
	}()
	<-ctx.Done()
	return host.RefusedInvalid, fault.New(fault.OutcomeUnknown, "no answer")
}

// startRun carries out a start; w must be locked.
func (w *modelWorker) startRun(start host.Start) host.Refusal {
	switch {
	case start.Fence < w.fence:
		return host.RefusedFence
	case w.run != nil && *w.run == start.Run:
		w.extendLease(start.Until)
		return host.Accepted
	case start.Run.Number <= w.latestRun:
		return host.RefusedOld
	case start.Until <= w.now():
		return host.RefusedLate
	}
	w.fence = max(w.fence, start.Fence)
	if w.simulation.running() > 0 {
		w.simulation.recordViolation("run %d starts on %s beside another run of the task", start.Run.Number, w.id)
	}
	if w.simulation.completionRecorded && !w.simulation.longRunning {
		w.simulation.recordViolation("run %d starts on %s after the acknowledged end of the task", start.Run.Number, w.id)
	}
	run := start.Run
	w.run, w.runStartedAt, w.latestRun = &run, time.Now(), run.Number
	w.extendLease(start.Until)
	return host.Accepted
}

// extendLease extends the lease, by at most 6 s from now; w must be locked.
func (w *modelWorker) extendLease(until host.Clock) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.now()+host.Clock(w.simulation.maxRenewal)))
}

// Stop implements host.Worker.
func (w *modelWorker) Stop(ctx context.Context, id incarnation.ID, run host.Run, fence uint64) (host.Refusal, error) {
	if held, err := w.hold(ctx, id, modelCallTimeout, func() { w.stopRun(run, fence) }); held {
		return host.RefusedInvalid, err
	}
	if err := w.lockForCall(id); err != nil {
		return host.RefusedInvalid, err
	}
	defer w.unlock()
	return w.stopRun(run, fence), nil
}

// stopRun carries out a stop; w must be locked.
func (w *modelWorker) stopRun(run host.Run, fence uint64) host.Refusal {
	if fence < w.fence {
		return host.RefusedFence
	}
	w.fence, w.latestRun = max(w.fence, fence), max(w.latestRun, run.Number)
	if w.run != nil && *w.run == run && w.stopAt.IsZero() {
		w.stopAt = time.Now().Add(w.stopTime)
		w.advance()
	}
	return host.Accepted
}

// Pace implements host.Worker.
func (w *modelWorker) Pace(context.Context, incarnation.ID, host.Run, int, uint64) (host.Refusal, error) {
	return host.Accepted, nil
}

// LimitConnections implements host.Worker.
func (w *modelWorker) LimitConnections(int) {}

// Renew implements host.Worker.
func (w *modelWorker) Renew(ctx context.Context, id incarnation.ID, renewal host.Renewal) (host.View, host.Refusal, error) {
	sentAt := time.Now()
	if held, err := w.hold(ctx, id, renewal.Wait+modelCallTimeout, func() { w.renewLate(renewal) }); held {
		return host.View{}, host.RefusedInvalid, err
	}
	if err := w.lockForCall(id); err != nil {
		return host.View{}, host.RefusedInvalid, err
	}
	if renewal.Fence < w.fence {
		w.unlock()
		return host.View{}, host.RefusedFence, nil
	}
	w.fence = max(w.fence, renewal.Fence)
	w.acknowledgeEnds(renewal.Acknowledged)
	w.extendLease(renewal.Until)
	calledID := w.id
	for deadline := time.Now().Add(renewal.Wait); len(w.ends) == 0 && time.Now().Before(deadline) && w.id == calledID && ctx.Err() == nil; {
		w.unlock()
		wait.For(ctx, simulatedStep)
		w.lock()
		w.advance()
	}
	defer w.unlock()
	if w.id != calledID || time.Now().Before(w.downUntil) {
		if w.holdsCalls {
			w.unlock()
			wait.For(ctx, time.Until(sentAt.Add(renewal.Wait+modelCallTimeout)))
			w.lock()
			return host.View{}, host.RefusedInvalid, fault.New(fault.OutcomeUnknown, "no answer")
		}
		if w.lateRenewals && w.id.SameWorker(calledID) {
			go w.renewOnNext(w.id, renewal, w.downUntil)
		}
		return host.View{}, host.RefusedInvalid, fault.New(fault.OutcomeUnknown, "connection reset")
	}
	view := host.View{Incarnation: w.id, Clock: w.now(), Ended: slices.Clone(w.ends)}
	if w.run != nil {
		view.Running = []host.Running{{Run: *w.run, Percent: int(100 * time.Since(w.runStartedAt) / w.simulation.taskTime)}}
	}
	return view, host.Accepted, nil
}

// renewOnNext carries out a renewal on a later incarnation once that is up.
func (w *modelWorker) renewOnNext(id incarnation.ID, renewal host.Renewal, at time.Time) {
	wait.For(w.simulation.ctx, time.Until(at)+time.Millisecond)
	w.lock()
	defer w.unlock()
	if w.id == id {
		w.renewLate(renewal)
	}
}

// renewLate carries out a renewal whose answer nobody waits for, unless the incarnation has received a higher fence; w must be locked.
func (w *modelWorker) renewLate(renewal host.Renewal) {
	if renewal.Fence < w.fence {
		return
	}
	w.fence = max(w.fence, renewal.Fence)
	w.acknowledgeEnds(renewal.Acknowledged)
	w.extendLease(renewal.Until)
}

// modelCallTimeout is how long an agent waits for an answer beyond the wait that it asked for.
const modelCallTimeout = 600 * time.Millisecond

// hold holds a call to a worker that is down until the caller gives up, and reports whether the call was held. The next incarnation with the id carries it
// out once it is up, in the order in which the calls were sent.
func (w *modelWorker) hold(ctx context.Context, id incarnation.ID, timeout time.Duration, carryOut func()) (bool, error) {
	w.lock()
	up := w.downUntil
	held := w.holdsCalls && time.Now().Before(up)
	w.unlock()
	if !held {
		return false, nil
	}
	go func() {
		wait.For(w.simulation.ctx, time.Until(up))
		w.lock()
		defer w.unlock()
		if (id.IsZero() || w.id.SameWorker(id)) && !time.Now().Before(w.downUntil) && w.simulation.ctx.Err() == nil {
			w.advance()
			carryOut()
		}
	}()
	wait.For(ctx, timeout)
	return true, fault.New(fault.OutcomeUnknown, "no answer")
}

// acknowledgeEnds removes acknowledged ends; w must be locked.
func (w *modelWorker) acknowledgeEnds(acknowledged uint64) {
	w.ends = slices.DeleteFunc(w.ends, func(e host.EndedRun) bool {
		if e.Sequence <= acknowledged && e.Sequence > w.lapsedEnd && e.End == job.EndDone {
			w.simulation.completionRecorded = true
		}
		return e.Sequence <= acknowledged
	})
}
