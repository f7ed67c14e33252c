package job

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Limits of a job that is taken; the text is bounded by the platform's page, the rest keeps a record under its value limit.
const (
	MaxText       = 4000
	MaxSteps      = 64
	MaxTasks      = 20_000
	MaxIterations = 1000
)

// idDigits is the length of a job's name.
const idDigits = 16

// ID names a job: 16 hexadecimal digits that the caller chose.
type ID string

// Valid reports whether the name has the form of a job's.
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

// Size is what a task takes of a worker: thousandths of a core, megabytes and accelerators.
type Size struct {
	CPU    int
	Memory int
	GPU    int
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size { return Size{s.CPU + o.CPU, s.Memory + o.Memory, s.GPU + o.GPU} }

// Minus returns what is left after o is taken.
func (s Size) Minus(o Size) Size { return Size{s.CPU - o.CPU, s.Memory - o.Memory, s.GPU - o.GPU} }

// Fits reports whether the size is at most o in each part.
func (s Size) Fits(o Size) bool { return s.CPU <= o.CPU && s.Memory <= o.Memory && s.GPU <= o.GPU }

// Step is a part of a job whose tasks are alike.
type Step struct {
	// Count is the number of tasks, Size what each asks for, Estimate a rough guess of the time that each works.
	Count    int
	Size     Size
	Estimate time.Duration
	// DependsOn numbers the steps that must be done before.
	DependsOn []int
	// Checkpoints says that the tasks save their progress.
	Checkpoints bool
	// Gang says that the tasks work only together; SameRack that they are slow over several racks.
	Gang     bool
	SameRack bool
	// Requires is a label that the worker must have, Affinity the rack that holds the data; empty for none.
	Requires string
	Affinity string
	// AntiAffinity is how many tasks of the step one worker may hold, 0 for any number.
	AntiAffinity int
	// Speculative says that copies of a task may run side by side.
	Speculative bool
	// LongRunning says that the tasks run until the job is canceled.
	LongRunning bool
	// Image names what the tasks run; Target is the tail latency that a serving task is to keep, 0 for none.
	Image  string
	Target time.Duration
	// BestEffort says that the tasks take no processor room and work with what others leave unused.
	BestEffort bool
	// MaxUnavailable is how many tasks of a lasting step may be away at once by our doing.
	MaxUnavailable int
}

// Reservation returns what a task of the step takes of a worker's room.
func (s Step) Reservation() Size {
	if s.BestEffort {
		return Size{Memory: s.Size.Memory, GPU: s.Size.GPU}
	}
	return s.Size
}

// Serves reports whether the tasks serve users under a latency target.
func (s Step) Serves() bool { return s.Target > 0 }

// Spec is a job as it was handed in.
type Spec struct {
	// Text is passed to the worker with each start.
	Text  string
	Steps []Step
	// Iterations is how often the steps run, 0 for once at once; time K is due at Start plus K times Interval.
	Iterations int
	Start      time.Time
	Interval   time.Duration
}

// Check returns why the job cannot be taken, nil where it can.
func (s Spec) Check() error {
	switch {
	case len(s.Text) > MaxText:
		return fault.New(fault.BadInput, "the text has %d bytes; at most %d are taken", len(s.Text), MaxText)
	case len(s.Steps) == 0:
		return fault.New(fault.BadInput, "the job has no steps")
	case len(s.Steps) > MaxSteps:
		return fault.New(fault.BadInput, "the job has %d steps; at most %d are taken", len(s.Steps), MaxSteps)
	case s.Iterations < 0 || s.Iterations > MaxIterations:
		return fault.New(fault.BadInput, "the job repeats %d times; 0 to %d are taken", s.Iterations, MaxIterations)
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
		return fault.New(fault.BadInput, "the job has %d tasks; at most %d are taken", tasks*max(s.Iterations, 1), MaxTasks)
	}
	return nil
}

func checkStep(n int, s Step) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fault.New(fault.BadInput, "step %d has %d tasks; 1 to %d are taken", n, s.Count, MaxTasks)
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

// CriticalPath returns the longest time that steps which depend on each other need in order, by their estimates.
func (s Spec) CriticalPath() time.Duration {
	return s.longest(func(step int) time.Duration { return s.Steps[step].Estimate })
}

// longest returns the longest time that steps which depend on each other need in order, by what each takes.
func (s Spec) longest(takes func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for n, step := range s.Steps {
		var before time.Duration
		for _, d := range step.DependsOn {
			before = max(before, ends[d])
		}
		ends[n] = before + takes(n)
		longest = max(longest, ends[n])
	}
	return longest
}
