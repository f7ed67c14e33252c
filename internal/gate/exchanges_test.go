package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

var start = time.Unix(1_700_000_000, 0)

func TestLetIn(t *testing.T) {
	cases := []struct {
		name  string
		do    func(x *exchanges)
		epoch uint64
		want  fault.Kind
	}{
		{"new", func(*exchanges) {}, 1, -1},
		{"again", func(x *exchanges) { _ = x.letIn("id", "key", 3, 1, start) }, 1, fault.OutcomeUnknown},
		{"barred before it came", func(x *exchanges) { x.settle("id", start) }, 1, fault.Stale},
		{"withdrawn", func(x *exchanges) { _ = x.letIn("id", "key", 3, 1, start); x.withdraw("id", start) }, 1, fault.Stale},
		{"of an earlier owner", func(x *exchanges) { x.seal(3, 2) }, 1, fault.Stale},
		{"of the new owner", func(x *exchanges) { x.seal(3, 2) }, 2, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newExchanges()
			c.do(x)
			err := x.letIn("id", "key", 3, c.epoch, start)
			if c.want < 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, fault.KindOf(err), c.want)
		})
	}
}

func TestSettleSaysNoOnlyOfWhatNeverRuns(t *testing.T) {
	x := newExchanges()
	assert.NilError(t, x.letIn("ran", "", 0, 0, start))
	assert.Assert(t, !x.settle("ran", start))
	assert.Assert(t, x.settle("never", start))
	assert.Assert(t, x.settle("never", start))
}

func TestSealNamesWhatRan(t *testing.T) {
	x := newExchanges()
	assert.NilError(t, x.letIn("a", "key-a", 3, 1, start))
	assert.NilError(t, x.letIn("b", "key-b", 4, 1, start))
	assert.NilError(t, x.letIn("c", "key-c", 3, 1, start))
	x.withdraw("c", start)
	assert.DeepEqual(t, x.seal(3, 2), []string{"key-a"})
}

func TestExchangesAreForgotten(t *testing.T) {
	x := newExchanges()
	assert.NilError(t, x.letIn("a", "", 0, 0, start))
	assert.NilError(t, x.letIn("b", "", 0, 0, start.Add(Retention)))
	assert.Equal(t, len(x.known), 1)
}
