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

// TestStateWaitsForCommitOfLastEnd plays a caller who asks some milliseconds after the last task has ended: the job was shown as running, and as
// completed only when the caller asked again a quarter of a second later, which is all the time that a short job has beside its work.
func TestStateWaitsForCommitOfLastEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id, commits = job.ID("00000000000000aa"), 20 * time.Millisecond
		lead, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		_, err := lead.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(context.Background(), lead))
		state, known := lead.jobState(id)
		assert.Assert(t, known)
		assert.Equal(t, state, job.Running)

		ended := testReport("i1")
		ended.Ended = []link.Ended{{Run: link.Run{Task: string(id) + ".0.0.0", Number: 1}, Sequence: 1, End: int(job.EndDone)}}
		go func() { _, _ = lead.report(fakeSession{a}, ended) }()
		synctest.Wait()
		asked := time.Now()
		time.AfterFunc(commits, func() { assert.Check(t, cycle(context.Background(), lead)) })
		state, known = lead.jobState(id)
		assert.Assert(t, known)
		assert.Equal(t, state, job.Completed)
		assert.Equal(t, time.Since(asked), commits)
	})
}

// TestStateIsNotReturnedBeforeCommit: the store may have another one.
func TestStateIsNotReturnedBeforeCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = job.ID("00000000000000aa")
		lead, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		_, err := lead.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		lead.schedule()
		_, known := lead.jobState(id)
		assert.Assert(t, !known, "the placement is not committed")
		_, known = lead.jobState("00000000000000bb")
		assert.Assert(t, !known, "there is no such job")
	})
}
