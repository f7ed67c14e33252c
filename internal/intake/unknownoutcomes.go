package intake

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// unknownRetention is how long a job of unknown outcome is kept, far longer than callers retry.
	unknownRetention = time.Minute
	// maxUnknownJobs bounds the number of these jobs.
	maxUnknownJobs = 10_000
)

// unknownJobs holds the jobs whose submission has an unknown outcome, so that no later attempt is reported as not accepted.
type unknownJobs struct {
	mu   sync.Mutex
	jobs map[job.ID]time.Time
}

func newUnknownJobs() *unknownJobs { return &unknownJobs{jobs: make(map[job.ID]time.Time)} }

// resolve records the outcome of an attempt and returns the error to report to the caller.
func (u *unknownJobs) resolve(id job.ID, err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil || fault.Is(err, fault.Gone):
		delete(u.jobs, id)
		return err
	case fault.Is(err, fault.OutcomeUnknown):
		u.add(id, now)
		return err
	}
	since, isUnknown := u.jobs[id]
	if !isUnknown || now.Sub(since) > unknownRetention {
		return err
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "an earlier attempt may have been accepted").WithRetryAfter(fault.RetryAfter(err))
}

func (u *unknownJobs) add(id job.ID, now time.Time) {
	if len(u.jobs) >= maxUnknownJobs {
		for other, since := range u.jobs {
			if now.Sub(since) > unknownRetention || len(u.jobs) >= maxUnknownJobs {
				delete(u.jobs, other)
			}
		}
	}
	u.jobs[id] = now
}
