package runner

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// TestReconnectsAreSpreadForTheLeader simulates 1,600 agents that learn of a new leader at the same time: a leader on the weakest VM must not receive
// more handshakes than it can complete, and urgent agents come first.
func TestReconnectsAreSpreadForTheLeader(t *testing.T) {
	const agents, window = 1600, 100 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4)) //nolint:gosec // a fixed seed
	arrivals := make(map[time.Duration]int)
	var latestUrgent, latest time.Duration
	for i := range agents {
		const urgentDivisor = 50
		endsUnreported := i < agents/urgentDivisor
		delay := reconnectDelay(agents, 5*time.Second, endsUnreported, random.Float64())
		arrivals[delay/window]++
		latest = max(latest, delay)
		if endsUnreported {
			latestUrgent = max(latestUrgent, delay)
		}
	}
	// The random delays within a window scatter around its share.
	const scatter = 1.5
	for index, count := range arrivals {
		required := time.Duration(float64(count) * float64(handshakeTime) / scatter)
		assert.Assert(t, required <= window, "%d handshakes within %v after %v", count, window, index*window)
	}
	assert.Assert(t, latestUrgent <= latest/2, "agents with ended runs reconnect after %v, all after %v", latestUrgent, latest)
	assert.Assert(t, latest <= 2*time.Second)
}

func TestAgentOfASmallFleetReconnectsAtOnce(t *testing.T) {
	assert.Assert(t, reconnectDelay(14, 5*time.Second, false, 0.99) <= minReconnectSpread)
	assert.Assert(t, reconnectDelay(0, 5*time.Second, false, 0.99) <= minReconnectSpread)
}

// TestLeaseThatEndsSoonIsUrgent checks that such an agent reconnects early, however many others do.
func TestLeaseThatEndsSoonIsUrgent(t *testing.T) {
	spread := 800 * handshakeTime
	assert.Assert(t, reconnectDelay(800, time.Second, false, 0.99) <= spread/4)
	assert.Assert(t, reconnectDelay(800, time.Minute, false, 0.99) > spread/2)
}

func TestFullLeaderDelaysReconnects(t *testing.T) {
	overloaded := fault.New(fault.Overloaded, "all connections are taken").WithRetryAfter(3 * time.Second)
	assert.Equal(t, retryAfter(overloaded), 3*time.Second)
	assert.Equal(t, retryAfter(fault.New(fault.Unavailable, "no answer")), time.Duration(0))
}

// TestLeaderThatIsLoadingJobsIsRetriedSoon guards against agents that come some milliseconds early and then wait 1.5 s for a later leader.
func TestLeaderThatIsLoadingJobsIsRetriedSoon(t *testing.T) {
	assert.Equal(t, failedEpoch(7, false, fault.New(fault.Stale, "this entry does not lead")), uint64(0))
	assert.Equal(t, failedEpoch(7, true, fault.New(fault.Unavailable, "the leader closed the connection")), uint64(0))
	assert.Equal(t, failedEpoch(7, false, fault.New(fault.Unavailable, "cannot connect")), uint64(7))
}
