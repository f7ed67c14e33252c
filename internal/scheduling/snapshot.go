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

// Worker is the planner's view of one worker of the cell.
type Worker struct {
	instance     string
	capacity     resource.Vector
	rack         int
	closed       placement.Reason
	batchBlocked bool
	tolerance    float64
	bands        map[string]interference.Band
}

// NewWorker returns a worker that accepts all kinds of tasks.
func NewWorker(instance string, capacity resource.Vector, rack int) Worker {
	return Worker{instance: instance, capacity: capacity, rack: rack, tolerance: 1}
}

// WithClosed returns the worker closed for a reason; Chosen leaves it open.
func (w Worker) WithClosed(reason placement.Reason) Worker { w.closed = reason; return w }

// WithBatchBlocked returns the worker with new batch tasks blocked or allowed.
func (w Worker) WithBatchBlocked(batchBlocked bool) Worker { w.batchBlocked = batchBlocked; return w }

// WithTolerance returns the worker with a factor on the accepted interference, above 1 if its services are far from
// their latency targets.
func (w Worker) WithTolerance(tolerance float64) Worker { w.tolerance = tolerance; return w }

// WithBands returns the worker with the load band of each service on it.
func (w Worker) WithBands(bands map[string]interference.Band) Worker { w.bands = bands; return w }

// Instance returns the VM instance.
func (w Worker) Instance() string { return w.instance }

// Capacity returns the capacity of the VM.
func (w Worker) Capacity() resource.Vector { return w.capacity }

// Snapshot is the input of a plan apart from the document.
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

// Options disable parts of the plan, so that a simulation can measure their effect; the zero value enables all.
type Options struct {
	NoSizing        bool
	NoInterference  bool
	NoFairness      bool
	NoBatchBlocking bool
	// ServicesOnly leaves batch tasks unplaced.
	ServicesOnly bool
}

// Share is the cell's share of the region's workers.
type Share struct {
	preceding int
	own       int
	all       int
}

// NewShare returns the share of a cell from the numbers of workers in the preceding cells, in the cell itself and in
// all cells.
func NewShare(preceding, own, all int) Share {
	return Share{preceding: preceding, own: own, all: max(all, 1)}
}

// FullShare returns the share of a cell that is alone in its region.
func FullShare() Share { return Share{own: 1, all: 1} }

// Of returns the cell's part of a whole number; the parts of all cells add up to the number.
func (s Share) Of(total int) int {
	return total*(s.preceding+s.own)/s.all - total*s.preceding/s.all
}

// Quota returns the cell's part of a quota; 0 remains unlimited.
func (s Share) Quota(quota resource.Vector) resource.Vector {
	return resource.New(s.quotaPart(quota.Processors()), s.quotaPart(quota.Memory()), s.quotaPart(quota.Accelerators()))
}

func (s Share) quotaPart(quota int64) int64 {
	if quota == 0 {
		return 0
	}
	return max((quota*int64(s.own)+int64(s.all)-1)/int64(s.all), 1)
}

// NewSnapshot returns a snapshot with the table, the workers and the cell's share of the region.
func NewSnapshot(now time.Time, t table.Table, workers []Worker, share Share) Snapshot {
	return Snapshot{
		now: now, table: t, workers: workers, share: share,
		model: interference.New(), weights: placement.DefaultWeights(),
	}
}

// WithEstimates returns the snapshot with the learned size estimates, by workload.
func (s Snapshot) WithEstimates(estimates map[string]*sizing.Estimate) Snapshot {
	s.estimates = estimates
	return s
}

// WithModel returns the snapshot with the learned interference.
func (s Snapshot) WithModel(model *interference.Model) Snapshot { s.model = model; return s }

// WithNotBefore returns the snapshot with the earliest next start of failed tasks.
func (s Snapshot) WithNotBefore(notBefore map[task.ID]time.Time) Snapshot {
	s.notBefore = notBefore
	return s
}

// WithWeights returns the snapshot with other placement weights.
func (s Snapshot) WithWeights(weights placement.Weights) Snapshot { s.weights = weights; return s }

// WithOptions returns the snapshot with parts of the plan disabled.
func (s Snapshot) WithOptions(options Options) Snapshot { s.options = options; return s }

// Size returns the size that is reserved for a task of a workload.
func (s Snapshot) Size(r table.Row) resource.Vector {
	estimate, ok := s.estimates[r.Workload()]
	if !ok || s.options.NoSizing || r.Kind() != table.Batch {
		return r.Size()
	}
	return estimate.Size(r.Size())
}

// FitsEmptyWorker reports whether an empty worker of the cell could run a task of a size.
func FitsEmptyWorker(size resource.Vector, workers []Worker) bool {
	for _, w := range workers {
		if size.Fits(w.capacity) {
			return true
		}
	}
	return false
}
