package dispatch

import (
	"context"
	"fmt"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const testService = "desk"

// clusterModel is a store, leads of which only the latest is right, agents and workers.
type clusterModel struct {
	t                   *rapid.T
	ctx                 context.Context
	store               *kvtest.Store
	terms               []*term
	agents              []*fakeAgent
	specs               map[job.ID]job.Spec
	jobIDs              []job.ID
	completedTasks      map[string]bool
	acknowledgedTasks   map[string]bool
	failureCounts       map[string]int
	consecutiveTroubles int
	// closedSince is since when each closedSince hall is.
	closedSince map[string]time.Time
}

const testAttempts = 2

var testHalls = []string{"north", "south"}

var testCapacity = job.Size{CPU: 4000, Memory: 8000}

func newClusterModel(t *rapid.T) *clusterModel {
	w := &clusterModel{
		t: t, ctx: context.Background(), store: kvtest.New(), specs: make(map[job.ID]job.Spec),
		completedTasks: make(map[string]bool), acknowledgedTasks: make(map[string]bool), failureCounts: make(map[string]int),
		closedSince: make(map[string]time.Time),
	}
	for i := range 3 {
		a := &fakeAgent{vm: fmt.Sprintf("vm%d", i), hall: testHalls[i%len(testHalls)]}
		a.replaceWorker(i > 0)
		w.agents = append(w.agents, a)
	}
	for len(w.terms) == 0 {
		w.electLeader()
	}
	return w
}

// electLeader takes the lead away, which no request shows, and lets another process win it.
func (w *clusterModel) electLeader() {
	w.store.Revoke()
	name := fmt.Sprintf("entry%d", len(w.terms))
	t, err := newTestEntry(name, w.store).tryAcquire(w.ctx)
	if err != nil || t.load(w.ctx) != nil {
		return
	}
	w.terms = append(w.terms, t)
}

func (w *clusterModel) currentTerm() *term { return w.terms[len(w.terms)-1] }

// submit hands a job in.
func (w *clusterModel) submit() {
	id := job.ID(fmt.Sprintf("%016x", len(w.specs)+1))
	steps := []job.Step{w.drawStep()}
	if rapid.Bool().Draw(w.t, "two steps") {
		second := w.drawStep()
		second.DependsOn = []int{0}
		second.LongRunning = false
		if !steps[0].LongRunning {
			steps = append(steps, second)
		}
	}
	spec := job.Spec{Text: "x", Steps: steps}
	value, err := job.Encode(spec, job.Queue{Name: "q", Service: testService, Attempts: testAttempts, Stretch: 2}, time.Now())
	if err != nil {
		w.t.Fatal(err)
	}
	change := kv.Txn{
		Conditions: []kv.Condition{{Key: record.JobKey(id)}}, Puts: []kv.Put{{Key: record.JobKey(id), Value: value}},
	}
	w.specs[id] = spec
	if _, err := w.store.Commit(w.ctx, change); err == nil {
		w.jobIDs = append(w.jobIDs, id)
	}
}

func (w *clusterModel) drawStep() job.Step {
	step := job.Step{
		Count: rapid.IntRange(1, 3).Draw(w.t, "count"), Size: job.Size{CPU: 1000, Memory: 1000}, Estimate: time.Second,
		Checkpoints: true, Image: "i",
	}
	switch rapid.IntRange(0, 4).Draw(w.t, "kind of step") {
	case 0:
		step.LongRunning = true
	case 1:
		step.BestEffort = true
	case 2:
		step.Gang = true
	default:
	}
	return step
}

func (w *clusterModel) cancelRandomJob() {
	if len(w.jobIDs) > 0 {
		w.cancelJob(rapid.SampledFrom(w.jobIDs).Draw(w.t, "canceled"))
	}
}

func (w *clusterModel) cancelJob(id job.ID) {
	_, _ = w.store.Commit(w.ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.CancelKey(id)}}, Puts: []kv.Put{{Key: record.CancelKey(id), Value: []byte{1}}},
	})
}

// toggleHall closes a hall as the operators do, or opens it again.
func (w *clusterModel) toggleHall(hall string) {
	_, closed := w.closedSince[hall]
	change := kv.Txn{Puts: []kv.Put{{Key: testClosures + hall, Value: []byte("odd")}}}
	if closed {
		change = kv.Txn{Removes: []string{testClosures + hall}}
	}
	if err := w.store.Operate(change); err != nil {
		w.t.Fatal(err)
	}
	if closed {
		delete(w.closedSince, hall)
		return
	}
	w.closedSince[hall] = time.Now()
}

// runLeader lets one of the leads work; those of the past find out by the store.
func (w *clusterModel) runLeader(t *term) {
	if err := t.closures.Load(w.ctx); err != nil {
		w.t.Fatal(err)
	}
	if _, err := t.inputsFollower().Next(w.ctx, 0); err != nil {
		w.t.Fatal(err)
	}
	if err := cycle(w.ctx, t); err != nil && t == w.currentTerm() {
		// An election that seemed to fail was done late; its winner does not know and stands again.
		for latest := t; latest == w.currentTerm(); {
			w.electLeader()
		}
	}
	synctest.Wait()
}
