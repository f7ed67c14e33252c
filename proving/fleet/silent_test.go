package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/proving/relay"
)

const (
	// acceptTimeout bounds the attempts to submit a job after the connections went silent; finishTimeout bounds all later
	// steps.
	acceptTimeout = 2 * time.Second
	finishTimeout = 15 * time.Second
)

// TestConnectionsThatStaySilent checks, for each kind of connection, that open connections may go silent without a reset
// while new ones work: a job submitted right afterwards is accepted, and all jobs complete.
func TestConnectionsThatStaySilent(t *testing.T) {
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
			f, err := New(Size{Entries: 3, Agents: 4}, binaries, t.ArtifactDir())
			assert.NilError(t, err)
			defer f.Close()
			c := NewCaller(f, 1)
			for range 3 {
				id := c.addJob(c.randomSpec())
				assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
				for _, r := range path(f) {
					r.SilenceOpen()
				}
				id = c.addJob(c.randomSpec())
				began := time.Now()
				assert.NilError(t, f.await(acceptTimeout, func() bool { return c.submit(id) }))
				t.Logf("accepted after %v", time.Since(began).Round(time.Millisecond))
			}
			assert.NilError(t, f.awaitFinished(c, finishTimeout))
			assert.NilError(t, f.checker.verify())
		})
	}
}
