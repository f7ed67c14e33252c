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

const vanishedRetention = 30 * time.Minute

// Catalog holds the cells and the endpoints of a region.
type Catalog struct {
	hall     string
	services atomic.Pointer[map[string][]*Endpoint]

	mu    sync.Mutex
	cells map[string]*Cell
	// vanished maps each incarnation of an agent that served to the time at which its endpoints disappeared.
	vanished map[string]time.Time
}

// Cell holds the last known state of a cell.
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

// Endpoints returns the endpoints of a service; the slice must not be modified.
func (c *Catalog) Endpoints(service string) []*Endpoint {
	return (*c.services.Load())[service]
}

// Counts returns the number of endpoints of each service that accept requests.
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

// AgentEndpoints returns one endpoint for each agent address, over all services.
func (c *Catalog) AgentEndpoints() []*Endpoint {
	byAddress := make(map[string]*Endpoint)
	for _, endpoints := range *c.services.Load() {
		for _, e := range endpoints {
			byAddress[e.Address()] = e
		}
	}
	return slices.Collect(maps.Values(byAddress))
}

// SetPeer sets the connection to the leader of a cell, nil for none.
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

// RemoveCell removes a cell that has no VMs any more.
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

// Update stores the summary of a cell unless a later one is known.
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

// UpdateLoad stores the load of a cell.
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

// rebuild recreates the lists of endpoints, keeping the state of endpoints that remain; c.mu is held.
func (c *Catalog) rebuild() {
	old := make(map[endpointKey]*Endpoint)
	for _, endpoints := range *c.services.Load() {
		for _, e := range endpoints {
			old[keyOf(e.info)] = e
		}
	}
	services := make(map[string][]*Endpoint)
	for _, name := range slices.Sorted(maps.Keys(c.cells)) {
		for _, info := range c.cells[name].summary.Endpoints {
			e, ok := old[keyOf(info)]
			if !ok || e.info.Leaving != info.Leaving {
				e = newEndpoint(info, c.hall)
			}
			services[info.Service] = append(services[info.Service], e)
		}
	}
	c.recordVanished(old, services)
	c.services.Store(&services)
}

// recordVanished records when incarnations of agents disappeared; c.mu is held.
func (c *Catalog) recordVanished(old map[endpointKey]*Endpoint, services map[string][]*Endpoint) {
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
		if _, returned := known[boot]; returned || now.Sub(at) > vanishedRetention {
			delete(c.vanished, boot)
		}
	}
}

// LastVanished returns when an incarnation of an agent that served last disappeared, zero if none has within
// vanishedRetention.
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

// Refresh reopens endpoints whose probation wait has ended.
func (c *Catalog) Refresh(now time.Time) {
	for _, endpoints := range *c.services.Load() {
		for _, e := range endpoints {
			e.Refresh(now)
		}
	}
}

// Peer returns the connection to the leader of a cell.
func (c *Catalog) Peer(cell string) (*rpc.Peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.cells[cell]
	if !ok {
		return nil, fault.New(fault.NotFound, "there is no cell %q", cell)
	}
	if known.peer == nil {
		return nil, fault.New(fault.Unavailable, "cell %s has no leader at the moment", cell)
	}
	return known.peer, nil
}

// CellNames returns the names of the cells in order.
func (c *Catalog) CellNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.cells))
}

// ForJob returns the cells with a leader that could run a task of a size, ordered by their largest free share less a
// cost for each waiting job.
func (c *Catalog) ForJob(size resource.Vector) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var suitable []*Cell
	for _, cell := range c.cells {
		if cell.peer == nil || !size.Fits(cell.load.Largest.Decode()) {
			continue
		}
		suitable = append(suitable, cell)
	}
	slices.SortFunc(suitable, func(a, b *Cell) int {
		return cmp.Or(cmp.Compare(b.freeShare(), a.freeShare()), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, len(suitable))
	for _, cell := range suitable {
		names = append(names, cell.name)
	}
	return names
}

// waitingJobCost is the share of a cell's capacity that a waiting job counts for.
const waitingJobCost = 0.02

func (c *Cell) freeShare() float64 {
	return float64(c.load.Free)/float64(max(c.load.Capacity, 1)) - waitingJobCost*float64(c.load.Waiting)
}

// HasLeaders reports whether at least one cell is known and each has a leader.
func (c *Catalog) HasLeaders() bool {
	return c.allCells(func(cell *Cell) bool { return cell.peer != nil })
}

// WorkersReported reports whether at least one cell is known and the leader of each has reported workers. A new leader is
// followed before its workers have reported, so that a capacity of 0 does not mean that there are none.
func (c *Catalog) WorkersReported() bool {
	return c.allCells(func(cell *Cell) bool { return cell.peer != nil && cell.load.Capacity > 0 })
}

// allCells reports whether at least one cell is known and all satisfy a condition.
func (c *Catalog) allCells(condition func(*Cell) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cell := range c.cells {
		if !condition(cell) {
			return false
		}
	}
	return len(c.cells) > 0
}
