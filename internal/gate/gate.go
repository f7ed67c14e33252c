package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// Config holds the settings and dependencies of a gate.
type Config struct {
	Secret string
	Boot   string
	Clock  *timeline.Clock
}

// Gate admits requests to the local replicas.
type Gate struct {
	Config
	exchanges      *exchanges
	startedAt      time.Time
	leaving        atomic.Bool
	noEarlierStart atomic.Bool
	inFlight       atomic.Int64

	mu       sync.RWMutex
	replicas map[string]*replica
}

// New returns a gate with no replicas.
func New(config Config) *Gate {
	return &Gate{
		Config: config, exchanges: newExchanges(), startedAt: time.Now(),
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

// SetReplicas replaces the set of local replicas; requests in flight at removed replicas continue.
func (g *Gate) SetReplicas(wanted []Replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	updated := make(map[string]*replica, len(wanted))
	for _, w := range wanted {
		old, ok := g.replicas[w.Service]
		if ok && old.address == w.Address {
			old.configure(w.Slots, w.Queue, w.Target)
			updated[w.Service] = old
			continue
		}
		updated[w.Service] = newReplica(w.Service, w.Address, w.Slots, w.Queue, w.Target)
	}
	g.replicas = updated
}

// Drain makes the replica of a service reject new requests and returns the number of its requests in flight.
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

// SetNoEarlierStart records that no earlier incarnation of the agent served on the VM.
func (g *Gate) SetNoEarlierStart() { g.noEarlierStart.Store(true) }

// Leave makes the gate reject all new requests.
func (g *Gate) Leave() { g.leaving.Store(true) }

// Resume makes the gate admit requests again.
func (g *Gate) Resume() { g.leaving.Store(false) }

// Open returns the number of requests that the gate is handling.
func (g *Gate) Open() int64 { return g.inFlight.Load() }

// Measure returns the measurements of each replica since the previous call.
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

// enter waits for a slot of the replica of a service.
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
