package dispatch

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

const (
	// tellPatience bounds how long an entry may take to answer; its next ping tells it as well.
	tellPatience = 500 * time.Millisecond
	// refreshEvery lies between two looks at which entries ping no more.
	refreshEvery = time.Second
	// mostNamed is how many entries one process is told: enough to reach some of them after any loss, whatever the size of the fleet.
	mostNamed = 32
)

// entry is an entry as its latest ping tells.
type entry struct {
	lastPing time.Time
	peer     *rpc.Peer
}

// roster holds the entries that ping the leader, and numbers each version of their list from 1.
type roster struct {
	entries map[string]*entry
	// list has the addresses of the leader and of the entries, in order.
	list      []string
	number    uint64
	refreshed time.Time
}

func newRoster(self string) *roster {
	return &roster{entries: make(map[string]*entry), list: []string{self}, number: 1}
}

// record stores that an entry has just pinged.
func (r *roster) record(address string, peer *rpc.Peer, now time.Time) {
	e := r.entries[address]
	if e == nil {
		e = &entry{}
		r.entries[address] = e
		if at, listed := slices.BinarySearch(r.list, address); !listed {
			r.list = slices.Insert(r.list, at, address)
			r.number++
		}
	}
	e.lastPing, e.peer = now, peer
}

// hashOf returns a number that orders addresses differently for each name.
func hashOf(name, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + " " + address))
	return h.Sum64()
}

// refresh removes the entries whose last ping is older than trust, at most once in refreshEvery.
func (r *roster) refresh(self string, now time.Time) {
	if now.Sub(r.refreshed) < refreshEvery {
		return
	}
	r.refreshed = now
	for address, e := range r.entries {
		if now.Sub(e.lastPing) < trust {
			continue
		}
		delete(r.entries, address)
		if at, listed := slices.BinarySearch(r.list, address); listed && address != self {
			r.list = slices.Delete(r.list, at, at+1)
			r.number++
		}
	}
}

// namedFor returns the addresses that a process is told which has a version of the list already, nil where that is the latest, and the
// number of the latest. The list hardly ever changes, and would be most of what a process is answered.
func (r *roster) namedFor(process string, has uint64) ([]string, uint64) {
	if has == r.number {
		return nil, has
	}
	return sampleOf(r.list, process, mostNamed), r.number
}

// sampleOf returns at most so many addresses, others for each process, of which few change when the list does.
func sampleOf(list []string, process string, most int) []string {
	if len(list) <= most {
		return slices.Clone(list)
	}
	weights := make(map[string]uint64, len(list))
	for _, address := range list {
		weights[address] = hashOf(process, address)
	}
	sample := slices.SortedFunc(slices.Values(list), func(a, b string) int { return cmp.Compare(weights[a], weights[b]) })[:most]
	slices.Sort(sample)
	return sample
}

// recordPing stores that an entry has pinged, and returns what it is told of the other processes.
func (t *term) recordPing(p link.Ping, peer *rpc.Peer) link.PingAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.record(p.Address, peer, time.Now())
	answer := link.PingAnswer{Agents: len(t.agents), Doubtful: t.age() > doubtAfter}
	answer.Entries, answer.List = t.entriesFor(p.Entry, p.List)
	return answer
}

// entriesFor returns the entries that a process is told, see roster.namedFor.
func (t *term) entriesFor(process string, has uint64) ([]string, uint64) {
	t.roster.refresh(t.d.config.Address, time.Now())
	return t.roster.namedFor(process, has)
}

// tellEntries tells all entries at once when the store goes away, or is back; each then pings to learn more.
func (t *term) tellEntries() {
	away := t.d.config.Health.Down()
	if away == t.toldAway {
		return
	}
	t.toldAway = away
	t.logger.Warn("the entries are told of the store; away=%t", away)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.roster.entries {
		if e.peer != nil && time.Since(e.lastPing) < trust {
			go tell(e.peer)
		}
	}
}

// tell wakes an entry; one that cannot be reached learns the same by its own calls.
func tell(peer *rpc.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), tellPatience)
	defer cancel()
	_, _ = rpc.Call[link.Empty, link.Empty](ctx, peer, link.MethodStore, link.Empty{})
}
