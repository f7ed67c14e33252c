package intake

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/policy"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// TestStateOfAJobIsAskedOfTheLeader, which knows of the last end before it is committed; where it cannot tell or does not answer, the store is read.
func TestStateOfAJobIsAskedOfTheLeader(t *testing.T) {
	const id = job.ID("00000000000000aa")
	routes := []policy.Route{{Host: "h", Prefix: "/q/"}}
	e := newEntry(t)
	held := configuration{policy: policy.New(1, routes, nil, 0)}
	e.desk.config.Policies.follower.Offer(follow.Value[configuration]{Decoded: held, Revision: 1})
	state := func() (job.State, error) {
		return e.desk.State(t.Context(), Address{Host: "h", Path: "/q/" + string(id)})
	}
	_, err := state()
	assert.Assert(t, fault.Is(err, fault.Gone), "%v", err)
	_, err = e.store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: record.JobKey(id), Value: []byte("x")}}})
	assert.NilError(t, err)

	e.lead.tell(link.JobStateAnswer{Known: true, State: int(job.Completed)})
	shown, err := state()
	assert.NilError(t, err)
	assert.Equal(t, shown, job.Queued, "the leader has not answered a ping")
	assert.NilError(t, e.pinged(t))
	before := e.store.calls()
	shown, err = state()
	assert.NilError(t, err)
	assert.Equal(t, shown, job.Completed)
	assert.Equal(t, e.store.calls(), before)

	e.lead.tell(link.JobStateAnswer{})
	shown, err = state()
	assert.NilError(t, err)
	assert.Equal(t, shown, job.Queued, "the leader cannot tell")
}
