package intake

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/policy"
)

// newTestEntryWithQueue returns an entry that knows a configuration with the queue /q/ and a limit of ten bytes for a job.
func newTestEntryWithQueue(t *testing.T) *testEntry {
	t.Helper()
	const maxBody = 10
	e := newTestEntry(t)
	decoded := configuration{policy: policy.New(1, []policy.Route{{Host: "h", Prefix: "/q/"}}, nil, maxBody)}
	e.server.config.Policies.follower.Offer(follow.Value[configuration]{Decoded: decoded, Revision: 1})
	return e
}

// TestQueueIsNotReportedMissingByAnUnconfirmedConfiguration guards against a final 404 for a queue that a newer configuration has: the store
// did not answer the entry, which then decided by its outdated configuration.
func TestQueueIsNotReportedMissingByAnUnconfirmedConfiguration(t *testing.T) {
	e := newTestEntryWithQueue(t)
	e.store.set(true)
	_, err := e.server.State(t.Context(), Address{Host: "h", Path: "/added/00000000000000aa"})
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	assert.Assert(t, fault.RetryAfter(err) > 0)
}

// TestJobIsNotReportedTooLargeByAnUnconfirmedConfiguration guards against a final 413 for a job that a newer configuration allows.
func TestJobIsNotReportedTooLargeByAnUnconfirmedConfiguration(t *testing.T) {
	e := newTestEntryWithQueue(t)
	e.store.set(true)
	decode := func() (job.Spec, error) { return job.Spec{}, nil }
	err := e.server.Submit(context.Background(), Address{Host: "h", Path: "/q/00000000000000aa"}, 11, decode)
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
}

// TestUnknownQueueIsRefusedAtOnceWhileTheStoreIsDown guards against requests that wait for a confirmation which cannot come.
func TestUnknownQueueIsRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	e := newTestEntryWithQueue(t)
	e.store.set(true)
	for !e.server.config.Health.Down() {
		_ = e.probeStore(t.Context())
	}
	before := e.store.calls()
	_, err := e.server.State(t.Context(), Address{Host: "h", Path: "/added/00000000000000aa"})
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	assert.Equal(t, e.store.calls(), before)
}
