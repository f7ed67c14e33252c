package remedy

import (
	"cmp"
	"slices"
	"time"
)

// Policy holds the thresholds and the waits between steps.
type Policy struct {
	// Slack is the slowdown of services that batch tasks may cause in any case.
	Slack float64
	// SafeRatio is the share of its target that a service is kept under, Use the part of the headroom to it that batch
	// tasks may use beyond the slack, and Most bounds that.
	SafeRatio     float64
	HeadroomShare float64
	MaxSlack      float64
	// BreachRatio is the share of its target at which a service is in trouble.
	BreachRatio float64
	// LookAhead is how far ahead a slowdown that grows is reckoned with, since measurements lag.
	LookAhead time.Duration
	// MinThrottle is the least throttle, in percent.
	MinThrottle int
	// RaiseStep is by how many percent a throttle is loosened in a step.
	RaiseStep int
	// EvictAfter is how long a slowdown must outlast the tightest throttle before a task is evicted.
	EvictAfter time.Duration
	// Cooldown is how long after an eviction the next may be.
	Cooldown time.Duration
}

// DefaultPolicy is the policy by which the simulated days of proving/decision were measured.
func DefaultPolicy() Policy {
	return Policy{
		Slack: 0.09, SafeRatio: 0.8, HeadroomShare: 0.15, MaxSlack: 1, BreachRatio: 0.9, LookAhead: 2 * time.Second, MinThrottle: 10, RaiseStep: 20,
		EvictAfter: 30 * time.Second, Cooldown: 2 * time.Minute,
	}
}

// Unthrottled is the throttle, in percent of its processors, of a task that is not throttled.
const Unthrottled = 100

const (
	tightestBudget = 0.1
	budgetCut      = 0.7
	budgetRise     = 1.05
)

// Load is a batch workload on the VM with the slowdown that it is believed to cause at full speed.
type Load struct {
	workload string
	harm     float64
	weight   int
}

// NewLoad returns a load; the weight is that of the workload's row.
func NewLoad(workload string, harm float64, weight int) Load {
	return Load{workload: workload, harm: harm, weight: max(weight, 1)}
}

// Workload returns the batch workload.
func (l Load) Workload() string { return l.workload }

// Input is what a step looks at.
type Input struct {
	// Now is the moment of the step.
	Now time.Time
	// LatencyRatio is the latency of 99 of 100 requests as a share of the target, of the worst service on the VM.
	LatencyRatio float64
	// Slowdown is how much slower requests run than beside no batch task, of the worst service.
	Slowdown float64
	// Loads are the batch workloads on the VM.
	Loads []Load
}

// State is what the policy remembers of one VM between steps; the zero value is a VM that was never looked at.
type State struct {
	budget    float64
	slowdown  float64
	looked    time.Time
	breached  time.Time
	evicted   time.Time
	throttles map[string]int
	pressed   bool
}

// Throttle returns the share of its processors, in percent, that tasks of a batch workload on the VM may use.
func (s *State) Throttle(workload string) int {
	if percent, ok := s.throttles[workload]; ok {
		return percent
	}
	return Unthrottled
}

// BlocksBatch reports whether new batch tasks are kept off the VM.
func (s *State) BlocksBatch() bool { return s.pressed }

// SlackAt returns the slowdown that batch tasks may cause to a service at a share of its target, 0 for not known.
func (p Policy) SlackAt(ratio float64) float64 {
	if ratio <= 0 {
		return p.Slack
	}
	return min(max(p.HeadroomShare*(p.SafeRatio/ratio-1), p.Slack), p.MaxSlack)
}

// Tolerance returns how much more a service at a share of its target bears than the plain slack, 1 for the same.
func (p Policy) Tolerance(ratio float64) float64 { return p.SlackAt(ratio) / p.Slack }

// Step works out the throttles, and reports whether one batch task is to be checkpointed and moved.
//
// The believed harm is kept within the slack before it is felt, and what is felt beyond it tightens that budget.
func (p Policy) Step(s *State, in Input) bool {
	if s.looked.IsZero() {
		s.budget = 1
		s.throttles = make(map[string]int)
	}
	p.Slack = p.SlackAt(in.LatencyRatio)
	ahead := p.ahead(s, in)
	s.slowdown, s.looked = in.Slowdown, in.Now
	p.setBudget(s, in, ahead)
	s.pressed = len(in.Loads) > 0 && (s.budget <= tightestBudget*2 || (in.LatencyRatio >= p.BreachRatio && ahead > p.Slack))
	p.setThrottles(s, in.Loads)
	return p.evicts(s, in)
}

// ahead is where the slowdown will be at its recent slope.
func (p Policy) ahead(s *State, in Input) float64 {
	elapsed := in.Now.Sub(s.looked)
	if s.looked.IsZero() || elapsed <= 0 || in.Slowdown <= s.slowdown {
		return in.Slowdown
	}
	slope := (in.Slowdown - s.slowdown) / elapsed.Seconds()
	return in.Slowdown + min(slope*p.LookAhead.Seconds(), p.Slack/2)
}

func (p Policy) setBudget(s *State, in Input, ahead float64) {
	switch {
	case len(in.Loads) == 0:
		s.budget = min(s.budget*budgetRise, 1)
	case ahead > 2*p.Slack || (in.LatencyRatio >= p.BreachRatio && ahead > p.Slack):
		s.budget = max(s.budget*budgetCut, tightestBudget)
	case ahead <= p.Slack:
		s.budget = min(s.budget*budgetRise, 1)
	}
}

// setThrottles throttles the workloads that harm most for their weight first, until what is left is within the budget.
func (p Policy) setThrottles(s *State, loads []Load) {
	ordered := slices.Clone(loads)
	slices.SortFunc(ordered, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.harm/float64(b.weight), a.harm/float64(a.weight)), cmp.Compare(a.workload, b.workload))
	})
	over := -p.Slack * s.budget
	for _, l := range ordered {
		over += l.harm
	}
	next := make(map[string]int, len(ordered))
	for _, l := range ordered {
		percent := Unthrottled
		if over > 0 && l.harm > 0 {
			percent = max(int(Unthrottled*(1-over/l.harm)), p.MinThrottle)
			over -= l.harm * float64(Unthrottled-percent) / Unthrottled
		}
		next[l.workload] = p.limitStep(s.Throttle(l.workload), percent)
	}
	s.throttles = next
}

const smallestStep = 5

// limitStep loosens a throttle slowly and leaves it where the change is small.
func (p Policy) limitStep(before, wanted int) int {
	if wanted > before {
		wanted = min(wanted, before+p.RaiseStep)
	}
	if wanted != Unthrottled && wanted != p.MinThrottle && max(wanted-before, before-wanted) < smallestStep {
		return before
	}
	return wanted
}

// evicts reports whether the slowdown outlasts the tightest throttle.
func (p Policy) evicts(s *State, in Input) bool {
	if len(in.Loads) == 0 || in.LatencyRatio < p.BreachRatio || in.Slowdown <= p.Slack || s.budget > tightestBudget {
		s.breached = time.Time{}
		return false
	}
	if s.breached.IsZero() {
		s.breached = in.Now
	}
	if in.Now.Sub(s.breached) < p.EvictAfter || (!s.evicted.IsZero() && in.Now.Sub(s.evicted) < p.Cooldown) {
		return false
	}
	s.evicted = in.Now
	return true
}
