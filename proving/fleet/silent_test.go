package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/proving/relay"
)

const (
	// acceptedWithin bounds how long a caller tries after the connections went silent, finishedWithin all that is left then.
	acceptedWithin = 2 * time.Second
	finishedWithin = 15 * time.Second
)

// TestConnectionsThatGoSilentForGood plays each kind of path on which open connections may go silent, without a reset, while
// new ones pass: a job handed in right afterwards is accepted, and all jobs get done.
func TestConnectionsThatGoSilentForGood(t *testing.T) {
	for name, path := range map[string]func(*Fleet) []*relay.Relay{
		"to the store": func(f *Fleet) []*relay.Relay {
			var all []*relay.Relay
			for _, r := range f.storeRelays {
				all = append(all, r)
			}
			return all
		},
		"between processes": func(f *Fleet) []*relay.Relay { return f.peerRelays },
		"to workers":        func(f *Fleet) []*relay.Relay { return f.workerRelays },
		"everywhere":        (*Fleet).relays,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, err := New(Size{Entries: 3, Agents: 4}, binaries, t.TempDir())
			assert.NilError(t, err)
			defer f.Close()
			c := NewCaller(f, 1)
			for range 3 {
				id := c.submit(c.draw())
				assert.NilError(t, f.await(finishedWithin, func() bool { return c.send(id) }))
				for _, r := range path(f) {
					r.Silence()
				}
				id = c.submit(c.draw())
				began := time.Now()
				assert.NilError(t, f.await(acceptedWithin, func() bool { return c.send(id) }))
				t.Logf("accepted after %v", time.Since(began).Round(time.Millisecond))
			}
			assert.NilError(t, f.awaitFinished(c, finishedWithin))
			assert.NilError(t, f.books.judge())
		})
	}
}
