package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/proving/relay"
)

const (
	// narrowLink is the bandwidth of the slowest links of entries, 10 Mbit/s, in bytes per second.
	narrowLink = 10_000_000 / 8
	// inForceTimeout is the time within which a configuration must take effect.
	inForceTimeout = 3 * time.Second
	// manyQueues make a configuration of almost the megabyte that the store accepts.
	manyQueues = 5500
)

// narrow limits the bandwidth of each entry's connections to the store, and of those that other processes open to it.
func (f *Fleet) narrow(bytesPerSecond int) {
	for i, entry := range f.entries {
		f.storeRelays[entry.name].SetLink(relay.NewLink(bytesPerSecond))
		f.peerRelays[i].SetLink(relay.NewLink(bytesPerSecond))
	}
}

// requestQueue requests a queue of an entry and returns the status, 0 if there is no answer.
func requestQueue(entry *Process, prefix string) int {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry.callers + prefix)
	request.UseHostHeader = true
	request.Header.SetHost(queueHost)
	if err := fasthttp.DoTimeout(request, response, callerTimeout); err != nil {
		return 0
	}
	return response.StatusCode()
}

// TestLargeConfigurationTakesEffectOverNarrowLinks guards against reads of a configuration that all time out before it has arrived: an entry
// answered 404 for a queue more than three seconds after it had been added.
func TestLargeConfigurationTakesEffectOverNarrowLinks(t *testing.T) {
	f, err := New(Size{Entries: 3, Agents: 2}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	f.narrow(narrowLink)
	for version := 2; version <= 4; version++ {
		queues := manyQueues + version
		assert.NilError(t, f.configure(version, queues))
		addedAt := time.Now()
		var callers sync.WaitGroup
		for _, entry := range f.entries {
			callers.Go(func() {
				served, late := requestAdded(entry, addedPrefix(queues), addedAt)
				assert.Check(t, len(late) == 0, "%s does not serve the queue of version %d: %v", entry.name, version, late)
				t.Logf("%s serves the queue of version %d to requests sent after %v", entry.name, version, served)
			})
		}
		callers.Wait()
	}
}

// requestAdded requests a queue of an entry several times a second until a while after it must be served. It returns when the first
// request that was served was sent, and the answers that do not serve it to requests sent after inForceTimeout.
func requestAdded(entry *Process, prefix string, addedAt time.Time) (served time.Duration, late []string) {
	const interval, longer = 150 * time.Millisecond, time.Second
	var mu sync.Mutex
	var requests sync.WaitGroup
	served = inForceTimeout + longer
	for sent := time.Duration(0); sent < inForceTimeout+longer; sent = time.Since(addedAt) {
		requests.Go(func() {
			status := requestQueue(entry, prefix)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == fasthttp.StatusOK:
				served = min(served, sent)
			case sent > inForceTimeout:
				late = append(late, fmt.Sprintf("%d after %v", status, sent.Round(time.Millisecond)))
			}
		})
		<-time.After(interval)
	}
	requests.Wait()
	return served, late
}
