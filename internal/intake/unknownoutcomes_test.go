package intake

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

func TestUnknownOutcomeIsKeptAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUnknownJobs()
		refused := fault.New(fault.Unavailable, "away").WithRetryAfter(time.Second)
		assert.Assert(t, fault.Is(u.resolve("a", refused), fault.Unavailable))
		assert.Assert(t, fault.Is(u.resolve("a", fault.New(fault.OutcomeUnknown, "lost")), fault.OutcomeUnknown))
		assert.Assert(t, fault.Is(u.resolve("a", refused), fault.OutcomeUnknown))
		assert.Assert(t, fault.Is(u.resolve("b", refused), fault.Unavailable))
		assert.NilError(t, u.resolve("a", nil))
		assert.Assert(t, fault.Is(u.resolve("a", refused), fault.Unavailable))
		_ = u.resolve("a", fault.New(fault.OutcomeUnknown, "lost"))
		time.Sleep(unknownRetention + time.Second)
		assert.Assert(t, fault.Is(u.resolve("a", refused), fault.Unavailable))
	})
}

func TestUnknownJobsAreBounded(t *testing.T) {
	u := newUnknownJobs()
	for i := range 2 * maxUnknownJobs {
		_ = u.resolve(job.ID(fmt.Sprint(i)), fault.New(fault.OutcomeUnknown, "lost"))
	}
	assert.Assert(t, len(u.jobs) <= maxUnknownJobs)
}
