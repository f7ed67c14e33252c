package remedy

import (
	"cmp"
	"slices"
	"time"
)

// Policy holds the thresholds and the delays between steps.
type Policy struct {
	// Slack is the slowdown of services that batch tasks may cause in any case.
	Slack float64
	// SafeRatio is the share of its target under which a service is kept. HeadroomShare is the part of the headroom
	// below it that batch tasks may use beyond the slack, at most MaxSlack.
	SafeRatio     float64
	HeadroomShare float64
	MaxSlack      float64
	// BreachRatio is the share of its target at which a service is in breach.
	BreachRatio float64
	// LookAhead is how far ahead a growing slowdown is extrapolated, since measurements lag.
	LookAhead time.Duration
	// MinThrottle is the lowest throttle, in percent.
	MinThrottle int
	// RaiseStep is by how many percent a throttle is raised in a step.
	RaiseStep int
	// EvictAfter is how long a slowdown must persist at the lowest throttle before a task is evicted.
	EvictAfter time.Duration
	// Cooldown is the minimum time between evictions.
	Cooldown time.Duration
}

// DefaultPolicy returns the policy of agents and leaders, which the simulated days of proving/decision use as well.
func DefaultPolicy() Policy {
	return Policy{
		Slack: 0.09, SafeRatio: 0.8, HeadroomShare: 0.15, MaxSlack: 1, BreachRatio: 0.9, LookAhead: 2 * time.Second, MinThrottle: 10, RaiseStep: 20,
		EvictAfter: 30 * time.Second, Cooldown: 2 * time.Minute,
	}
}

// Unthrottled is the throttle, in percent of its processors, of a task that is not throttled.
const Unthrottled = 100

const (
	minBudget      = 0.1
	budgetDecrease = 0.7
	budgetIncrease = 1.05
)

// Load is a batch workload on the VM with the expected slowdown that it causes at full speed.
type Load struct {
	workload string
	slowdown float64
	weight   int
}

// NewLoad returns a load; weight is that of the workload's row.
func NewLoad(workload string, slowdown float64, weight int) Load {
	return Load{workload: workload, slowdown: slowdown, weight: max(weight, 1)}
}

// Workload returns the batch workload.
func (l Load) Workload() string { return l.workload }

// Input is the input of a step.
type Input struct {
	// Now is the time of the step.
	Now time.Time
	// LatencyRatio is the 99th percentile of latency as a share of the target, of the worst service on the VM.
	LatencyRatio float64
	// Slowdown is the slowdown of requests relative to that without batch tasks, of the worst service.
	Slowdown float64
	// Loads are the batch workloads on the VM.
	Loads []Load
}

// State is the policy's state for one VM between steps; the zero value is that of a new VM.
type State struct {
	budget       float64
	slowdown     float64
	updatedAt    time.Time
	breachedAt   time.Time
	evictedAt    time.Time
	throttles    map[string]int
	batchBlocked bool
}

// Throttle returns the share of its processors, in percent, that tasks of a batch workload on the VM may use.
func (s *State) Throttle(workload string) int {
	if percent, ok := s.throttles[workload]; ok {
		return percent
	}
	return Unthrottled
}

// BlocksBatch reports whether new batch tasks are kept off the VM.
func (s *State) BlocksBatch() bool { return s.batchBlocked }

// SlackAt returns the slowdown that batch tasks may cause to a service with a ratio of latency to target, 0 if unknown.
func (p Policy) SlackAt(ratio float64) float64 {
	if ratio <= 0 {
		return p.Slack
	}
	return min(max(p.HeadroomShare*(p.SafeRatio/ratio-1), p.Slack), p.MaxSlack)
}

// Tolerance returns SlackAt as a multiple of the plain slack.
func (p Policy) Tolerance(ratio float64) float64 { return p.SlackAt(ratio) / p.Slack }

// Step updates the throttles, and reports whether one batch task is to be checkpointed and moved.
//
// The throttles keep the expected slowdown within a budget before it is measured; a measured slowdown beyond the slack
// lowers the budget.
func (p Policy) Step(s *State, in Input) bool {
	if s.updatedAt.IsZero() {
		s.budget = 1
		s.throttles = make(map[string]int)
	}
	p.Slack = p.SlackAt(in.LatencyRatio)
	predicted := p.predicted(s, in)
	s.slowdown, s.updatedAt = in.Slowdown, in.Now
	p.setBudget(s, in, predicted)
	s.batchBlocked = len(in.Loads) > 0 && (s.budget <= minBudget*2 || (in.LatencyRatio >= p.BreachRatio && predicted > p.Slack))
	p.setThrottles(s, in.Loads)
	return p.shouldEvict(s, in)
}

// predicted returns the slowdown extrapolated by its recent slope.
func (p Policy) predicted(s *State, in Input) float64 {
	elapsed := in.Now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() || elapsed <= 0 || in.Slowdown <= s.slowdown {
		return in.Slowdown
	}
	slope := (in.Slowdown - s.slowdown) / elapsed.Seconds()
	return in.Slowdown + min(slope*p.LookAhead.Seconds(), p.Slack/2)
}

func (p Policy) setBudget(s *State, in Input, predicted float64) {
	switch {
	case len(in.Loads) == 0:
		s.budget = min(s.budget*budgetIncrease, 1)
	case predicted > 2*p.Slack || (in.LatencyRatio >= p.BreachRatio && predicted > p.Slack):
		s.budget = max(s.budget*budgetDecrease, minBudget)
	case predicted <= p.Slack:
		s.budget = min(s.budget*budgetIncrease, 1)
	}
}

// setThrottles throttles the workloads with the most slowdown for their weight first, until the rest is within the
// budget.
func (p Policy) setThrottles(s *State, loads []Load) {
	ordered := slices.Clone(loads)
	slices.SortFunc(ordered, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.slowdown/float64(b.weight), a.slowdown/float64(a.weight)), cmp.Compare(a.workload, b.workload))
	})
	excess := -p.Slack * s.budget
	for _, l := range ordered {
		excess += l.slowdown
	}
	next := make(map[string]int, len(ordered))
	for _, l := range ordered {
		percent := Unthrottled
		if excess > 0 && l.slowdown > 0 {
			percent = max(int(Unthrottled*(1-excess/l.slowdown)), p.MinThrottle)
			excess -= l.slowdown * float64(Unthrottled-percent) / Unthrottled
		}
		next[l.workload] = p.limitStep(s.Throttle(l.workload), percent)
	}
	s.throttles = next
}

const minStep = 5

// limitStep raises a throttle slowly and ignores small changes.
func (p Policy) limitStep(before, wanted int) int {
	if wanted > before {
		wanted = min(wanted, before+p.RaiseStep)
	}
	if wanted != Unthrottled && wanted != p.MinThrottle && max(wanted-before, before-wanted) < minStep {
		return before
	}
	return wanted
}

// shouldEvict reports whether the slowdown persists at the lowest throttle.
func (p Policy) shouldEvict(s *State, in Input) bool {
	if len(in.Loads) == 0 || in.LatencyRatio < p.BreachRatio || in.Slowdown <= p.Slack || s.budget > minBudget {
		s.breachedAt = time.Time{}
		return false
	}
	if s.breachedAt.IsZero() {
		s.breachedAt = in.Now
	}
	if in.Now.Sub(s.breachedAt) < p.EvictAfter || (!s.evictedAt.IsZero() && in.Now.Sub(s.evictedAt) < p.Cooldown) {
		return false
	}
	s.evictedAt = in.Now
	return true
}
