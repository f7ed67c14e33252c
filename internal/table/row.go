package table

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a row.
type Kind int

// The kinds of rows.
const (
	Service Kind = iota // service
	Batch               // batch
	Team                // team
)

// Row is one row of the table.
type Row struct {
	workload    string
	kind        Kind
	team        string
	weight      int
	size        resource.Vector
	replicas    int
	target      time.Duration
	deadline    time.Duration
	runtime     time.Duration
	concurrency int
	queue       int
	retryBudget int
	attempts    int
	evictions   int
	urgent      bool
}

// Workload returns the name of the workload, or of the team in a team's row.
func (r Row) Workload() string { return r.workload }

// Kind returns the kind of the row.
func (r Row) Kind() Kind { return r.kind }

// Team returns the team that the workload belongs to.
func (r Row) Team() string { return r.team }

// Weight returns the weight, 1 to 1000, of the workload or the team relative to others.
func (r Row) Weight() int { return r.weight }

// Size returns the declared size of one task, or the quota of a team in the region; a quota of 0 is no limit.
func (r Row) Size() resource.Vector { return r.size }

// Replicas returns the number of replicas of a service in the region.
func (r Row) Replicas() int { return r.replicas }

// Target returns the latency target for 99 of 100 requests to a service.
func (r Row) Target() time.Duration { return r.target }

// Deadline returns the deadline of a job, counted from its submission.
func (r Row) Deadline() time.Duration { return r.deadline }

// Runtime returns the declared run time of one task.
func (r Row) Runtime() time.Duration { return r.runtime }

// Concurrency returns how many requests a replica runs at once, or how many tasks of a batch workload a cell runs at once.
func (r Row) Concurrency() int { return r.concurrency }

// Queue returns how many requests may wait at a replica.
func (r Row) Queue() int { return r.queue }

// RetryBudget returns the limit of the retries that entries send, in percent of the requests.
func (r Row) RetryBudget() int { return r.retryBudget }

// Attempts returns how often a task may fail before its job counts it as failed.
func (r Row) Attempts() int { return r.attempts }

// Evictions returns how often a task may be evicted; 0 is never.
func (r Row) Evictions() int { return r.evictions }

// IsUrgent reports whether tasks of the workload start before all others.
func (r Row) IsUrgent() bool { return r.urgent }
