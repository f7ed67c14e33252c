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
	// notifyTimeout bounds how long an entry may take to answer a notification; the answer to its next ping has the same information.
	notifyTimeout = 500 * time.Millisecond
	// rosterRefreshInterval is the least time between two removals of entries that no longer ping, each followed by a new ranking.
	rosterRefreshInterval = time.Second
	// entryTTL is how long an entry stays in the roster without a ping.
	entryTTL = 10 * time.Second
	// maxEntriesSent is how many entries one process is sent: enough to reach some of them after any loss, whatever the size of the fleet.
	maxEntriesSent = 32
)

// entry is the state of an entry as of its last ping.
type entry struct {
	lastPing time.Time
	peer     *rpc.Peer
	strength float64
	// rank is the position of the entry among the candidates for the next leader, from 1; 0 if it is not ranked yet.
	rank int
}

// roster holds the entries that ping the leader and numbers the versions of the list of their addresses from 1.
type roster struct {
	entries map[string]*entry
	// addresses has the addresses of the leader and of the entries, sorted.
	addresses []string
	version   uint64
	refreshed time.Time
}

func newRoster(self string) *roster {
	return &roster{entries: make(map[string]*entry), addresses: []string{self}, version: 1}
}

// record records a ping of an entry with its strength and returns the entry.
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

// rank ranks the candidates for the next leader: the strongest first, those of equal strength in an order that differs for each epoch, so that
// an entry that cannot lead is not the first candidate of every epoch.
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

// hashOf returns a hash of an address by which addresses sort in a different order for each name.
func hashOf(name, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + " " + address))
	return h.Sum64()
}

// refresh removes the entries whose last ping is older than entryTTL and ranks the others, at most once in rosterRefreshInterval.
func (r *roster) refresh(self string, epoch uint64, now time.Time) {
	if now.Sub(r.refreshed) < rosterRefreshInterval {
		return
	}
	r.refreshed = now
	defer r.rank(epoch)
	for address, e := range r.entries {
		if now.Sub(e.lastPing) < entryTTL {
			continue
		}
		delete(r.entries, address)
		if at, listed := slices.BinarySearch(r.addresses, address); listed && address != self {
			r.addresses = slices.Delete(r.addresses, at, at+1)
			r.version++
		}
	}
}

// addressesFor returns the addresses to send to a process that has a version of the list, nil if that is the current one, and the current
// version. The list rarely changes and would be most of each answer.
func (r *roster) addressesFor(process string, version uint64) ([]string, uint64) {
	if version == r.version {
		return nil, version
	}
	return sampleOf(r.addresses, process), r.version
}

// sampleOf returns at most maxEntriesSent addresses, a stable sample that differs from process to process.
func sampleOf(addresses []string, process string) []string {
	if len(addresses) <= maxEntriesSent {
		return slices.Clone(addresses)
	}
	hashes := make(map[string]uint64, len(addresses))
	for _, address := range addresses {
		hashes[address] = hashOf(process, address)
	}
	sample := slices.SortedFunc(slices.Values(addresses), func(a, b string) int { return cmp.Compare(hashes[a], hashes[b]) })[:maxEntriesSent]
	slices.Sort(sample)
	return sample
}

// recordPing records the ping of an entry and returns the answer with the state of the leader and the addresses of other entries.
func (t *term) recordPing(p link.Ping, peer *rpc.Peer) link.PingAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.roster.record(p.Address, p.Strength, peer, time.Now())
	answer := link.PingAnswer{Agents: len(t.agents), Unverified: t.verificationAge() > staleVerificationAfter}
	answer.Entries, answer.EntriesVersion = t.entriesFor(p.Entry, p.EntriesVersion)
	answer.Rank = e.rank
	return answer
}

// entriesFor returns the addresses of entries to send to a process, see roster.addressesFor.
func (t *term) entriesFor(process string, version uint64) ([]string, uint64) {
	t.roster.refresh(t.dispatcher.config.Address, t.epoch, time.Now())
	return t.roster.addressesFor(process, version)
}

// notifyEntries notifies all entries when the store becomes unavailable or available again; each then pings for the new state.
func (t *term) notifyEntries() {
	down := t.dispatcher.config.Health.Down()
	if down == t.notifiedStoreDown {
		return
	}
	t.notifiedStoreDown = down
	t.logger.Warn("entries are notified of the availability of the store; away=%t", down)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.roster.entries {
		if e.peer != nil && time.Since(e.lastPing) < entryTTL {
			go notifyEntry(e.peer)
		}
	}
}

// notifyEntry notifies an entry of a change; an unreachable one detects it by its own calls to the store.
func notifyEntry(peer *rpc.Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_, _ = rpc.Call[link.Empty, link.Empty](ctx, peer, link.MethodStore, link.Empty{})
}
