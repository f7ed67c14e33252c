package scheduling

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/sizing"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// Worker is what a plan knows of one worker of the cell.
type Worker struct {
	instance string
	capacity resource.Vector
	rack     int
	closed   placement.Reason
	pressed  bool
	bears    float64
	bands    map[string]interference.Band
}

// NewWorker returns a worker that takes all kinds of tasks.
func NewWorker(instance string, capacity resource.Vector, rack int) Worker {
	return Worker{instance: instance, capacity: capacity, rack: rack, bears: 1}
}

// WithClosed returns the worker closed for a reason; Chosen leaves it open.
func (w Worker) WithClosed(reason placement.Reason) Worker { w.closed = reason; return w }

// WithBatchBlocked returns the worker with or without room for batch tasks beside its services.
func (w Worker) WithBatchBlocked(pressed bool) Worker { w.pressed = pressed; return w }

// WithTolerance returns the worker whose services bear a number of times the plain harm, since they are far from their
// targets.
func (w Worker) WithTolerance(times float64) Worker { w.bears = times; return w }

// WithBands returns the worker with the load band of each service on it.
func (w Worker) WithBands(bands map[string]interference.Band) Worker { w.bands = bands; return w }

// Instance returns the VM instance.
func (w Worker) Instance() string { return w.instance }

// Capacity returns what the VM has.
func (w Worker) Capacity() resource.Vector { return w.capacity }

// Snapshot is all that a plan sees besides the document.
type Snapshot struct {
	now       time.Time
	table     table.Table
	workers   []Worker
	share     Share
	estimates map[string]*sizing.Estimate
	model     *interference.Model
	weights   placement.Weights
	notBefore map[task.ID]time.Time
	options   Options
}

// Options turn parts of the plan off, so that a simulation can show what each is worth; the zero value has all on.
type Options struct {
	NoSizing       bool
	NoInterference bool
	NoFairness     bool
	NoPressure     bool
	// ServicesOnly leaves the batch tasks to somebody else.
	ServicesOnly bool
}

// Share is the part of the region that the cell is.
type Share struct {
	before int
	own    int
	all    int
}

// NewShare returns the share of a cell with its own workers, those of the cells before it in order, and those of all.
func NewShare(before, own, all int) Share {
	return Share{before: before, own: own, all: max(all, 1)}
}

// FullShare returns the share of a cell that is alone in its region.
func FullShare() Share { return Share{own: 1, all: 1} }

// Of returns the part of a whole number that falls to the cell; the parts of all cells make the number.
func (s Share) Of(total int) int {
	return total*(s.before+s.own)/s.all - total*s.before/s.all
}

// Quota returns the part of a quota that falls to the cell; no limit stays none.
func (s Share) Quota(quota resource.Vector) resource.Vector {
	return resource.New(s.part(quota.Processors()), s.part(quota.Memory()), s.part(quota.Accelerators()))
}

func (s Share) part(quota int64) int64 {
	if quota == 0 {
		return 0
	}
	return max((quota*int64(s.own)+int64(s.all)-1)/int64(s.all), 1)
}

// NewSnapshot returns a snapshot of a moment with the table, the workers and the cell's share of the region.
func NewSnapshot(now time.Time, t table.Table, workers []Worker, share Share) Snapshot {
	return Snapshot{
		now: now, table: t, workers: workers, share: share,
		model: interference.New(), weights: placement.DefaultWeights(),
	}
}

// WithEstimates returns the snapshot with what was learned of sizes, by workload.
func (s Snapshot) WithEstimates(estimates map[string]*sizing.Estimate) Snapshot {
	s.estimates = estimates
	return s
}

// WithModel returns the snapshot with what was learned of interference.
func (s Snapshot) WithModel(model *interference.Model) Snapshot { s.model = model; return s }

// WithNotBefore returns the snapshot with the earliest next start of tasks that failed.
func (s Snapshot) WithNotBefore(notBefore map[task.ID]time.Time) Snapshot {
	s.notBefore = notBefore
	return s
}

// WithWeights returns the snapshot with other weights of placement.
func (s Snapshot) WithWeights(weights placement.Weights) Snapshot { s.weights = weights; return s }

// WithOptions returns the snapshot with parts of the plan turned off.
func (s Snapshot) WithOptions(options Options) Snapshot { s.options = options; return s }

// Size returns the size that a task of a workload is given.
func (s Snapshot) Size(r table.Row) resource.Vector {
	estimate, ok := s.estimates[r.Workload()]
	if !ok || s.options.NoSizing || r.Kind() != table.Batch {
		return r.Size()
	}
	return estimate.Size(r.Size())
}

// FitsEmptyWorker reports whether a worker of the cell, taken empty, could run a task of a size.
func FitsEmptyWorker(size resource.Vector, workers []Worker) bool {
	for _, w := range workers {
		if size.Fits(w.capacity) {
			return true
		}
	}
	return false
}
