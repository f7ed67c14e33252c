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

// clusterModel has a store, leaders of which only the last is valid, agents and workers.
type clusterModel struct {
	t                 *rapid.T
	ctx               context.Context
	store             *kvtest.Store
	terms             []*term
	agents            []*fakeAgent
	specs             map[job.ID]job.Spec
	jobIDs            []job.ID
	completedTasks    map[string]bool
	acknowledgedTasks map[string]bool
	// failures has the failed runs of each task or gang, acknowledgedFailures those whose end was acknowledged.
	failures             failedRuns
	acknowledgedFailures failedRuns
	consecutiveFailures  int
	// closedSince has the time at which each closed hall was closed.
	closedSince map[string]time.Time
}

const testAttempts = 2

// failedRuns has the numbers of the failed runs of each task, with the members of a gang as one.
type failedRuns map[job.TaskID]map[int]bool

func (f failedRuns) add(unit job.TaskID, run int) {
	if f[unit] == nil {
		f[unit] = make(map[int]bool)
	}
	f[unit][run] = true
}

// unit returns the task of a name, or the first member of its gang.
func (m *clusterModel) unit(name string) job.TaskID {
	id, _ := job.ParseTaskID(name)
	if m.specs[id.Job].Steps[id.Step].Gang {
		id.Index = 0
	}
	return id
}

// checkFailedJobs fails the test if the leader shows a job as failed that has neither failed as often as it may nor crashed its workers.
func (m *clusterModel) checkFailedJobs() {
	for _, id := range m.jobIDs {
		tracked := m.currentTerm().jobs[id]
		if tracked == nil || tracked.job.State() != job.Failed {
			continue
		}
		justified := false
		tracked.job.Each(func(task job.TaskID, _ *job.Task) {
			history := tracked.job.CrashHistory(task)
			justified = justified || len(m.failures[m.unit(task.String())]) >= testAttempts || history.Suspect() || history.Losses().Exhausted()
		})
		if !justified {
			m.t.Fatalf("%s is shown as failed after the failed runs %v", id, m.failures)
		}
	}
}

var testHalls = []string{"north", "south"}

var testCapacity = job.Size{CPU: 4000, Memory: 8000}

func newClusterModel(t *rapid.T) *clusterModel {
	m := &clusterModel{
		t: t, ctx: context.Background(), store: kvtest.New(), specs: make(map[job.ID]job.Spec),
		completedTasks: make(map[string]bool), acknowledgedTasks: make(map[string]bool), failures: make(failedRuns), acknowledgedFailures: make(failedRuns),
		closedSince: make(map[string]time.Time),
	}
	for i := range 3 {
		a := &fakeAgent{vm: fmt.Sprintf("vm%d", i), hall: testHalls[i%len(testHalls)]}
		a.replaceWorker(i > 0)
		m.agents = append(m.agents, a)
	}
	for len(m.terms) == 0 {
		m.electLeader()
	}
	return m
}

// electLeader revokes the lease of the leader, which no request reports to it, and lets another process take over.
func (m *clusterModel) electLeader() {
	m.store.RemoveLeasedKeys()
	name := fmt.Sprintf("entry%d", len(m.terms))
	t, err := newTestEntry(name, m.store).tryAcquire(m.ctx)
	if err != nil || t.load(m.ctx) != nil {
		return
	}
	m.terms = append(m.terms, t)
}

func (m *clusterModel) currentTerm() *term { return m.terms[len(m.terms)-1] }

// submit submits a random job of one or two steps.
func (m *clusterModel) submit() {
	id := job.ID(fmt.Sprintf("%016x", len(m.specs)+1))
	steps := []job.Step{m.drawStep()}
	if rapid.Bool().Draw(m.t, "two steps") {
		second := m.drawStep()
		second.DependsOn = []int{0}
		second.LongRunning = false
		if !steps[0].LongRunning {
			steps = append(steps, second)
		}
	}
	spec := job.Spec{Text: "x", Steps: steps}
	value, err := job.Encode(spec, job.Queue{Name: "q", Service: testService, Attempts: testAttempts, Stretch: 2}, time.Now())
	if err != nil {
		m.t.Fatal(err)
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: record.JobKey(id)}}, Puts: []kv.Put{{Key: record.JobKey(id), Value: value}},
	}
	m.specs[id] = spec
	if _, err := m.store.Commit(m.ctx, txn); err == nil {
		m.jobIDs = append(m.jobIDs, id)
	}
}

func (m *clusterModel) drawStep() job.Step {
	step := job.Step{
		Count: rapid.IntRange(1, 3).Draw(m.t, "count"), Size: job.Size{CPU: 1000, Memory: 1000}, Estimate: time.Second,
		Checkpoints: true, Image: "i",
	}
	switch rapid.IntRange(0, 4).Draw(m.t, "kind of step") {
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

func (m *clusterModel) cancelRandomJob() {
	if len(m.jobIDs) > 0 {
		m.cancelJob(rapid.SampledFrom(m.jobIDs).Draw(m.t, "canceled"))
	}
}

func (m *clusterModel) cancelJob(id job.ID) {
	_, _ = m.store.Commit(m.ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.CancelKey(id)}}, Puts: []kv.Put{{Key: record.CancelKey(id), Value: []byte{1}}},
	})
}

// toggleHall closes a hall as an operator does, or opens it again.
func (m *clusterModel) toggleHall(hall string) {
	_, closed := m.closedSince[hall]
	txn := kv.Txn{Puts: []kv.Put{{Key: testClosures + hall, Value: []byte("odd")}}}
	if closed {
		txn = kv.Txn{Removes: []string{testClosures + hall}}
	}
	if err := m.store.CommitAsOperator(txn); err != nil {
		m.t.Fatal(err)
	}
	if closed {
		delete(m.closedSince, hall)
		return
	}
	m.closedSince[hall] = time.Now()
}

// runLeader runs a cycle of a leader; a replaced leader detects its replacement by the store.
func (m *clusterModel) runLeader(t *term) {
	if err := t.closures.Load(m.ctx); err != nil {
		m.t.Fatal(err)
	}
	if _, err := t.inputsFollower().Next(m.ctx, 0); err != nil {
		m.t.Fatal(err)
	}
	if err := cycle(m.ctx, t); err != nil && t == m.currentTerm() {
		// An election that seemed to fail was committed late. Its winner got an error and campaigns again.
		for latest := t; latest == m.currentTerm(); {
			m.electLeader()
		}
	}
	synctest.Wait()
}
