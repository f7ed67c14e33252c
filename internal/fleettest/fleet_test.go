package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/dispatch"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/intake"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/policy"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/runner"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const (
	// startWindow is the period within which all processes start.
	startWindow = 300 * time.Millisecond
	seedEntries = 3
	closureDelay,
	maxRenewal = 5 * time.Second, 6 * time.Second
	// strong and weak are the processor shares of the VMs of entries.
	strong, weak = 1.6, 0.2
)

// size is the size of a fleet, with the number of connections that each entry accepts.
type size struct {
	agents, entries, peers int
}

// fleet is a store, entries, and agents with idle workers.
type fleet struct {
	ctx     context.Context
	size    size
	store   *meteredStore
	network *network
	entries []*entry
	agents  []*agent
}

type entry struct {
	address    string
	client     *client
	leader     *follow.Follower[record.Leader]
	dispatcher *dispatch.Dispatcher
	store      *relay.Store
	end        func()
}

type agent struct {
	client *client
	worker *idleWorker
}

func newFleet(ctx context.Context, s size) *fleet {
	f := &fleet{ctx: ctx, size: s, store: newMeteredStore(), network: newNetwork()}
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a fixed seed
	startLater := func(start func()) {
		time.AfterFunc(time.Duration(random.Float64()*float64(startWindow)), start)
	}
	for i := range s.entries {
		e := f.newEntry(i)
		f.entries = append(f.entries, e)
		startLater(func() { e.start(f) })
	}
	for i := range s.agents {
		a, run := f.newAgent(i, random.Uint64())
		f.agents = append(f.agents, a)
		startLater(run)
	}
	return f
}

func addressOf(entry int) string { return fmt.Sprintf("entry-%03d", entry) }

func seedAddresses() []string {
	var addresses []string
	for i := range seedEntries {
		addresses = append(addresses, addressOf(i))
	}
	return addresses
}

func (f *fleet) newClient() *client { return &client{meteredStore: f.store, health: &kv.Health{}} }

func (f *fleet) newPool(self string, mux *rpc.Mux) *relay.Pool {
	pool := relay.NewPool(self, "", mux, seedAddresses())
	pool.SetDialer(f.network.dial)
	return pool
}

func (f *fleet) newEntry(i int) *entry {
	e := &entry{address: addressOf(i), client: f.newClient()}
	e.leader = follow.New(e.client, record.LeaderKey, record.DecodeLeader, logging.Discard())
	return e
}

// start starts the parts of an entry, which run until end is called.
func (e *entry) start(f *fleet) {
	ctx, cancel := context.WithCancel(f.ctx)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	pool, health, logger, clock := f.newPool(e.address, mux), e.client.health, logging.Discard(), &boottimetest.Clock{}
	none := func([]byte) (*policy.Policy, error) { return nil, fault.New(fault.BadInput, "no configuration") }
	policies := intake.NewPolicies(e.client, "configuration", none, logger)
	strength := weak
	if e.address >= addressOf(f.size.entries/2) {
		strength = strong
	}
	e.store = relay.New(e.client, health, pool)
	e.dispatcher = dispatch.New(dispatch.Config{
		Process: e.address, Boot: e.address, Address: e.address, Strength: strength, Store: e.client, Health: health, Leader: e.leader,
		Policies: policies, Closures: hall.New(e.client, "closed/", closureDelay, clock, logger), Uptime: clock, Logger: logger, Metrics: metric.New(),
	})
	desk := intake.New(intake.Config{
		Store: e.store, Direct: e.client, Health: health, Pool: pool, Policies: policies, Leader: e.leader, Dispatcher: e.dispatcher, Logger: logger, Metrics: metric.New(),
	})
	pinger := intake.NewPinger(desk, intake.Self{Process: e.address, Address: e.address, Strength: strength}, e.dispatcher)
	e.dispatcher.Register(mux)
	pinger.Register(mux)
	intake.Register(mux, e.client, health)
	server := rpc.Serve(f.network.listen(e.address), "", mux, rpc.Limits{Peers: f.size.peers})
	go policies.Run(ctx)
	go e.leader.Run(ctx)
	go pinger.Run(ctx)
	go e.dispatcher.Run(ctx)
	e.end = func() {
		cancel()
		server.Close()
	}
}

