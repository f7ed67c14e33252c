package health

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// firstPause is how long an ejected worker takes no task, maxPause bounds the pause after failed trials: bad phases of
	// workers last 5 to 14 s.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// maxDoublings is the number of doublings that reaches maxPause; more would overflow.
	maxDoublings = 3
	// retention is how long evidence counts if nothing follows it. It is longer than the bad phases, and shows a worker to
	// which no task suitable as a trial is offered.
	retention = 15 * time.Second
)

// Fleet describes the workers of the services.
type Fleet interface {
	// Service returns the service of a worker.
	Service(worker job.Host) string
	// Schedulable returns the number of schedulable workers of a service, including ejected ones.
	Schedulable(service string) int
}

// Tracker holds the health of workers; a worker without evidence is healthy.
type Tracker struct {
	fleet   Fleet
	records map[job.Host]*record
	jobs    map[job.ID]*jobFailures
	changes []Change
}

// NewTracker returns a tracker without evidence.
func NewTracker(fleet Fleet) *Tracker {
	return &Tracker{fleet: fleet, records: make(map[job.Host]*record), jobs: make(map[job.ID]*jobFailures)}
}

// Done records that a finite task has succeeded on a worker on which it was placed at a time. On an ejected worker only a
// trial counts: a worker that fails all it starts may still complete what ran before.
func (t *Tracker) Done(worker job.Host, placed, now time.Time) {
	r := t.records[worker]
	switch {
	case r == nil || r.ejected && !placed.After(r.ejectedAt):
	case r.ejected:
		r.clear()
		r.recovering, r.updatedAt = true, now
		t.readmit(worker, r, now)
	default:
		delete(t.records, worker)
	}
}

// Failed records that a task has failed on a worker, unless its job explains the failure.
func (t *Tracker) Failed(worker job.Host, task job.TaskID, now time.Time) {
	failures := t.jobs[task.Job]
	if failures == nil {
		failures = newJobFailures()
		t.jobs[task.Job] = failures
	}
	explained := failures.explain(worker, task)
	failures.add(worker, task)
	t.clearExplained(task.Job, failures, now)
	r := t.ensure(worker)
	if explained && r.onlyFrom(task.Job) {
		t.dropEmpty(worker, r)
		return
	}
	r.failures++
	r.failuresByJob[task.Job]++
	t.assess(worker, r, now)
}

// Stalled records that a task has made no progress on a worker, which counts like a failure.
func (t *Tracker) Stalled(worker job.Host, task job.TaskID, now time.Time) {
	t.Failed(worker, task, now)
}

// Refused records that a worker has refused a start because it is busy; refusals in quick succession count once.
func (t *Tracker) Refused(worker job.Host, now time.Time) {
	r := t.ensure(worker)
	if r.refusals > 0 && now.Sub(r.refusedAt) < refusalInterval {
		return
	}
	r.refusals++
	r.refusedAt = now
	t.assess(worker, r, now)
}

// Started records that a worker has carried out a start, which ends a series of refusals.
func (t *Tracker) Started(worker job.Host) {
	if r := t.records[worker]; r != nil && !r.ejected {
		r.refusals = 0
		t.dropEmpty(worker, r)
	}
}

// Forget drops the evidence against a worker.
func (t *Tracker) Forget(worker job.Host) { delete(t.records, worker) }

// ForgetJob drops the failures of a job, which no longer explain others; its evidence against workers stays.
func (t *Tracker) ForgetJob(id job.ID) { delete(t.jobs, id) }

// Status returns the status of a worker.
func (t *Tracker) Status(worker job.Host, now time.Time) Status {
	r := t.records[worker]
	if r == nil {
		return Status{}
	}
	return Status{state: r.state(), paused: r.ejected && now.Before(r.pausedUntil), ejectedAt: r.ejectedAt}
}

// AllHealthy reports whether no worker is degraded or ejected.
func (t *Tracker) AllHealthy() bool {
	for _, r := range t.records {
		if r.state() != Healthy {
			return false
		}
	}
	return true
}

func (t *Tracker) ensure(worker job.Host) *record {
	r := t.records[worker]
	if r == nil {
		r = newRecord()
		t.records[worker] = r
	}
	return r
}

// dropEmpty removes a record without evidence.
func (t *Tracker) dropEmpty(worker job.Host, r *record) {
	if r.evidence() == 0 && r.state() == Healthy {
		delete(t.records, worker)
	}
}
