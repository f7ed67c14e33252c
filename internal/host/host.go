package host

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Clock is a time on the worker's own steady clock, counted from its start.
type Clock time.Duration

// Refusal says why a worker did not do an order.
type Refusal int

//go:generate stringer -type=Refusal -linecomment -output=refusal_string.go

// The refusals of a worker.
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

// ParseRefusal returns the refusal of a name; an unknown name is RefusedWrong.
func ParseRefusal(name string) Refusal {
	for r := RefusedFence; r <= RefusedBusy; r++ {
		if r.String() == name {
			return r
		}
	}
	return RefusedInvalid
}

// Run is one start of a task.
type Run struct {
	Task   job.TaskID
	Number int
}

// Start orders a run.
type Start struct {
	Run        Run
	Text       string
	Until      Clock
	Fence      uint64
	Checkpoint string
	// Ticket is the permission of the service that advises the queue, empty where none does.
	Ticket string
}

// Running is a run that the worker has.
type Running struct {
	Run        Run
	Checkpoint string
	// Percent is how much of its work is done, or 100 for a lasting task that is at work.
	Percent int
	// Measurement is the tail latency in milliseconds for a task that serves, else the thousandths of a core in use.
	Measurement int
}

// EndedRun is the end of a run, numbered from 1 within an incarnation of the worker.
type EndedRun struct {
	Sequence   uint64
	Run        Run
	End        job.End
	Checkpoint string
}

// View is what a worker has and had.
type View struct {
	// Incarnation is the one that answered, which may be a later one than was called.
	Incarnation incarnation.ID
	Running     []Running
	Ended       []EndedRun
	Clock       Clock
}

// Renewal renews the time of all that runs, lets ends up to Seen go, and asks for what runs.
type Renewal struct {
	Fence        uint64
	Acknowledged uint64
	// Until is a time on the worker's clock, 0 to renew nothing.
	Until Clock
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Report is what a worker tells of itself.
type Report struct {
	Incarnation incarnation.ID
	Service     string
	Capacity    job.Size
	// Labels are the worker's kind and its rack.
	Labels   []string
	Draining bool
	// Remaining is the least time left to a draining worker.
	Remaining time.Duration
	Sequence  uint64
	Clock     Clock
}

// Worker runs tasks beside an agent.
//
// Calls reach any incarnation with the id that they name, and those of the zero ID whichever answers. Errors are of kind Stale when one with another id
// answers, Unavailable when nothing was sent, and OutcomeUnknown when the order may have been done or may still be.
type Worker interface {
	// Start starts a run; it ends at its time unless a hold renews it.
	Start(ctx context.Context, id incarnation.ID, order Start) (Refusal, error)
	// Stop ends a run; one that never started never will.
	Stop(ctx context.Context, id incarnation.ID, run Run, fence uint64) (Refusal, error)
	// Pace sets the part of the processors, in percent, that a run may use of what it asks for.
	Pace(ctx context.Context, id incarnation.ID, run Run, percent int, fence uint64) (Refusal, error)
	// LimitConnections bounds the connections that the worker is sent orders over, to what it takes at once.
	LimitConnections(connections int)
	// Renew renews what runs and returns what the worker has.
	Renew(ctx context.Context, id incarnation.ID, hold Renewal) (View, Refusal, error)
}
