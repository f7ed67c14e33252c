package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// knowing returns a pinger of an entry that knows a leader, or none.
func knowing(epoch uint64) *Pinger {
	followed := follow.New(kvtest.New(), record.LeaderKey, record.DecodeLeader, logging.Discard())
	p := &Pinger{desk: &Server{config: Config{Leader: followed}}}
	if epoch > 0 {
		p.elect(epoch)
	}
	return p
}

// elect lets the entry learn of a leader.
func (p *Pinger) elect(epoch uint64) {
	p.desk.config.Leader.Offer(follow.Value[record.Leader]{Decoded: record.Leader{Process: "n", Address: "a", Epoch: epoch}, Revision: kv.Revision(epoch)})
}

// TestQuestionForALaterLeaderIsHeld until there is one, so that agents neither poll nor read the store.
func TestQuestionForALaterLeaderIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := knowing(7)
		p.agents.Store(800)
		answer, err := p.leader(t.Context(), nil, link.LeaderRequest{})
		assert.NilError(t, err)
		assert.DeepEqual(t, answer, link.LeaderAnswer{Process: "n", Address: "a", Epoch: 7, Agents: 800})

		asked := time.Now()
		time.AfterFunc(leaderHold/2, func() { p.elect(8) })
		answer, err = p.leader(t.Context(), nil, link.LeaderRequest{After: 7})
		assert.NilError(t, err)
		assert.Equal(t, answer.Epoch, uint64(8))
		assert.Equal(t, time.Since(asked), leaderHold/2)

		answer, err = p.leader(t.Context(), nil, link.LeaderRequest{After: 8})
		assert.NilError(t, err)
		assert.Equal(t, answer.Epoch, uint64(8), "the same leader leads on")

		asked = time.Now()
		_, err = p.leader(t.Context(), nil, link.LeaderRequest{After: 8, AtOnce: true})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(asked), time.Duration(0), "an agent that follows a leader in doubt goes on reporting")
	})
}

func TestEntryWithoutALeaderSaysWhenToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := time.Now()
		_, err := knowing(0).leader(t.Context(), nil, link.LeaderRequest{})
		assert.Equal(t, fault.KindOf(err), fault.Unavailable)
		assert.Equal(t, fault.RetryAfter(err), leaderRetry)
		assert.Equal(t, time.Since(asked), leaderHold)
	})
}