func (f *fleet) newAgent(i int, seed uint64) (*agent, func()) {
	a := &agent{client: f.newClient(), worker: &idleWorker{id: incarnation.New(fmt.Sprintf("i-%d", i), 1), startedAt: time.Now()}}
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	pool := f.newPool("", mux)
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a fixed seed
	r := runner.New(runner.Config{
		VM: fmt.Sprintf("vm-%04d", i), ClosureDelay: closureDelay, MaxRenewal: maxRenewal, Worker: a.worker,
		Store: relay.New(a.client, a.client.health, pool), Pool: pool, Clock: timeline.NewClock(time.Now), Dial: f.network.dial,
		Uptime: &boottimetest.Clock{}, Random: random.Float64, Logger: logging.Discard(), Metrics: metric.New(),
	})
	return a, func() {
		go func() { _ = r.Run(f.ctx) }()
		r.Reported(host.Report{
			Incarnation: a.worker.id, Service: "desk", Capacity: job.Size{CPU: 32000, Memory: 128000}, Sequence: 1, Clock: a.worker.now(),
		})
	}
}

// leader returns the entry that is the leader, nil if there is none.
func (f *fleet) leader() *entry {
	for _, e := range f.entries {
		if e.dispatcher != nil && e.dispatcher.IsLeader() {
			return e
		}
	}
	return nil
}

// leasedWorkers counts the workers that have received a fence and a lease from the n-th leader or a later one.
func (f *fleet) leasedWorkers(n uint64) int {
	count := 0
	for _, a := range f.agents {
		if a.worker.highestFence() > (n-1)*dispatch.FencesPerEpoch {
			count++
		}
	}
	return count
}

// agentCalls and entryCalls return how many calls to the store the agents and the entries have made.
func (f *fleet) agentCalls() int {
	sum := 0
	for _, a := range f.agents {
		sum += a.client.count()
	}
	return sum
}

func (f *fleet) entryCalls() int {
	sum := 0
	for _, e := range f.entries {
		sum += e.client.count()
	}
	return sum
}

// awaitLeases waits until count workers have a lease of the n-th leader, and returns how long that took.
func (f *fleet) awaitLeases(t *testing.T, n uint64, count int, timeout time.Duration) time.Duration {
	t.Helper()
	const step = 20 * time.Millisecond
	startedAt := time.Now()
	for f.leasedWorkers(n) < count {
		if time.Since(startedAt) > timeout {
			t.Fatalf("%d of %d workers have a lease of leader %d after %v", f.leasedWorkers(n), count, n, timeout)
		}
		time.Sleep(step)
	}
	return time.Since(startedAt)
}

// idleWorker is a worker without runs.
type idleWorker struct {
	id        incarnation.ID
	startedAt time.Time

	mu    sync.Mutex
	fence uint64
}

func (w *idleWorker) now() host.Clock { return host.Clock(time.Since(w.startedAt)) }

// highestFence returns the highest fence that the worker has received.
func (w *idleWorker) highestFence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// Renew implements host.Worker.
func (w *idleWorker) Renew(ctx context.Context, _ incarnation.ID, h host.Renewal) (host.View, host.Refusal, error) {
	w.mu.Lock()
	w.fence = max(w.fence, h.Fence)
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return host.View{}, host.Accepted, fault.New(fault.OutcomeUnknown, "no answer")
	case <-time.After(h.Wait):
	}
	return host.View{Incarnation: w.id, Clock: w.now()}, host.Accepted, nil
}

// Start implements host.Worker.
func (*idleWorker) Start(context.Context, incarnation.ID, host.Start) (host.Refusal, error) {
	return host.Accepted, nil
}

// Stop implements host.Worker.
func (*idleWorker) Stop(context.Context, incarnation.ID, host.Run, uint64) (host.Refusal, error) {
	return host.Accepted, nil
}

// Pace implements host.Worker.
func (*idleWorker) Pace(context.Context, incarnation.ID, host.Run, int, uint64) (host.Refusal, error) {
	return host.Accepted, nil
}

// LimitConnections implements host.Worker.
func (*idleWorker) LimitConnections(int) {}
