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

// TestStateIsReadFromTheLeader checks that the leader is asked first, which has the end of a job before the store does, and that
// the store is read if the leader has no state of the job or does not answer.
func TestStateIsReadFromTheLeader(t *testing.T) {
	const id = job.ID("00000000000000aa")
	routes := []policy.Route{{Host: "h", Prefix: "/q/"}}
	e := newTestEntry(t)
	decoded := configuration{policy: policy.New(1, routes, nil, 0)}
	e.server.config.Policies.follower.Offer(follow.Value[configuration]{Decoded: decoded, Revision: 1})
	state := func() (job.State, error) {
		return e.server.State(t.Context(), Address{Host: "h", Path: "/q/" + string(id)})
	}
	_, err := state()
	assert.Assert(t, fault.Is(err, fault.Gone), "%v", err)
	_, err = e.store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: record.JobKey(id), Value: []byte("x")}}})
	assert.NilError(t, err)

	e.leader.setJobState(link.JobStateAnswer{Known: true, State: int(job.Completed)})
	got, err := state()
	assert.NilError(t, err)
	assert.Equal(t, got, job.Queued, "the leader has not answered a ping yet")
	assert.NilError(t, e.pingOnce(t))
	before := e.store.calls()
	got, err = state()
	assert.NilError(t, err)
	assert.Equal(t, got, job.Completed)
	assert.Equal(t, e.store.calls(), before)

	e.leader.setJobState(link.JobStateAnswer{})
	got, err = state()
	assert.NilError(t, err)
	assert.Equal(t, got, job.Queued, "the leader has no state of the job")
}
