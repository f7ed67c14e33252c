package health

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// trackerModel drives a tracker with drawn events and checks its ejections.
type trackerModel struct {
	tracker *Tracker
	fleet   *fleet
	now     time.Time
	// runs has the times at which the runs of each worker were placed.
	runs map[job.Host][]time.Time
	// ejectedAt and pausedUntil are from the changes that the tracker has returned.
	ejectedAt   map[job.Host]time.Time
	pausedUntil map[job.Host]time.Time
}

// TestEjectionsAreBounded guards against a service that loses most of its workers to ejections, a worker that is treated as healthy in spite of
// evidence, a start during a pause and a second trial beside a running one.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &trackerModel{
			fleet: &fleet{schedulable: rapid.IntRange(1, 9).Draw(t, "schedulable")}, now: time.Unix(1000, 0), runs: make(map[job.Host][]time.Time),
			ejectedAt: make(map[job.Host]time.Time), pausedUntil: make(map[job.Host]time.Time),
		}
		m.tracker = NewTracker(m.fleet)
		t.Repeat(map[string]func(*rapid.T){
			"start":   m.start,
			"done":    func(t *rapid.T) { w := drawWorker(t); m.tracker.Done(w, m.end(w), m.now) },
			"failed":  func(t *rapid.T) { w := drawWorker(t); m.end(w); m.tracker.Failed(w, drawTask(t), m.now) },
			"stalled": func(t *rapid.T) { m.tracker.Stalled(drawWorker(t), drawTask(t), m.now) },
			"refused": func(t *rapid.T) { m.tracker.Refused(drawWorker(t), m.now) },
			"started": func(t *rapid.T) { m.tracker.Started(drawWorker(t)) },
			"forget":  m.forget,
			"shrink": func(t *rapid.T) {
				m.fleet.schedulable = rapid.IntRange(1, 9).Draw(t, "schedulable")
				m.tracker.Update(m.now)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
				m.tracker.Update(m.now)
			},
			"": m.check,
		})
	})
}

func drawWorker(t *rapid.T) job.Host {
	return testHost(string(rune('a' + rapid.IntRange(0, 8).Draw(t, "worker"))))
}

func drawTask(t *rapid.T) job.TaskID {
	return testTask(fmt.Sprintf("j%d.%d", rapid.IntRange(0, 5).Draw(t, "job"), rapid.IntRange(0, 3).Draw(t, "task")))
}

// start places a run on a worker if its status allows it.
func (m *trackerModel) start(t *rapid.T) {
	w := drawWorker(t)
	status := m.tracker.Status(w, m.now)
	if status.State() == Ejected && !status.AllowsTrial(slices.ContainsFunc(m.runs[w], status.IsTrial)) {
		return
	}
	m.runs[w] = append(m.runs[w], m.now)
	ejectedAt, ejected := m.ejectedAt[w]
	if !ejected {
		return
	}
	if m.now.Before(m.pausedUntil[w]) {
		t.Fatalf("%v gets a trial before its pause ends", w)
	}
	trials := 0
	for _, placed := range m.runs[w] {
		if placed.After(ejectedAt) {
			trials++
		}
	}
	if trials > 1 {
		t.Fatalf("%v has %d trials", w, trials)
	}
}

// end removes the oldest run of a worker and returns when it was placed.
func (m *trackerModel) end(w job.Host) time.Time {
	if len(m.runs[w]) == 0 {
		return m.now
	}
	placed := m.runs[w][0]
	m.runs[w] = m.runs[w][1:]
	return placed
}

func (m *trackerModel) forget(t *rapid.T) {
	w := drawWorker(t)
	m.tracker.Forget(w)
	delete(m.runs, w)
	delete(m.ejectedAt, w)
}

// check applies the returned changes to the model and compares it with the tracker.
func (m *trackerModel) check(t *rapid.T) {
	for _, c := range m.tracker.Changes() {
		if !c.Ejected {
			delete(m.ejectedAt, c.Worker)
			continue
		}
		if _, ejected := m.ejectedAt[c.Worker]; !ejected {
			m.ejectedAt[c.Worker] = m.now
		}
		m.pausedUntil[c.Worker] = m.now.Add(c.Pause)
	}
	if limit := max(m.fleet.schedulable/3, 1); m.tracker.Ejected() > limit {
		t.Fatalf("%d workers are ejected, the bound is %d", m.tracker.Ejected(), limit)
	}
	if m.tracker.Ejected() != len(m.ejectedAt) {
		t.Fatalf("%d workers are ejected, %d by the changes", m.tracker.Ejected(), len(m.ejectedAt))
	}
	for w, r := range m.tracker.records {
		checkRecord(t, w, r)
	}
}

func checkRecord(t *rapid.T, w job.Host, r *record) {
	if r.state() == Healthy && r.failures > 0 {
		t.Fatalf("%v is healthy with %d failures", w, r.failures)
	}
	if r.state() == Healthy && r.refusals == 0 {
		t.Fatalf("%v has a record without evidence", w)
	}
	total := 0
	for _, n := range r.failuresByJob {
		total += n
	}
	if total != r.failures {
		t.Fatalf("%v has %d failures, %d by job", w, r.failures, total)
	}
}
