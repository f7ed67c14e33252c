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

// drawTrouble makes some commits fail in each way, but never too many in a row.
func (w *clusterModel) drawTrouble() kvtest.Trouble {
	if w.consecutiveTroubles > 2 || rapid.IntRange(0, 3).Draw(w.t, "trouble") > 0 {
		w.consecutiveTroubles = 0
		return kvtest.None
	}
	w.consecutiveTroubles++
	return rapid.SampledFrom([]kvtest.Trouble{kvtest.Refused, kvtest.Lost, kvtest.Late, kvtest.Unsent}).Draw(w.t, "how")
}

func (w *clusterModel) performAction() {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	switch rapid.IntRange(0, 16).Draw(w.t, "act") {
	case 0, 1:
		w.submit()
	case 2:
		w.cancelRandomJob()
	case 3:
		w.runLeader(w.currentTerm())
	case 4:
		w.runLeader(rapid.SampledFrom(w.terms).Draw(w.t, "lead"))
	case 5, 6, 7:
		w.report(a, w.currentTerm())
	case 8:
		w.report(a, rapid.SampledFrom(w.terms).Draw(w.t, "lead"))
	case 9, 10, 11:
		w.deliverOrders(a)
	case 12:
		w.finishRandomRun(a)
	case 13:
		w.store.Catch()
		time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "ms")) * time.Millisecond)
	case 14:
		switch rapid.IntRange(0, 5).Draw(w.t, "starts again") {
		case 0:
			a.replaceWorker(rapid.Bool().Draw(w.t, "reports its birth"))
		case 1, 2:
			a.restartWorker(rapid.Bool().Draw(w.t, "clock steps back"))
		}
	case 15:
		if rapid.IntRange(0, 2).Draw(w.t, "elects") == 0 {
			w.electLeader()
		}
	case 16:
		w.toggleHall(rapid.SampledFrom(testHalls).Draw(w.t, "hall"))
	}
}

// runToCompletion lets everything work until all jobs that can end have ended.
func (w *clusterModel) runToCompletion() {
	for _, hall := range sortedKeys(w.closedSince) {
		w.toggleHall(hall)
	}
	w.store.SetTrouble(nil)
	w.store.Catch()
	for _, id := range slices.Sorted(maps.Keys(w.specs)) {
		if w.hasLastingStep(id) {
			w.cancelJob(id)
		}
	}
	const rounds = 120
	for range rounds {
		time.Sleep(700 * time.Millisecond)
		for _, a := range w.agents {
			w.report(a, w.currentTerm())
			for len(a.pendingOrders) > 0 {
				w.deliverOrders(a)
			}
		}
		for _, a := range w.agents {
			w.finishRandomRun(a)
		}
		w.runLeader(w.currentTerm())
		if w.allJobsEnded() {
			return
		}
	}
	for _, id := range w.jobIDs {
		w.t.Logf("%s: %s", id, w.currentTerm().jobs[id].job.State())
	}
	w.t.Fatal("jobs that can end do not end")
}

func (w *clusterModel) allJobsEnded() bool {
	for _, id := range w.jobIDs {
		known := w.currentTerm().jobs[id]
		if known == nil {
			w.t.Fatalf("%s was accepted and is not known", id)
		}
		if !known.job.State().IsFinal() {
			return false
		}
	}
	return true
}

func (w *clusterModel) hasLastingStep(id job.ID) bool {
	return slices.ContainsFunc(w.specs[id].Steps, func(s job.Step) bool { return s.LongRunning })
}

// TestClusterModel draws interleavings of leads, agents, workers and the store, and judges by what the workers saw.
func TestClusterModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inFakeTime(t, func() {
			w := newClusterModel(rt)
			w.store.SetTrouble(w.drawTrouble)
			for range rapid.IntRange(20, 120).Draw(rt, "acts") {
				w.performAction()
			}
			w.runToCompletion()
		})
	})
}

// inFakeTime runs a property in fake time and hands its panic, by which rapid fails, to the caller.
func inFakeTime(t *testing.T, property func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		property()
	})
	// Two places to panic at, since rapid tells failures apart by where they come from.
	if fmt.Sprintf("%T", failed) == "rapid.invalidData" {
		panic(failed)
	}
	if failed != nil {
		panic(failed)
	}
}
