package intake

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// doubtFor is how long it is remembered that a job may have been taken: far beyond the time for which callers try.
	doubtFor = time.Minute
	// mostDoubts bounds the jobs that are remembered.
	mostDoubts = 10_000
)

// doubts remembers jobs of which it is not known whether they were taken, so that no later attempt is told that they
// were not.
type doubts struct {
	mu   sync.Mutex
	jobs map[job.ID]time.Time
}

func newDoubts() *doubts { return &doubts{jobs: make(map[job.ID]time.Time)} }

// settle takes note of the outcome of an attempt and returns what the caller is told.
func (d *doubts) settle(id job.ID, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		delete(d.jobs, id)
		return nil
	case fault.Is(err, fault.OutcomeUnknown):
		d.add(id, now)
		return err
	}
	since, doubtful := d.jobs[id]
	if !doubtful || now.Sub(since) > doubtFor {
		return err
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "an earlier attempt may have been taken").WithRetryAfter(fault.RetryAfter(err))
}

func (d *doubts) add(id job.ID, now time.Time) {
	if len(d.jobs) >= mostDoubts {
		for other, since := range d.jobs {
			if now.Sub(since) > doubtFor || len(d.jobs) >= mostDoubts {
				delete(d.jobs, other)
			}
		}
	}
	d.jobs[id] = now
}
