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

// newTestPinger returns a pinger of an entry that follows a leader, or none for epoch 0.
func newTestPinger(epoch uint64) *Pinger {
	follower := follow.New(kvtest.New(), record.LeaderKey, record.DecodeLeader, logging.Discard())
	p := &Pinger{server: &Server{config: Config{Leader: follower}}}
	if epoch > 0 {
		p.setLeader(epoch)
	}
	return p
}

// setLeader sets the leader that the entry follows.
func (p *Pinger) setLeader(epoch uint64) {
	p.server.config.Leader.Offer(follow.Value[record.Leader]{Decoded: record.Leader{Process: "n", Address: "a", Epoch: epoch}, Revision: kv.Revision(epoch)})
}

// TestRequestForALaterLeaderWaits checks that the request waits for a later leader, so that agents need not poll or read the store.
func TestRequestForALaterLeaderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPinger(7)
		p.agents.Store(800)
		answer, err := p.handleLeader(t.Context(), nil, link.LeaderRequest{})
		assert.NilError(t, err)
		assert.DeepEqual(t, answer, link.LeaderAnswer{Process: "n", Address: "a", Epoch: 7, Agents: 800})

		sentAt := time.Now()
		time.AfterFunc(maxLeaderWait/2, func() { p.setLeader(8) })
		answer, err = p.handleLeader(t.Context(), nil, link.LeaderRequest{After: 7})
		assert.NilError(t, err)
		assert.Equal(t, answer.Epoch, uint64(8))
		assert.Equal(t, time.Since(sentAt), maxLeaderWait/2)

		answer, err = p.handleLeader(t.Context(), nil, link.LeaderRequest{After: 8})
		assert.NilError(t, err)
		assert.Equal(t, answer.Epoch, uint64(8), "the leader has not changed")

		sentAt = time.Now()
		_, err = p.handleLeader(t.Context(), nil, link.LeaderRequest{After: 8, AtOnce: true})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(sentAt), time.Duration(0), "an agent of an unverified leader gets its answer at once")
	})
}

func TestEntryWithoutALeaderReturnsARetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sentAt := time.Now()
		_, err := newTestPinger(0).handleLeader(t.Context(), nil, link.LeaderRequest{})
		assert.Equal(t, fault.KindOf(err), fault.Unavailable)
		assert.Equal(t, fault.RetryAfter(err), leaderRetryAfter)
		assert.Equal(t, time.Since(sentAt), maxLeaderWait)
	})
}
