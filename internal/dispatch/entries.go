package dispatch

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

const (
	// notifyTimeout bounds how long an entry may take to answer; its next ping tells it as well.
	notifyTimeout = 500 * time.Millisecond
	// rosterRefreshInterval lies between two looks at which entries ping no more, and at their order.
	rosterRefreshInterval = time.Second
	// maxEntriesSent is how many entries one process is told: enough to reach some of them after any loss, whatever the size of the fleet.
	maxEntriesSent = 32
)

// entry is an entry as its latest ping tells.
type entry struct {
	lastPing time.Time
	peer     *rpc.Peer
	strength float64
	// rank is the place of the entry among those that may lead next, 0 before it was ranked.
	rank int
}

// roster holds the entries that ping the leader, and numbers each version of their list from 1.
type roster struct {
	entries map[string]*entry
	// addresses has the addresses of the leader and of the entries, in order.
	addresses []string
	version   uint64
	refreshed time.Time
}

func newRoster(self string) *roster {
	return &roster{entries: make(map[string]*entry), addresses: []string{self}, version: 1}
}

// record stores that an entry of a strength has just pinged, and returns it.
func (r *roster) record(address string, strength float64, peer *rpc.Peer, now time.Time) *entry {
	e := r.entries[address]
	if e == nil {
		e = &entry{}
		r.entries[address] = e
		if at, listed := slices.BinarySearch(r.addresses, address); !listed {
			r.addresses = slices.Insert(r.addresses, at, address)
			r.version++
		}
	}
	e.lastPing, e.peer, e.strength = now, peer, strength
	return e
}

// rank orders the entries that may lead next: the strongest first, those of one strength in an order that differs for each epoch, so that one
// that cannot lead is not always the first to try.
func (r *roster) rank(epoch uint64) {
	type candidate struct {
		entry *entry
		hash  uint64
	}
	candidates := make([]candidate, 0, len(r.entries))
	for address, e := range r.entries {
		candidates = append(candidates, candidate{entry: e, hash: hashOf(strconv.FormatUint(epoch, 10), address)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.entry.strength, a.entry.strength), cmp.Compare(a.hash, b.hash))
	})
	for i, c := range candidates {
		c.entry.rank = i + 1
	}
}

// hashOf returns a number that orders addresses differently for each name.
func hashOf(name, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + " " + address))
	return h.Sum64()
}

// refresh removes the entries whose last ping is older than trust and ranks the others, at most once in refreshEvery.
func (r *roster) refresh(self string, epoch uint64, now time.Time) {
	if now.Sub(r.refreshed) < rosterRefreshInterval {
		return
	}
	r.refreshed = now
	defer r.rank(epoch)
	for address, e := range r.entries {
		if now.Sub(e.lastPing) < leaderTimeout {
			continue
		}
		delete(r.entries, address)
		if at, listed := slices.BinarySearch(r.addresses, address); listed && address != self {
			r.addresses = slices.Delete(r.addresses, at, at+1)
			r.version++
		}
	}
}

// addressesFor returns the addresses for a process that has a version of the list, nil where that is the latest, and the number of the latest. The
// list hardly ever changes, and would be most of each answer.
func (r *roster) addressesFor(process string, has uint64) ([]string, uint64) {
	if has == r.version {
		return nil, has
	}
	return sampleOf(r.addresses, process), r.version
}

// sampleOf returns at most mostNamed addresses, a stable sample that differs from process to process.
func sampleOf(list []string, process string) []string {
	if len(list) <= maxEntriesSent {
		return slices.Clone(list)
	}
	weights := make(map[string]uint64, len(list))
	for _, address := range list {
		weights[address] = hashOf(process, address)
	}
	sample := slices.SortedFunc(slices.Values(list), func(a, b string) int { return cmp.Compare(weights[a], weights[b]) })[:maxEntriesSent]
	slices.Sort(sample)
	return sample
}

// recordPing stores that an entry has pinged, and returns what it is told of the other processes.
func (t *term) recordPing(p link.Ping, peer *rpc.Peer) link.PingAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.roster.record(p.Address, p.Strength, peer, time.Now())
	answer := link.PingAnswer{Agents: len(t.agents), Unverified: t.verificationAge() > staleVerificationAfter}
	answer.Entries, answer.List = t.entriesFor(p.Entry, p.List)
	answer.Rank = e.rank
	return answer
}

// entriesFor returns the entries that a process is told, see roster.namedFor.
func (t *term) entriesFor(process string, has uint64) ([]string, uint64) {
	t.roster.refresh(t.dispatcher.config.Address, t.epoch, time.Now())
	return t.roster.addressesFor(process, has)
}

// notifyEntries tells all entries at once when the store goes away, or is back; each then pings to learn more.
func (t *term) notifyEntries() {
	away := t.dispatcher.config.Health.Down()
	if away == t.notifiedStoreDown {
		return
	}
	t.notifiedStoreDown = away
	t.logger.Warn("the entries are told of the store; away=%t", away)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.roster.entries {
		if e.peer != nil && time.Since(e.lastPing) < leaderTimeout {
			go notifyEntry(e.peer)
		}
	}
}

// notifyEntry wakes an entry; one that cannot be reached learns the same by its own calls.
func notifyEntry(peer *rpc.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_, _ = rpc.Call[link.Empty, link.Empty](ctx, peer, link.MethodStore, link.Empty{})
}
