package wait

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTimeoutFollowsTheMeanResponseTime(t *testing.T) {
	p := NewTimeout(100*time.Millisecond, 900*time.Millisecond)
	assert.Equal(t, p.First(), 100*time.Millisecond)
	assert.Equal(t, p.Extend(p.First()), 200*time.Millisecond)
	for range 50 {
		p.Observe(50 * time.Millisecond)
	}
	assert.Assert(t, p.First() > 350*time.Millisecond && p.First() <= 400*time.Millisecond, "%v", p.First())
	for range 50 {
		p.Observe(time.Second)
	}
	assert.Equal(t, p.First(), 900*time.Millisecond)
	assert.Equal(t, p.Extend(p.First()), 900*time.Millisecond)
}
