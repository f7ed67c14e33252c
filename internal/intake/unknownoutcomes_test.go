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

func TestJobInDoubtIsNeverToldAsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDoubts()
		refused := fault.New(fault.Unavailable, "away").WithRetryAfter(time.Second)
		assert.Assert(t, fault.Is(d.settle("a", refused), fault.Unavailable))
		assert.Assert(t, fault.Is(d.settle("a", fault.New(fault.OutcomeUnknown, "lost")), fault.OutcomeUnknown))
		assert.Assert(t, fault.Is(d.settle("a", refused), fault.OutcomeUnknown))
		assert.Assert(t, fault.Is(d.settle("b", refused), fault.Unavailable))
		assert.NilError(t, d.settle("a", nil))
		assert.Assert(t, fault.Is(d.settle("a", refused), fault.Unavailable))
		_ = d.settle("a", fault.New(fault.OutcomeUnknown, "lost"))
		time.Sleep(doubtFor + time.Second)
		assert.Assert(t, fault.Is(d.settle("a", refused), fault.Unavailable))
	})
}

func TestDoubtsAreBounded(t *testing.T) {
	d := newDoubts()
	for i := range 2 * mostDoubts {
		_ = d.settle(job.ID(fmt.Sprint(i)), fault.New(fault.OutcomeUnknown, "lost"))
	}
	assert.Assert(t, len(d.jobs) <= mostDoubts)
}
