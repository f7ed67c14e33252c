package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// drawFailure lets a commit fail in a random way, at most three times in a row.
func (m *clusterModel) drawFailure() kvtest.Failure {
	if m.consecutiveFailures > 2 || rapid.IntRange(0, 3).Draw(m.t, "trouble") > 0 {
		m.consecutiveFailures = 0
		return kvtest.None
	}
	m.consecutiveFailures++
	return rapid.SampledFrom([]kvtest.Failure{kvtest.Refused, kvtest.AnswerLost, kvtest.Late, kvtest.RequestLost, kvtest.Invalid}).Draw(m.t, "how")
}

func (m *clusterModel) performAction() {
	a := rapid.SampledFrom(m.agents).Draw(m.t, "agent")
	switch rapid.IntRange(0, 17).Draw(m.t, "act") {
	case 0, 1:
		m.submit()
	case 2:
		m.cancelRandomJob()
	case 3:
		m.runLeader(m.currentTerm())
	case 4:
		m.runLeader(rapid.SampledFrom(m.terms).Draw(m.t, "lead"))
	case 5, 6, 7:
		m.report(a, m.currentTerm())
	case 8:
		m.report(a, rapid.SampledFrom(m.terms).Draw(m.t, "lead"))
	case 9, 10, 11:
		m.deliverOrders(a)
	case 12:
		m.finishRandomRun(a)
	case 13:
		m.store.ApplyLate()
		time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(m.t, "ms")) * time.Millisecond)
	case 14:
		if a.lost {
			return
		}
		switch rapid.IntRange(0, 5).Draw(m.t, "kind of restart") {
		case 0:
			a.replaceWorker(rapid.Bool().Draw(m.t, "reports start time"))
		case 1, 2:
			a.restartWorker(rapid.Bool().Draw(m.t, "clock steps back"))
		}
	case 15:
		if rapid.IntRange(0, 2).Draw(m.t, "elects") == 0 {
			m.electLeader()
		}
	case 16:
		m.toggleHall(rapid.SampledFrom(testHalls).Draw(m.t, "hall"))
	case 17:
		if rapid.IntRange(0, 4).Draw(m.t, "is lost") == 0 {
			m.loseWorker(a)
		}
	}
}

// runToCompletion opens all halls, stops the faults of the store, cancels long-running jobs and runs the cluster until all jobs have ended.
func (m *clusterModel) runToCompletion() {
	for _, hall := range sortedKeys(m.closedSince) {
		m.toggleHall(hall)
	}
	m.store.SetFailure(nil)
	m.store.ApplyLate()
	for _, id := range slices.Sorted(maps.Keys(m.specs)) {
		if m.hasLongRunningStep(id) {
			m.cancelJob(id)
		}
	}
	const rounds = 120
	for range rounds {
		time.Sleep(700 * time.Millisecond)
		for _, a := range m.agents {
			m.report(a, m.currentTerm())
			for len(a.pendingOrders) > 0 {
				m.deliverOrders(a)
			}
		}
		for _, a := range m.agents {
			m.finishRandomRun(a)
		}
		m.runLeader(m.currentTerm())
		if m.allJobsEnded() {
			return
		}
	}
	for _, id := range m.jobIDs {
		m.t.Logf("%s: %s", id, m.currentTerm().jobs[id].job.State())
	}
	m.t.Fatal("jobs do not end though the store works, all halls are open and no job is long-running")
}

func (m *clusterModel) allJobsEnded() bool {
	for _, id := range m.jobIDs {
		tracked := m.currentTerm().jobs[id]
		if tracked == nil {
			m.t.Fatalf("%s was accepted and is unknown to the leader", id)
		}
		if !tracked.job.State().IsFinal() {
			return false
		}
	}
	return true
}

func (m *clusterModel) hasLongRunningStep(id job.ID) bool {
	return slices.ContainsFunc(m.specs[id].Steps, func(s job.Step) bool { return s.LongRunning })
}

// TestClusterModel runs random interleavings of leaders, agents, workers and the store, and checks the starts that the workers receive.
func TestClusterModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inFakeTime(t, func() {
			m := newClusterModel(rt)
			m.store.SetFailure(m.drawFailure)
			for range rapid.IntRange(20, 120).Draw(rt, "acts") {
				m.performAction()
				m.checkFailedJobs()
			}
			m.runToCompletion()
			m.checkFailedJobs()
		})
	})
}

// inFakeTime runs a property in fake time and passes its panic, by which rapid reports failures, to the caller.
func inFakeTime(t *testing.T, property func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		property()
	})
	// The panics are on two lines since rapid distinguishes failures by their location.
	if fmt.Sprintf("%T", failed) == "rapid.invalidData" {
		panic(failed)
	}
	if failed != nil {
		panic(failed)
	}
}
