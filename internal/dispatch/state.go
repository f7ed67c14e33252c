package dispatch

import (
	"context"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// JobState returns the state of a job as it is committed, false where this entry does not lead or cannot tell.
//
// Callers often ask in the moment in which the last task has ended, some milliseconds before that is committed: the answer waits for the commit, so
// that they need not ask again.
func (d *Dispatcher) JobState(id job.ID) (job.State, bool) {
	t := d.term.Load()
	if t == nil {
		return job.Queued, false
	}
	return t.jobState(id)
}

func (d *Dispatcher) state(_ context.Context, _ *rpc.Peer, r link.JobState) (link.JobStateAnswer, error) {
	state, known := d.JobState(job.ID(r.Job))
	return link.JobStateAnswer{Known: known, State: int(state)}, nil
}

// jobState returns the state that a job has now, once it is committed.
func (t *term) jobState(id job.ID) (job.State, bool) {
	t.mu.Lock()
	known := t.jobs[id]
	if known == nil || t.verificationAge() > staleVerificationAfter {
		t.mu.Unlock()
		return job.Queued, false
	}
	state, needed := known.job.State(), map[*trackedJob]uint64{known: known.version}
	t.mu.Unlock()
	return state, t.awaitSaved(needed)
}
