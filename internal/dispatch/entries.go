package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// tellPatience bounds how long an entry may take to hear of the store; its next ping tells it as well.
const tellPatience = 500 * time.Millisecond

// entry is an entry as its latest ping tells.
type entry struct {
	heard time.Time
	peer  *rpc.Peer
}

// hearEntry takes note of an entry and returns the addresses of all that were heard of.
func (t *term) hearEntry(address string, peer *rpc.Peer) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[address] = &entry{heard: time.Now(), peer: peer}
	return t.entryList()
}

// entryList returns the addresses of this entry and of all that were heard of lately, in order.
func (t *term) entryList() []string {
	list := []string{t.d.config.Address}
	for address, e := range t.entries {
		if time.Since(e.heard) < trust {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// entriesFor returns the addresses of the entries for an agent that has a list already, nil where that is the latest, and the number of
// the latest. The list hardly ever changes, and would be most of what an agent is answered.
func (t *term) entriesFor(has uint64) ([]string, uint64) {
	if list := t.entryList(); !slices.Equal(list, t.list) {
		t.list, t.listNumber = list, t.listNumber+1
	}
	if has == t.listNumber {
		return nil, has
	}
	return t.list, t.listNumber
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
	for _, e := range t.entries {
		if e.peer != nil && time.Since(e.heard) < trust {
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
