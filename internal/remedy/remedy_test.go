package remedy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// steps plays a policy for some seconds with the same input.
func steps(s *State, in Input, seconds int) bool {
	evicted := false
	for range seconds {
		in.Now = in.Now.Add(time.Second)
		evicted = DefaultPolicy().Step(s, in) || evicted
	}
	return evicted
}

func TestThrottles(t *testing.T) {
	loads := []Load{NewLoad("mailing", 0.5, 100), NewLoad("sync", 0.02, 100)}
	cases := []struct {
		name                string
		in                  Input
		mailing, sync       int
		isPressed, isEvicts bool
	}{
		{"far from the target nothing is throttled", Input{LatencyRatio: 0.1, Loads: loads}, Unthrottled, Unthrottled, false, false},
		{"the harmful first, as far as needed", Input{LatencyRatio: 0.58, Loads: loads}, 13, Unthrottled, false, false},
		{"felt beyond the slack the budget shrinks", Input{LatencyRatio: 0.78, Slowdown: 0.5, Loads: loads}, 10, 10, true, false},
		{"what outlasts the tightest throttle is evicted", Input{LatencyRatio: 1.2, Slowdown: 0.5, Loads: loads}, 10, 10, true, true},
		{"a service that is slow by itself costs no eviction", Input{LatencyRatio: 1.2, Loads: loads}, 13, Unthrottled, false, false},
		{"without batch work there is nothing to do", Input{LatencyRatio: 1.2, Slowdown: 0.5}, Unthrottled, Unthrottled, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &State{}
			c.in.Now = start
			assert.Equal(t, steps(s, c.in, 60), c.isEvicts)
			assert.Equal(t, s.Throttle("mailing"), c.mailing)
			assert.Equal(t, s.Throttle("sync"), c.sync)
			assert.Equal(t, s.BlocksBatch(), c.isPressed)
		})
	}
}

func TestThrottleIsLoosenedSlowly(t *testing.T) {
	s := &State{}
	loads := []Load{NewLoad("mailing", 5, 100)}
	steps(s, Input{Now: start, LatencyRatio: 0.58, Loads: loads}, 5)
	assert.Equal(t, s.Throttle("mailing"), 10)
	quiet := Input{Now: start.Add(time.Minute), LatencyRatio: 0.1, Loads: []Load{NewLoad("mailing", 0.01, 100)}}
	steps(s, quiet, 1)
	assert.Equal(t, s.Throttle("mailing"), 30)
	steps(s, quiet, 4)
	assert.Equal(t, s.Throttle("mailing"), Unthrottled)
}
