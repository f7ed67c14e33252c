package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/runner"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// pipes is a network in memory: listeners by name.
type pipes map[string]chan net.Conn

func (p pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p[address] <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts the connections to one name until it is closed.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.IPAddr{} }

// replay is a leader, agents and workers in one fake time: the real ones but for the workers.
type replay struct {
	t       *testing.T
	ctx     context.Context
	store   *kvtest.Store
	network pipes
	workers []*modelWorker
	agents  []*runner.Runner
	leaders int
	// depose ends the present leader, killAgent the agent of a VM.
	depose    func()
	killAgent []func()
	uptime    *boottimetest.Clock
	work      time.Duration
	lasting   bool
	broken    []string
	done      map[host.Run]bool
	noted     bool
}

const (
	// replayAway is how long a worker that crashed does not answer, and heartbeats how often it reports.
	replayAway       = 600 * time.Millisecond
	replayHeartbeats = 700 * time.Millisecond
	// replayStep is how often a worker looks whether something has ended.
	replayStep = 5 * time.Millisecond
)

func newReplay(ctx context.Context, t *testing.T, vms int, lasting bool) *replay {
	p := &replay{
		t: t, ctx: ctx, store: kvtest.New(), network: make(pipes), uptime: &boottimetest.Clock{}, lasting: lasting,
		work: 400 * time.Millisecond, done: make(map[host.Run]bool),
	}
	for n := range vms {
		p.workers = append(p.workers, newModelWorker(p, fmt.Sprintf("i-%d", n)))
		p.agents, p.killAgent = append(p.agents, nil), append(p.killAgent, nil)
		p.startAgent(n)
		go p.workers[n].live(ctx, n)
	}
	p.elect()
	return p
}

// elect lets another process lead.
func (p *replay) elect() {
	if p.depose != nil {
		p.depose()
	}
	p.store.Revoke()
	p.leaders++
	name := fmt.Sprintf("e%d", p.leaders)
	d := entryOf(name, p.store)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	d.Register(mux)
	p.network[name] = make(chan net.Conn)
	server := rpc.Serve(pipeListener{conns: p.network[name], closed: make(chan struct{})}, "", mux)
	ctx, cancel := context.WithCancel(p.ctx)
	lead, err := d.stand(ctx)
	assert.NilError(p.t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.lead(ctx, lead)
	}()
	p.depose = func() {
		cancel()
		server.Close()
		<-ended
	}
}

// startAgent starts the agent of a VM, in place of one that was killed.
func (p *replay) startAgent(n int) {
	health := &kv.Health{}
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	pool := relay.NewPool("", "", mux, nil)
	r := runner.New(runner.Config{
		VM: fmt.Sprintf("vm%d", n), ClosedWithin: testClosedWithin, LongestHold: 6 * time.Second, Worker: p.workers[n],
		Store: relay.New(p.store, health, pool), Pool: pool, Clock: timeline.NewClock(time.Now), Dial: p.network.dial,
		Uptime: p.uptime, Logger: logging.Discard(), Metrics: metric.New(),
	})
	ctx, cancel := context.WithCancel(p.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	p.agents[n] = r
	p.killAgent[n] = func() {
		cancel()
		<-ended
	}
}

// handIn accepts a job of one task.
func (p *replay) handIn() {
	spec := job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1000, Memory: 1000}, Estimate: p.work, Lasting: p.lasting}}}
	value, err := job.Encode(spec, job.Queue{Service: testService, Attempts: 3, Stretch: 2}, time.Now())
	assert.NilError(p.t, err)
	_, err = p.store.Commit(p.ctx, kv.Txn{Puts: []kv.Put{{Key: record.JobKey(lateJob), Value: value}}})
	assert.NilError(p.t, err)
}

