package remedy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// runSteps runs the default policy for some seconds with the same input.
func runSteps(s *State, in Input, seconds int) bool {
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
		blocksBatch, evicts bool
	}{
		{"no throttle far from the target", Input{LatencyRatio: 0.1, Loads: loads}, Unthrottled, Unthrottled, false, false},
		{"workload with the most slowdown throttled first, as far as needed", Input{LatencyRatio: 0.58, Loads: loads}, 13, Unthrottled, false, false},
		{"budget lowered by measured slowdown beyond the slack", Input{LatencyRatio: 0.78, Slowdown: 0.5, Loads: loads}, 10, 10, true, false},
		{"eviction if the slowdown persists at the lowest throttle", Input{LatencyRatio: 1.2, Slowdown: 0.5, Loads: loads}, 10, 10, true, true},
		{"no eviction for a service that is slow by itself", Input{LatencyRatio: 1.2, Loads: loads}, 13, Unthrottled, false, false},
		{"no action without batch work", Input{LatencyRatio: 1.2, Slowdown: 0.5}, Unthrottled, Unthrottled, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &State{}
			c.in.Now = start
			assert.Equal(t, runSteps(s, c.in, 60), c.evicts)
			assert.Equal(t, s.Throttle("mailing"), c.mailing)
			assert.Equal(t, s.Throttle("sync"), c.sync)
			assert.Equal(t, s.BlocksBatch(), c.blocksBatch)
		})
	}
}

func TestThrottleIsRaisedSlowly(t *testing.T) {
	s := &State{}
	loads := []Load{NewLoad("mailing", 5, 100)}
	runSteps(s, Input{Now: start, LatencyRatio: 0.58, Loads: loads}, 5)
	assert.Equal(t, s.Throttle("mailing"), 10)
	quiet := Input{Now: start.Add(time.Minute), LatencyRatio: 0.1, Loads: []Load{NewLoad("mailing", 0.01, 100)}}
	runSteps(s, quiet, 1)
	assert.Equal(t, s.Throttle("mailing"), 30)
	runSteps(s, quiet, 4)
	assert.Equal(t, s.Throttle("mailing"), Unthrottled)
}
