package host

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Clock is a time on the worker's monotonic clock, which counts from the start of the worker.
type Clock time.Duration

// Refusal is a worker's answer to an order: accepted, or why it was refused.
type Refusal int

//go:generate stringer -type=Refusal -linecomment -output=refusal_string.go

// The answers of a worker to an order.
const (
	Accepted        Refusal = iota // accepted
	RefusedFence                   // fence
	RefusedOld                     // old
	RefusedLate                    // late
	RefusedCapacity                // room
	RefusedTicket                  // ticket
	RefusedInvalid                 // wrong
	RefusedBusy                    // busy
)

// ParseRefusal returns the refusal with a name; an unknown name is RefusedInvalid.
func ParseRefusal(name string) Refusal {
	for refusal := RefusedFence; refusal <= RefusedBusy; refusal++ {
		if refusal.String() == name {
			return refusal
		}
	}
	return RefusedInvalid
}

// Run identifies one start of a task.
type Run struct {
	Task   job.TaskID
	Number int
}

// Start is the order to start a run.
type Start struct {
	Run        Run
	Text       string
	Until      Clock
	Fence      uint64
	Checkpoint string
	// Ticket is the permit of the queue's advisory service for this start, empty for a queue without one.
	Ticket string
}

// Running is the state of a run that has not ended.
type Running struct {
	Run        Run
	Checkpoint string
	// Percent is the share of the work done, or 100 for a long-running task that has started up.
	Percent int
	// Measurement is the tail latency in milliseconds of a serving task, or the thousandths of a core in use by any other task.
	Measurement int
}

// EndedRun is the end of a run; ends are numbered from 1 within an incarnation of the worker.
type EndedRun struct {
	Sequence   uint64
	Run        Run
	End        job.End
	Checkpoint string
}

// View is a worker's answer to a renewal: the runs in progress, and the ended runs that are not acknowledged yet.
type View struct {
	// Incarnation is the incarnation that answered, which may be newer than the one addressed.
	Incarnation incarnation.ID
	Running     []Running
	Ended       []EndedRun
	// MoreEnds reports whether the worker may have ended runs beyond those in Ended; it lists them once these are acknowledged.
	MoreEnds bool
	Clock    Clock
}

// Renewal extends the leases of all runs of a worker, acknowledges its ended runs up to a sequence number and requests its View.
type Renewal struct {
	Fence        uint64
	Acknowledged uint64
	// Until is the new lease end on the worker's clock, 0 to extend no lease.
	Until Clock
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Report is a worker's description of itself.
type Report struct {
	Incarnation incarnation.ID
	Service     string
	Capacity    job.Size
	// Labels are the worker's kind and its rack.
	Labels   []string
	Draining bool
	// Remaining is the minimum time until a draining worker stops.
	Remaining time.Duration
	Sequence  uint64
	Clock     Clock
}

// Worker runs tasks on the agent's VM.
//
// A call reaches any incarnation with the given worker identifier, or with the zero ID any worker that answers. Errors are of kind Stale
// if a worker with another identifier answers, Unavailable if nothing was sent, and OutcomeUnknown if the order may have been carried out or may still be.
type Worker interface {
	// Start starts a run, which ends at the end of its lease unless Renew extends it.
	Start(ctx context.Context, id incarnation.ID, order Start) (Refusal, error)
	// Stop ends a run; a run that has not started yet never starts.
	Stop(ctx context.Context, id incarnation.ID, run Run, fence uint64) (Refusal, error)
	// Pace limits a run to a percentage of the processors that it requested.
	Pace(ctx context.Context, id incarnation.ID, run Run, percent int, fence uint64) (Refusal, error)
	// LimitConnections sets the maximum number of connections for orders, which is what the worker accepts at once.
	LimitConnections(connections int)
	// Renew extends the leases of all runs and returns the worker's View.
	Renew(ctx context.Context, id incarnation.ID, renewal Renewal) (View, Refusal, error)
}
