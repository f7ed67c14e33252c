package health

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// ejectingFailures is the number of failures since the last success from which a worker is ejected if they are of
	// ejectingJobs different jobs or more, failuresOfOneJob the number if they are all of one job. In a large fleet unrelated
	// failures often hit a healthy worker twice in a row, but rarely three times.
	ejectingFailures = 3
	ejectingJobs     = 2
	failuresOfOneJob = 4
	// ejectingRefusals is the number of refused starts since the last one that was carried out from which a worker is ejected.
	ejectingRefusals = 4
	// refusalInterval is the least time between two refusals that count: the starts of one order meet the same state of the worker.
	refusalInterval = 100 * time.Millisecond
)

// record is the evidence against a worker since its last success.
type record struct {
	// failures counts the failures and stalls, failuresByJob those of each job.
	failures      int
	failuresByJob map[job.ID]int
	refusals      int
	refusedAt     time.Time
	// updatedAt is the time of the latest evidence or success.
	updatedAt time.Time
	// ejected is set from the ejection at ejectedAt to the readmission; before pausedUntil the worker takes no trial.
	ejected     bool
	ejectedAt   time.Time
	pausedUntil time.Time
	// ejections counts the ejections and failed trials since the worker was healthy.
	ejections int
	// recovering is set from the first success of an ejected worker to the second.
	recovering bool
}

func newRecord() *record { return &record{failuresByJob: make(map[job.ID]int)} }

// evidence returns the amount of evidence, by which ejected workers are chosen.
func (r *record) evidence() int { return r.failures + r.refusals }

// qualifies reports whether the evidence is sufficient for an ejection.
func (r *record) qualifies() bool {
	return r.failures >= ejectingFailures && len(r.failuresByJob) >= ejectingJobs ||
		r.failures >= failuresOfOneJob || r.refusals >= ejectingRefusals
}

// onlyFrom reports whether there is no evidence from another job.
func (r *record) onlyFrom(id job.ID) bool {
	return r.failures == r.failuresByJob[id]
}

func (r *record) state() State {
	switch {
	case r.ejected:
		return Ejected
	case r.failures > 0 || r.recovering:
		return Degraded
	}
	return Healthy
}

// clear drops the evidence.
func (r *record) clear() {
	r.failures, r.refusals = 0, 0
	clear(r.failuresByJob)
}

// pause starts the pause before the next trial, which doubles with each failed trial.
func (r *record) pause(now time.Time) {
	r.pausedUntil = now.Add(min(firstPause<<min(r.ejections, maxDoublings), maxPause))
	r.ejections++
}

// jobFailures holds where the tasks of a job have failed.
type jobFailures struct {
	workers map[job.Host]bool
	tasks   map[job.TaskID][]job.Host
}

func newJobFailures() *jobFailures {
	return &jobFailures{workers: make(map[job.Host]bool), tasks: make(map[job.TaskID][]job.Host)}
}

func (f *jobFailures) add(worker job.Host, task job.TaskID) {
	f.workers[worker] = true
	f.tasks[task] = append(f.tasks[task], worker)
}

// explainingWorkers is the number of other workers with failures of a job from which the job explains its failures.
const explainingWorkers = 2

// explain reports whether the job rather than the worker explains a failure: the same task has failed on another worker or
// tasks of the job have failed on two others.
func (f *jobFailures) explain(worker job.Host, task job.TaskID) bool {
	others := len(f.workers)
	if f.workers[worker] {
		others--
	}
	if others >= explainingWorkers {
		return true
	}
	for _, other := range f.tasks[task] {
		if other != worker {
			return true
		}
	}
	return false
}