// state returns the state of the job by the store.
func (p *replay) state() job.State {
	item, err := p.store.Get(p.ctx, record.ProgressKey(lateJob))
	if err != nil || item.Revision() == 0 {
		return job.Queued
	}
	state, err := job.DecodeState(item.Value())
	assert.NilError(p.t, err)
	return state
}

// running counts the runs of the task on all workers.
func (p *replay) running() int {
	count := 0
	for _, w := range p.workers {
		if w.run != nil {
			count++
		}
	}
	return count
}

func (p *replay) fail(format string, args ...any) {
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

// modelWorker is a worker by the users' rules, for one task. Only one goroutine of a bubble runs it at a time, at moments of fake time.
type modelWorker struct {
	replay *replay
	mu     chan struct{}
	id     incarnation.ID
	began  time.Time
	// clock is what the steady clock showed at the start.
	clock    time.Duration
	away     time.Time
	sequence uint64
	fence    uint64
	held     host.Clock
	run      *host.Run
	started  time.Time
	latest   int
	ends     []host.Ended
	number   uint64
	// late is how much later starts are carried out, without an answer, 0 for at once.
	late time.Duration
}

func newModelWorker(p *replay, name string) *modelWorker {
	w := &modelWorker{replay: p, mu: make(chan struct{}, 1)}
	w.become(incarnation.New(name, births), time.Hour)
	return w
}

func (w *modelWorker) lock()   { w.mu <- struct{}{} }
func (w *modelWorker) unlock() { <-w.mu }

func (w *modelWorker) become(id incarnation.ID, clock time.Duration) {
	w.id, w.began, w.clock = id, time.Now(), clock
	w.sequence, w.fence, w.held, w.run, w.latest, w.ends, w.number = 0, 0, 0, nil, 0, nil, 0
}

// restart crashes the worker, which is back a while later as another incarnation.
func (w *modelWorker) restart(id incarnation.ID, clock time.Duration) {
	w.lock()
	defer w.unlock()
	w.become(id, clock)
	w.away = time.Now().Add(replayAway)
}

func (w *modelWorker) now() host.Clock { return host.Clock(w.clock + time.Since(w.began)) }

// live reports to the agent and ends what is done or not held any more.
func (w *modelWorker) live(ctx context.Context, vm int) {
	var reported time.Time
	for ctx.Err() == nil {
		w.lock()
		w.advance()
		due := time.Since(reported) >= replayHeartbeats && time.Now().After(w.away)
		w.sequence++
		report := host.Report{
			Incarnation: w.id, Service: testService, Capacity: testCapacity, Sequence: w.sequence, Clock: w.now(), Labels: []string{"a"},
		}
		w.unlock()
		if due {
			reported = time.Now()
			w.replay.agents[vm].Reported(report)
		}
		wait.For(ctx, replayStep)
	}
}

// advance ends the run that is done or not held; w is locked.
func (w *modelWorker) advance() {
	switch {
	case w.run == nil:
	case w.now() > w.held:
		w.end(job.EndLapsed)
	case !w.replay.lasting && time.Since(w.started) >= w.replay.work:
		w.end(job.EndDone)
	}
}

func (w *modelWorker) end(how job.End) {
	w.number++
	w.ends = append(w.ends, host.Ended{Number: w.number, Run: *w.run, End: how})
	w.run = nil
}

// enter locks the worker for a call, false where it does not answer or has another id.
func (w *modelWorker) enter(id incarnation.ID) error {
	w.lock()
	w.advance()
	switch {
	case time.Now().Before(w.away):
		w.unlock()
		return fault.New(fault.Unavailable, "connection refused")
	case !w.id.SameWorker(id):
		w.unlock()
		return fault.New(fault.Stale, "another instance answers")
	}
	return nil
}

// Start implements host.Worker.
func (w *modelWorker) Start(ctx context.Context, id incarnation.ID, o host.Start) (host.Refusal, error) {
	if err := w.enter(id); err != nil {
		return host.RefusedWrong, err
	}
	if w.late == 0 {
		defer w.unlock()
		return w.begin(o), nil
	}
	late := w.late
	w.unlock()
	go func() {
		wait.For(w.replay.ctx, late)
		if w.enter(id) == nil {
			w.begin(o)
			w.unlock()
		}
	}()
	<-ctx.Done()
	return host.RefusedWrong, fault.New(fault.OutcomeUnknown, "no answer")
}

// begin carries a start out; w is locked.
func (w *modelWorker) begin(o host.Start) host.Refusal {
	switch {
	case o.Fence < w.fence:
		return host.RefusedFence
	case w.run != nil && *w.run == o.Run:
		w.hold(o.Until)
		return host.Accepted
	case o.Run.Number <= w.latest:
		return host.RefusedOld
	case o.Until <= w.now():
		return host.RefusedLate
	}
	w.fence = max(w.fence, o.Fence)
	if w.replay.running() > 0 {
		w.replay.fail("run %d starts on %s beside another", o.Run.Number, w.id)
	}
	if w.replay.noted && !w.replay.lasting {
		w.replay.fail("run %d starts on %s after an end that was acknowledged", o.Run.Number, w.id)
	}
	run := o.Run
	w.run, w.started, w.latest = &run, time.Now(), run.Number
	w.hold(o.Until)
	return host.Accepted
}

// hold prolongs the lease; w is locked.
func (w *modelWorker) hold(until host.Clock) {
	const longest = 6 * time.Second
	w.held = max(w.held, min(until, w.now()+host.Clock(longest)))
}

// Stop implements host.Worker.
func (w *modelWorker) Stop(_ context.Context, id incarnation.ID, run host.Run, fence uint64) (host.Refusal, error) {
	if err := w.enter(id); err != nil {
		return host.RefusedWrong, err
	}
	defer w.unlock()
	if fence < w.fence {
		return host.RefusedFence, nil
	}
	w.fence, w.latest = max(w.fence, fence), max(w.latest, run.Number)
	if w.run != nil && *w.run == run {
		w.end(job.EndStopped)
	}
	return host.Accepted, nil
}

// Pace implements host.Worker.
func (w *modelWorker) Pace(context.Context, incarnation.ID, host.Run, int, uint64) (host.Refusal, error) {
	return host.Accepted, nil
}

// Limit implements host.Worker.
func (w *modelWorker) Limit(int) {}

// Hold implements host.Worker.
func (w *modelWorker) Hold(ctx context.Context, id incarnation.ID, h host.Hold) (host.View, host.Refusal, error) {
	if err := w.enter(id); err != nil {
		return host.View{}, host.RefusedWrong, err
	}
	if h.Fence < w.fence {
		w.unlock()
		return host.View{}, host.RefusedFence, nil
	}
	w.fence = max(w.fence, h.Fence)
	w.acknowledge(h.Seen)
	w.hold(h.Until)
	called := w.id
	for deadline := time.Now().Add(h.Wait); len(w.ends) == 0 && time.Now().Before(deadline) && w.id == called && ctx.Err() == nil; {
		w.unlock()
		wait.For(ctx, replayStep)
		w.lock()
		w.advance()
	}
	defer w.unlock()
	if w.id != called || time.Now().Before(w.away) {
		return host.View{}, host.RefusedWrong, fault.New(fault.OutcomeUnknown, "connection reset")
	}
	view := host.View{Incarnation: w.id, Clock: w.now(), Ended: slices.Clone(w.ends)}
	if w.run != nil {
		view.Running = []host.Running{{Run: *w.run, Percent: 50}}
	}
	return view, host.Accepted, nil
}

// acknowledge forgets ends; w is locked.
func (w *modelWorker) acknowledge(seen uint64) {
	w.ends = slices.DeleteFunc(w.ends, func(e host.Ended) bool {
		if e.Number <= seen && e.End == job.EndDone {
			w.replay.noted = true
		}
		return e.Number <= seen
	})
}
