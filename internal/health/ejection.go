package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// ejectedDivisor is the divisor of the number of schedulable workers of a service that gives how many may be ejected: if
// more fail, the workers are not the cause.
const ejectedDivisor = 3

// Change is an ejection, a failed trial or a readmission of a worker.
type Change struct {
	Worker job.Host
	// Ejected is false for a readmission.
	Ejected bool
	// Failures, Refusals and Jobs are the evidence for an ejection, Pause is the time before the next trial.
	Failures, Refusals, Jobs int
	Pause                    time.Duration
	// After is the time from the ejection to the readmission.
	After time.Duration
}

// Changes returns the changes since the last call, in order.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Ejected returns the number of ejected workers.
func (t *Tracker) Ejected() int {
	count := 0
	for _, r := range t.records {
		if r.ejected {
			count++
		}
	}
	return count
}

// Update drops evidence older than retention, and readmits workers while more are ejected than their service allows.
func (t *Tracker) Update(now time.Time) {
	services := make(map[string]bool)
	for _, worker := range t.sortedWorkers() {
		r := t.records[worker]
		switch {
		case now.Sub(r.updatedAt) < retention:
		case r.ejected:
			r.clear()
			r.recovering, r.updatedAt = true, now
			t.readmit(worker, r, now)
		default:
			delete(t.records, worker)
		}
		if r.ejected {
			services[t.fleet.Service(worker)] = true
		}
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		ejected := t.ejectedOf(service)
		for _, worker := range ejected[:max(len(ejected)-t.limit(service), 0)] {
			t.readmit(worker, t.records[worker], now)
		}
	}
}

// assess ejects a worker after new evidence if it qualifies, or again after a failed trial.
func (t *Tracker) assess(worker job.Host, r *record, now time.Time) {
	r.updatedAt = now
	switch {
	case r.ejected && now.Before(r.pausedUntil):
		// The run was started before the ejection.
	case r.ejected || r.qualifies() && t.makeRoom(worker, r, now):
		t.eject(worker, r, now)
	}
}

func (t *Tracker) eject(worker job.Host, r *record, now time.Time) {
	if !r.ejected {
		r.ejected, r.ejectedAt = true, now
	}
	r.pause(now)
	t.changes = append(t.changes, Change{
		Worker: worker, Ejected: true, Failures: r.failures, Refusals: r.refusals, Jobs: len(r.failuresByJob), Pause: r.pausedUntil.Sub(now),
	})
}

// readmit ends the ejection of a worker.
func (t *Tracker) readmit(worker job.Host, r *record, now time.Time) {
	r.ejected = false
	t.changes = append(t.changes, Change{Worker: worker, After: now.Sub(r.ejectedAt)})
}

// makeRoom reports whether another worker of the service may be ejected; for that it readmits the one with the least
// evidence if that has less than the record.
func (t *Tracker) makeRoom(worker job.Host, r *record, now time.Time) bool {
	service := t.fleet.Service(worker)
	ejected := t.ejectedOf(service)
	if len(ejected) < t.limit(service) {
		return true
	}
	weakest := t.records[ejected[0]]
	if weakest.evidence() >= r.evidence() {
		return false
	}
	t.readmit(ejected[0], weakest, now)
	return len(ejected) == t.limit(service)
}

// limit returns how many workers of a service may be ejected.
func (t *Tracker) limit(service string) int {
	return max(t.fleet.Schedulable(service)/ejectedDivisor, 1)
}

// ejectedOf returns the ejected workers of a service, those with the least evidence first.
func (t *Tracker) ejectedOf(service string) []job.Host {
	var ejected []job.Host
	for _, worker := range t.sortedWorkers() {
		if t.records[worker].ejected && t.fleet.Service(worker) == service {
			ejected = append(ejected, worker)
		}
	}
	slices.SortStableFunc(ejected, func(a, b job.Host) int { return cmp.Compare(t.records[a].evidence(), t.records[b].evidence()) })
	return ejected
}

// sortedWorkers returns the workers with records, so that changes do not depend on the order of a map.
func (t *Tracker) sortedWorkers() []job.Host {
	return slices.SortedFunc(maps.Keys(t.records), func(a, b job.Host) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), incarnation.Compare(a.Incarnation, b.Incarnation))
	})
}

// clearExplained drops the evidence from a job that has failed on so many workers that it explains its failures, on the workers
// without other evidence. Otherwise three tasks of a faulty job that start on one worker would eject it.
func (t *Tracker) clearExplained(id job.ID, failures *jobFailures, now time.Time) {
	if len(failures.workers) <= explainingWorkers {
		return
	}
	for _, worker := range t.sortedWorkers() {
		r := t.records[worker]
		if r.failures == 0 || !r.onlyFrom(id) || r.refusals >= ejectingRefusals {
			continue
		}
		if r.ejected {
			t.readmit(worker, r, now)
		}
		delete(t.records, worker)
	}
}
