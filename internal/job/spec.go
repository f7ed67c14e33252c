package job

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Limits of an accepted job: the platform's specification limits the text; the others keep a record below the store's value limit.
const (
	MaxText       = 4000
	MaxSteps      = 64
	MaxTasks      = 20_000
	MaxIterations = 1000
)

// idDigits is the length of a job identifier.
const idDigits = 16

// ID identifies a job by 16 hexadecimal digits chosen by the caller.
type ID string

// Valid reports whether the identifier has the form of a job identifier.
func (i ID) Valid() bool {
	if len(i) != idDigits {
		return false
	}
	for _, c := range i {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Size is an amount of worker resources in thousandths of a core, megabytes and accelerators.
type Size struct {
	CPU    int
	Memory int
	GPU    int
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size { return Size{s.CPU + o.CPU, s.Memory + o.Memory, s.GPU + o.GPU} }

// Minus returns the difference of two sizes.
func (s Size) Minus(o Size) Size { return Size{s.CPU - o.CPU, s.Memory - o.Memory, s.GPU - o.GPU} }

// Fits reports whether the size is at most o in each resource.
func (s Size) Fits(o Size) bool { return s.CPU <= o.CPU && s.Memory <= o.Memory && s.GPU <= o.GPU }

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks; Size is the request of each task, Estimate its estimated runtime.
	Count    int
	Size     Size
	Estimate time.Duration
	// DependsOn are the indexes of the steps that must be done first.
	DependsOn []int
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool
	// Gang is set if the tasks run only all together; SameRack if they are slow when spread over several racks.
	Gang     bool
	SameRack bool
	// Requires is a label that the worker must have, Affinity the rack that holds the data; both are empty for none.
	Requires string
	Affinity string
	// AntiAffinity is the maximum number of the step's tasks on one worker, 0 for no limit.
	AntiAffinity int
	// Speculative is set if several copies of a task may run at the same time.
	Speculative bool
	// LongRunning is set if the tasks run until the job is canceled.
	LongRunning bool
	// Image is the program that the tasks run; Target is the tail latency target of a serving task, 0 for none.
	Image  string
	Target time.Duration
	// BestEffort is set if the tasks reserve no processors and use what other tasks leave unused.
	BestEffort bool
	// MaxUnavailable is how many tasks of a long-running step the scheduler may interrupt at the same time.
	MaxUnavailable int
}

// Reservation returns the worker capacity that a task of the step reserves.
func (s Step) Reservation() Size {
	if s.BestEffort {
		return Size{Memory: s.Size.Memory, GPU: s.Size.GPU}
	}
	return s.Size
}

// IsShort reports whether the tasks are short work: they end by themselves and reserve processors.
func (s Step) IsShort() bool { return !s.LongRunning && !s.BestEffort }

// Serves reports whether the tasks serve requests under a latency target.
func (s Step) Serves() bool { return s.Target > 0 }

// Spec is a job as it was submitted.
type Spec struct {
	// Text is passed to the worker with each start.
	Text  string
	Steps []Step
	// Iterations is how often the steps run, 0 for once immediately; iteration k is due at Start plus k times Interval.
	Iterations int
	Start      time.Time
	Interval   time.Duration
}

// Check returns an error if the job cannot be accepted.
func (s Spec) Check() error {
	switch {
	case len(s.Text) > MaxText:
		return fault.New(fault.BadInput, "the text has %d bytes; at most %d are allowed", len(s.Text), MaxText)
	case len(s.Steps) == 0:
		return fault.New(fault.BadInput, "the job has no steps")
	case len(s.Steps) > MaxSteps:
		return fault.New(fault.BadInput, "the job has %d steps; at most %d are allowed", len(s.Steps), MaxSteps)
	case s.Iterations < 0 || s.Iterations > MaxIterations:
		return fault.New(fault.BadInput, "the job repeats %d times; 0 to %d are allowed", s.Iterations, MaxIterations)
	case s.Iterations > 1 && s.Interval < 0:
		return fault.New(fault.BadInput, "the interval of a repeated job is negative")
	}
	tasks := 0
	for n, step := range s.Steps {
		if err := checkStep(n, step); err != nil {
			return err
		}
		tasks += step.Count
	}
	if tasks*max(s.Iterations, 1) > MaxTasks {
		return fault.New(fault.BadInput, "the job has %d tasks; at most %d are allowed", tasks*max(s.Iterations, 1), MaxTasks)
	}
	return nil
}

func checkStep(n int, s Step) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fault.New(fault.BadInput, "step %d has %d tasks; 1 to %d are allowed", n, s.Count, MaxTasks)
	}
	if s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.GPU < 0 || s.AntiAffinity < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.Target < 0 {
		return fault.New(fault.BadInput, "step %d has a negative number", n)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= n {
			return fault.New(fault.BadInput, "step %d depends on step %d, which is not before it", n, d)
		}
	}
	return nil
}

// CriticalPath returns the length of the longest dependency path through the steps, by their estimates.
func (s *Spec) CriticalPath() time.Duration { return s.longest(s.Estimate) }

// Estimate returns the estimated run time of the tasks of a step.
func (s *Spec) Estimate(step int) time.Duration { return s.Steps[step].Estimate }

// longest returns the length of the longest dependency path through the steps with the given step durations.
func (s *Spec) longest(duration func(step int) time.Duration) time.Duration {
	finish := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for n, step := range s.Steps {
		var start time.Duration
		for _, d := range step.DependsOn {
			start = max(start, finish[d])
		}
		finish[n] = start + duration(n)
		longest = max(longest, finish[n])
	}
	return longest
}
