package job

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// storedJob is the immutable record of an accepted job in the store.
type storedJob struct {
	_          struct{} `cbor:",toarray"`
	Text       string
	Steps      []storedStep
	Iterations int
	Start      int64
	Interval   int64
	Queue      storedQueue
	Accepted   int64
}

type storedStep struct {
	_              struct{} `cbor:",toarray"`
	Count          int
	CPU            int
	Memory         int
	GPU            int
	Estimate       int64
	DependsOn      []int
	Flags          uint
	Requires       string
	Affinity       string
	AntiAffinity   int
	Image          string
	Target         int64
	MaxUnavailable int
}

type storedQueue struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Service  string
	Priority int
	Attempts int
	Stretch  float64
	Target   int64
	Advised  bool
}

const (
	flagCheckpoints = 1 << iota
	flagGang
	flagSameRack
	flagSpeculative
	flagLongRunning
	flagBestEffort
)

// Encode returns the stored form of an accepted job.
func Encode(spec Spec, queue Queue, accepted time.Time) ([]byte, error) {
	stored := storedJob{
		Text: spec.Text, Iterations: spec.Iterations, Interval: spec.Interval.Milliseconds(), Accepted: accepted.UnixMilli(),
		Queue: storedQueue{
			Name: queue.Name, Service: queue.Service, Priority: queue.Priority, Attempts: queue.Attempts,
			Stretch: queue.Stretch, Target: queue.Target.Milliseconds(), Advised: queue.Advised,
		},
	}
	if spec.Iterations > 0 {
		stored.Start = spec.Start.UnixMilli()
	}
	for _, s := range spec.Steps {
		stored.Steps = append(stored.Steps, storedStep{
			Count: s.Count, CPU: s.Size.CPU, Memory: s.Size.Memory, GPU: s.Size.GPU, Estimate: s.Estimate.Milliseconds(),
			DependsOn: s.DependsOn, Flags: encodeFlags(s), Requires: s.Requires, Affinity: s.Affinity,
			AntiAffinity: s.AntiAffinity, Image: s.Image, Target: s.Target.Microseconds(), MaxUnavailable: s.MaxUnavailable,
		})
	}
	return cbor.Marshal(stored)
}

func encodeFlags(s Step) uint {
	var flags uint
	for flag, set := range map[uint]bool{
		flagCheckpoints: s.Checkpoints, flagGang: s.Gang, flagSameRack: s.SameRack,
		flagSpeculative: s.Speculative, flagLongRunning: s.LongRunning, flagBestEffort: s.BestEffort,
	} {
		if set {
			flags |= flag
		}
	}
	return flags
}

// Decode returns a stored job of which no task was placed yet.
func Decode(id ID, data []byte) (*Job, error) {
	var stored storedJob
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the record of job "+string(id)+" cannot be read")
	}
	spec := Spec{Text: stored.Text, Iterations: stored.Iterations, Interval: millis(stored.Interval)}
	if stored.Iterations > 0 {
		spec.Start = time.UnixMilli(stored.Start)
	}
	for _, s := range stored.Steps {
		spec.Steps = append(spec.Steps, Step{
			Count: s.Count, Size: Size{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}, Estimate: millis(s.Estimate),
			DependsOn: s.DependsOn, Checkpoints: s.Flags&flagCheckpoints != 0, Gang: s.Flags&flagGang != 0,
			SameRack: s.Flags&flagSameRack != 0, Speculative: s.Flags&flagSpeculative != 0,
			LongRunning: s.Flags&flagLongRunning != 0, BestEffort: s.Flags&flagBestEffort != 0, Requires: s.Requires,
			Affinity: s.Affinity, AntiAffinity: s.AntiAffinity, Image: s.Image, Target: time.Duration(s.Target) * time.Microsecond, MaxUnavailable: s.MaxUnavailable,
		})
	}
	if err := spec.Check(); err != nil {
		// Task counts beyond the limits of accepted jobs would crash a leader that allocates the tasks.
		return nil, fault.Wrap(err, fault.Internal, "the record of job "+string(id)+" is not that of an accepted job")
	}
	q := stored.Queue
	queue := Queue{
		Name: q.Name, Service: q.Service, Priority: q.Priority, Attempts: q.Attempts,
		Stretch: q.Stretch, Target: millis(q.Target), Advised: q.Advised,
	}
	return New(id, spec, queue, time.UnixMilli(stored.Accepted)), nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
