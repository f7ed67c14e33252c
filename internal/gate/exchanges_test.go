package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

var startTime = time.Unix(1_700_000_000, 0)

func TestAdmit(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(x *exchanges)
		epoch   uint64
		want    fault.Kind
	}{
		{"new", func(*exchanges) {}, 1, -1},
		{"again", func(x *exchanges) { _ = x.admit("id", "key", 3, 1, startTime) }, 1, fault.OutcomeUnknown},
		{"barred before it arrived", func(x *exchanges) { x.confirmNotRun("id", startTime) }, 1, fault.Stale},
		{"withdrawn", func(x *exchanges) { _ = x.admit("id", "key", 3, 1, startTime); x.withdraw("id", startTime) }, 1, fault.Stale},
		{"by an earlier owner", func(x *exchanges) { x.seal(3, 2) }, 1, fault.Stale},
		{"by the new owner", func(x *exchanges) { x.seal(3, 2) }, 2, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newExchanges()
			c.prepare(x)
			err := x.admit("id", "key", 3, c.epoch, startTime)
			if c.want < 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, fault.KindOf(err), c.want)
		})
	}
}

func TestConfirmNotRunHoldsOnlyForRequestsThatNeverRun(t *testing.T) {
	x := newExchanges()
	assert.NilError(t, x.admit("ran", "", 0, 0, startTime))
	assert.Assert(t, !x.confirmNotRun("ran", startTime))
	assert.Assert(t, x.confirmNotRun("never", startTime))
	assert.Assert(t, x.confirmNotRun("never", startTime))
}

func TestSealReturnsAdmittedKeys(t *testing.T) {
	x := newExchanges()
	assert.NilError(t, x.admit("a", "key-a", 3, 1, startTime))
	assert.NilError(t, x.admit("b", "key-b", 4, 1, startTime))
	assert.NilError(t, x.admit("c", "key-c", 3, 1, startTime))
	x.withdraw("c", startTime)
	assert.DeepEqual(t, x.seal(3, 2), []string{"key-a"})
}

func TestExchangesExpire(t *testing.T) {
	x := newExchanges()
	assert.NilError(t, x.admit("a", "", 0, 0, startTime))
	assert.NilError(t, x.admit("b", "", 0, 0, startTime.Add(Retention)))
	assert.Equal(t, len(x.byID), 1)
}
