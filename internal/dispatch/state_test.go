package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestStateWaitsForCommitOfLastEnd guards against reporting a job as running a few milliseconds after its last task has ended. Callers ask again
// only 250 ms later, which is all the slack that a short job has.
func TestStateWaitsForCommitOfLastEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id, commitTime = job.ID("00000000000000aa"), 20 * time.Millisecond
		leader, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		_, err := leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(context.Background(), leader))
		state, known := leader.jobState(id)
		assert.Assert(t, known)
		assert.Equal(t, state, job.Running)

		ended := testReport("i1")
		ended.Ended = []link.Ended{{Run: link.Run{Task: string(id) + ".0.0.0", Number: 1}, Sequence: 1, End: int(job.EndDone)}}
		go func() { _, _ = leader.report(fakeSession{a}, ended) }()
		synctest.Wait()
		askedAt := time.Now()
		time.AfterFunc(commitTime, func() { assert.Check(t, cycle(context.Background(), leader)) })
		state, known = leader.jobState(id)
		assert.Assert(t, known)
		assert.Equal(t, state, job.Completed)
		assert.Equal(t, time.Since(askedAt), commitTime)
	})
}

// TestStateIsNotReturnedBeforeCommit checks that no state is returned before it is committed, since the store may keep another one.
func TestStateIsNotReturnedBeforeCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = job.ID("00000000000000aa")
		leader, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		_, err := leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		leader.schedule()
		_, known := leader.jobState(id)
		assert.Assert(t, !known, "the placement is not committed")
		_, known = leader.jobState("00000000000000bb")
		assert.Assert(t, !known, "there is no such job")
	})
}
