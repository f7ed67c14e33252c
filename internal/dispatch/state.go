package dispatch

import (
	"context"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// JobState returns the committed state of a job, false if this entry does not lead or cannot confirm the state.
//
// Callers often ask just after the last task has ended, some milliseconds before that is committed: the answer waits for the commit so that
// they need not ask again.
func (d *Dispatcher) JobState(id job.ID) (job.State, bool) {
	t := d.term.Load()
	if t == nil {
		return job.Queued, false
	}
	return t.jobState(id)
}

func (d *Dispatcher) state(_ context.Context, _ *rpc.Peer, r link.JobStateRequest) (link.JobStateAnswer, error) {
	state, known := d.JobState(job.ID(r.Job))
	return link.JobStateAnswer{Known: known, State: int(state)}, nil
}

// jobState returns the current state of a job once it is committed, false if it is not within commitWaitTimeout.
func (t *term) jobState(id job.ID) (job.State, bool) {
	t.mu.Lock()
	tracked := t.jobs[id]
	if tracked == nil || t.verificationAge() > staleVerificationAfter {
		t.mu.Unlock()
		return job.Queued, false
	}
	state, required := tracked.job.State(), map[*trackedJob]uint64{tracked: tracked.version}
	t.mu.Unlock()
	return state, t.awaitSaved(required)
}
