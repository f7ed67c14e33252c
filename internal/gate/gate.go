package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// Config is what a gate needs of its process.
type Config struct {
	Secret string
	Boot   string
	Clock  *timeline.Clock
}

// Gate admits requests to the local replicas.
type Gate struct {
	Config
	exchanges *exchanges
	started   time.Time
	leaving   atomic.Bool
	fresh     atomic.Bool
	open      atomic.Int64

	mu       sync.RWMutex
	replicas map[string]*replica
}

// New returns a gate with no replicas.
func New(config Config) *Gate {
	return &Gate{
		Config: config, exchanges: newExchanges(), started: time.Now(),
		replicas: make(map[string]*replica),
	}
}

// Replica describes a local replica to the gate.
type Replica struct {
	Service string
	Address string
	Slots   int
	Queue   int
	Target  time.Duration
}

// SetReplicas brings the gate to the replicas that run; requests in flight at others go on.
func (g *Gate) SetReplicas(wanted []Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := make(map[string]*replica, len(wanted))
	for _, w := range wanted {
		old, ok := g.replicas[w.Service]
		if ok && old.address == w.Address {
			old.configure(w.Slots, w.Queue, w.Target)
			kept[w.Service] = old
			continue
		}
		kept[w.Service] = newReplica(w.Service, w.Address, w.Slots, w.Queue, w.Target)
	}
	g.replicas = kept
}

// Drain makes the replica of a service refuse new requests, and returns how many it still has in flight.
func (g *Gate) Drain(service string) int {
	r, ok := g.replica(service)
	if !ok {
		return 0
	}
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	return r.inFlight()
}

// SetFresh takes note that no earlier start of the agent served on the VM.
func (g *Gate) SetFresh() { g.fresh.Store(true) }

// Leave makes the gate refuse all new requests.
func (g *Gate) Leave() { g.leaving.Store(true) }

// Resume makes the gate admit requests again.
func (g *Gate) Resume() { g.leaving.Store(false) }

// Open returns how many requests the gate has in hand.
func (g *Gate) Open() int64 { return g.open.Load() }

// Measure returns how each replica did since the last call.
func (g *Gate) Measure() []Measurement {
	g.mu.RLock()
	defer g.mu.RUnlock()
	measurements := make([]Measurement, 0, len(g.replicas))
	for _, r := range g.replicas {
		measurements = append(measurements, r.measure())
	}
	return measurements
}

func (g *Gate) replica(service string) (*replica, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	r, ok := g.replicas[service]
	return r, ok
}

// enter finds the replica of a service and waits for its slot.
func (g *Gate) enter(ctx context.Context, service string, deadline time.Time) (*replica, error) {
	if g.leaving.Load() {
		return nil, fault.New(fault.Leaving, "the agent is leaving")
	}
	r, ok := g.replica(service)
	if !ok {
		return nil, fault.New(fault.Stale, "no replica of %s runs here", service)
	}
	return r, r.enter(ctx, deadline)
}
