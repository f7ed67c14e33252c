package remedy

import "time"

// Policy holds the thresholds, as shares of the service's target, and the waits between steps.
type Policy struct {
	Tighten    float64
	Relax      float64
	Breach     float64
	LookAhead  time.Duration
	Hold       time.Duration
	EvictAfter time.Duration
	Cooldown   time.Duration
	Floor      int
}

// DefaultPolicy is the policy that the decision bench was run with.
func DefaultPolicy() Policy {
	return Policy{
		Tighten: 0.75, Relax: 0.55, Breach: 1,
		LookAhead: 4 * time.Second, Hold: 10 * time.Second,
		EvictAfter: 30 * time.Second, Cooldown: 2 * time.Minute, Floor: 10,
	}
}

// Full is the throttle, in percent of its processors, of a task that is not throttled.
const Full = 100

// State is what the policy remembers of one VM between steps; the zero value is a VM that was never looked at.
type State struct {
	throttle  int
	ratio     float64
	looked    time.Time
	relaxed   time.Time
	breached  time.Time
	evicted   time.Time
	isPressed bool
}

// Action is what is to be done on the VM.
type Action struct {
	throttle int
	pressed  bool
	evict    bool
}

// Throttle returns the share of its processors, in percent, that each batch task on the VM may use.
func (a Action) Throttle() int { return a.throttle }

// IsPressed reports whether new batch tasks are kept off the VM.
func (a Action) IsPressed() bool { return a.pressed }

// Evicts reports whether one batch task is to be checkpointed and moved.
func (a Action) Evicts() bool { return a.evict }

// Step returns what is to be done now that the worst service on the VM is at a ratio of its target.
func (p Policy) Step(s *State, ratio float64, now time.Time) Action {
	if s.looked.IsZero() {
		s.throttle, s.relaxed = Full, now
	}
	ahead := p.ahead(s, ratio, now)
	s.ratio, s.looked = ratio, now
	p.setThrottle(s, ahead, now)
	p.setPressed(s, ahead, now)
	return Action{throttle: s.throttle, pressed: s.isPressed, evict: p.evicts(s, ratio, now)}
}

// ahead is where the ratio will be at its recent slope, since measurements lag.
func (p Policy) ahead(s *State, ratio float64, now time.Time) float64 {
	elapsed := now.Sub(s.looked)
	if s.looked.IsZero() || elapsed <= 0 || ratio <= s.ratio {
		return ratio
	}
	slope := (ratio - s.ratio) / elapsed.Seconds()
	return ratio + min(slope*p.LookAhead.Seconds(), 0.5)
}

func (p Policy) setThrottle(s *State, ahead float64, now time.Time) {
	switch {
	case ahead >= p.Breach:
		s.throttle = max(s.throttle/3, p.Floor)
		s.relaxed = now
	case ahead >= p.Tighten:
		s.throttle = max(s.throttle*2/3, p.Floor)
		s.relaxed = now
	case ahead < p.Relax && now.Sub(s.relaxed) >= p.Hold:
		s.throttle = min(s.throttle+10, Full)
		s.relaxed = now.Add(-p.Hold / 2)
	}
}

func (p Policy) setPressed(s *State, ahead float64, now time.Time) {
	switch {
	case ahead >= p.Tighten:
		s.isPressed = true
	case ahead < p.Relax && s.throttle >= Full/2 && now.Sub(s.relaxed) >= 0:
		s.isPressed = false
	}
}

func (p Policy) evicts(s *State, ratio float64, now time.Time) bool {
	if ratio < p.Breach || s.throttle > p.Floor {
		s.breached = time.Time{}
		return false
	}
	if s.breached.IsZero() {
		s.breached = now
	}
	if now.Sub(s.breached) < p.EvictAfter || (!s.evicted.IsZero() && now.Sub(s.evicted) < p.Cooldown) {
		return false
	}
	s.evicted = now
	return true
}
