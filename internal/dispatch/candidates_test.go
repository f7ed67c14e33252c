package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// TestRankedCandidatesCampaignInTurn guards against simultaneous campaigns: 50 equal entries of a fleet all campaigned at
// once, with four calls to the store each.
func TestRankedCandidatesCampaignInTurn(t *testing.T) {
	assert.Equal(t, candidateDelay(1, 0.2, 0.9), time.Duration(0), "the first candidate does not wait")
	for rank := 2; rank <= maxRankDelays; rank++ {
		assert.Equal(t, candidateDelay(rank, 0.2, 0.9)-candidateDelay(rank-1, 0.2, 0.9), rankDelay)
	}
	last := candidateDelay(184, 0.2, 0.99)
	assert.Assert(t, last > maxRankDelays*rankDelay && last <= maxRankDelays*rankDelay+lowRankSpread, "%v", last)
	assert.Assert(t, candidateDelay(0, 1.6, 0) < candidateDelay(0, 0.2, 0), "without a rank the stronger entry waits less")
	assert.Assert(t, candidateDelay(0, 0.2, 0.1) < candidateDelay(0, 0.2, 0.9), "equal entries without a rank wait differently long")
}

// TestEntryThatIsAskedToTakeOverCampaignsAtOnce checks that its rank does not matter, since the leader has already stepped down.
func TestEntryThatIsAskedToTakeOverCampaignsAtOnce(t *testing.T) {
	d := newTestEntry("e", kvtest.New())
	d.SetRank(17)
	assert.Equal(t, d.currentRank(), 17)
	d.SuspectLeader(3, "its VM refuses connections")
	assert.Equal(t, d.currentRank(), 17)
	d.TakeOver(3, 0)
	assert.Equal(t, d.currentRank(), 1)
	assert.Assert(t, d.mayReplace(3))
}

// TestEntriesAreRankedByStrength also checks that the order of equal entries differs by epoch, so that one that cannot lead
// is not always the first candidate.
func TestEntriesAreRankedByStrength(t *testing.T) {
	r := newRoster("self")
	const strong, weak = 5, 20
	for i := range strong + weak {
		strength := 0.2
		if i < strong {
			strength = 1.6
		}
		r.record(fmt.Sprintf("entry-%d", i), strength, nil, time.Now())
	}
	first := make(map[string]bool)
	for epoch := range uint64(20) {
		r.rank(epoch)
		seen := make(map[int]bool)
		for address, e := range r.entries {
			assert.Assert(t, !seen[e.rank] && e.rank >= 1 && e.rank <= strong+weak)
			seen[e.rank] = true
			assert.Equal(t, e.strength > 1, e.rank <= strong, "%s has rank %d", address, e.rank)
			if e.rank == 1 {
				first[address] = true
			}
		}
	}
	assert.Assert(t, len(first) > 1, "the first candidate is always one of %v", first)
}
