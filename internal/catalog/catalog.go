package catalog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

const vanishedFor = 30 * time.Minute

// Catalog holds the cells and the endpoints of a region.
type Catalog struct {
	hall     string
	services atomic.Pointer[map[string][]*Endpoint]

	mu    sync.Mutex
	cells map[string]*Cell
	// vanished is when a start of an agent that served was last known.
	vanished map[string]time.Time
}

// Cell is what is known of a cell.
type Cell struct {
	name    string
	peer    *rpc.Peer
	summary control.Summary
	load    control.Load
}

// New returns the empty catalog of an entry in a hall.
func New(hall string) *Catalog {
	c := &Catalog{hall: hall, cells: make(map[string]*Cell), vanished: make(map[string]time.Time)}
	c.services.Store(&map[string][]*Endpoint{})
	return c
}

// Endpoints returns the endpoints of a service; they are not to be changed.
func (c *Catalog) Endpoints(service string) []*Endpoint {
	return (*c.services.Load())[service]
}

// Counts returns how many endpoints of each service take requests.
func (c *Catalog) Counts() map[string]int {
	counts := make(map[string]int)
	for service, endpoints := range *c.services.Load() {
		for _, e := range endpoints {
			if !e.closed.Load() {
				counts[service]++
			}
		}
	}
	return counts
}

// AgentEndpoints returns the endpoints of all services, each agent's address once.
func (c *Catalog) AgentEndpoints() []*Endpoint {
	byAddress := make(map[string]*Endpoint)
	for _, endpoints := range *c.services.Load() {
		for _, e := range endpoints {
			byAddress[e.Address()] = e
		}
	}
	return slices.Collect(maps.Values(byAddress))
}

// SetPeer takes note of the connection to the lead of a cell, nil for none.
func (c *Catalog) SetPeer(cell string, peer *rpc.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.cells[cell]
	if !ok {
		known = &Cell{name: cell}
		c.cells[cell] = known
	}
	known.peer = peer
}

// RemoveCell forgets a cell that has no VMs any more.
func (c *Catalog) RemoveCell(cell string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cells, cell)
	c.rebuild()
}

// Position returns the position of the latest summary of a cell.
func (c *Catalog) Position(cell string) control.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.cells[cell]; ok {
		return known.summary.Position
	}
	return control.Position{}
}

// Update takes over a summary unless a later one is known.
func (c *Catalog) Update(s control.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.cells[s.Cell]
	if !ok || s.Position.Before(known.summary.Position) {
		return
	}
	known.summary = s
	c.rebuild()
}

// UpdateLoad takes over the load of a cell.
func (c *Catalog) UpdateLoad(cell string, load control.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.cells[cell]; ok {
		known.load = load
	}
}

type endpointKey struct {
	service, instance, boot, address string
}

func keyOf(e control.Endpoint) endpointKey {
	return endpointKey{e.Service, e.Instance, e.Boot, e.Address}
}

// rebuild makes the lists of endpoints anew and keeps what is known of each; c.mu is held.
func (c *Catalog) rebuild() {
	old := make(map[endpointKey]*Endpoint)
	for _, endpoints := range *c.services.Load() {
		for _, e := range endpoints {
			old[keyOf(e.about)] = e
		}
	}
	services := make(map[string][]*Endpoint)
	for _, name := range slices.Sorted(maps.Keys(c.cells)) {
		for _, about := range c.cells[name].summary.Endpoints {
			e, ok := old[keyOf(about)]
			if !ok || e.about.Leaving != about.Leaving {
				e = newEndpoint(about, c.hall)
			}
			services[about.Service] = append(services[about.Service], e)
		}
	}
	c.noteVanished(old, services)
	c.services.Store(&services)
}

// noteVanished remembers when starts of agents were last known; c.mu is held.
func (c *Catalog) noteVanished(old map[endpointKey]*Endpoint, services map[string][]*Endpoint) {
	known := make(map[string]struct{})
	for _, endpoints := range services {
		for _, e := range endpoints {
			known[e.Boot()] = struct{}{}
		}
	}
	now := time.Now()
	for _, e := range old {
		if _, ok := known[e.Boot()]; !ok {
			c.vanished[e.Boot()] = now
		}
	}
	for boot, at := range c.vanished {
		if _, back := known[boot]; back || now.Sub(at) > vanishedFor {
			delete(c.vanished, boot)
		}
	}
}

// LastVanished returns when a start of an agent that served was last lost from sight, zero for not of late.
func (c *Catalog) LastVanished() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, at := range c.vanished {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Refresh opens endpoints whose wait is over.
func (c *Catalog) Refresh(now time.Time) {
	for _, endpoints := range *c.services.Load() {
		for _, e := range endpoints {
			e.Refresh(now)
		}
	}
}

// Peer returns the connection to the lead of a cell.
func (c *Catalog) Peer(cell string) (*rpc.Peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.cells[cell]
	if !ok {
		return nil, fault.New(fault.NotFound, "there is no cell %q", cell)
	}
	if known.peer == nil {
		return nil, fault.New(fault.Unavailable, "cell %s has no lead for now", cell)
	}
	return known.peer, nil
}

// CellNames returns the cells in order.
func (c *Catalog) CellNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.cells))
}

// ForJob returns the cells that could run a task of a size, the best first: those with a lead, then those with the
// largest free share, less what waits.
func (c *Catalog) ForJob(size resource.Vector) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var able []*Cell
	for _, cell := range c.cells {
		if cell.peer == nil || !size.Fits(cell.load.Largest.Decode()) {
			continue
		}
		able = append(able, cell)
	}
	slices.SortFunc(able, func(a, b *Cell) int {
		return cmp.Or(cmp.Compare(b.roominess(), a.roominess()), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, len(able))
	for _, cell := range able {
		names = append(names, cell.name)
	}
	return names
}

// waitingCost is which share of a cell's room a waiting job counts for.
const waitingCost = 0.02

func (c *Cell) roominess() float64 {
	return float64(c.load.Free)/float64(max(c.load.Capacity, 1)) - waitingCost*float64(c.load.Waiting)
}

// HasLeaders reports whether each known cell has a lead, and there is one.
func (c *Catalog) HasLeaders() bool {
	return c.each(func(cell *Cell) bool { return cell.peer != nil })
}

// WorkersReported reports whether there is a cell, and each has a lead that has told of workers. A new lead is followed before it
// has heard of any, and that it knows of none then says nothing about them.
func (c *Catalog) WorkersReported() bool {
	return c.each(func(cell *Cell) bool { return cell.peer != nil && cell.load.Capacity > 0 })
}

// each reports whether there is a cell, and something holds of each.
func (c *Catalog) each(holds func(*Cell) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cell := range c.cells {
		if !holds(cell) {
			return false
		}
	}
	return len(c.cells) > 0
}
