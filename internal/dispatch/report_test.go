package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"context"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/policy"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// testTerm returns a term with one accepted job of one task.
func testTerm(t *testing.T, store *kvtest.Store) *term {
	t.Helper()
	ctx := context.Background()
	value, err := job.Encode(job.Spec{Steps: []job.Step{{Count: 1}}}, job.Queue{Service: testService, Attempts: 1}, time.Now())
	assert.NilError(t, err)
	_, err = store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: record.JobKey("00000000000000aa"), Value: value}}})
	assert.NilError(t, err)
	leader, err := newTestEntry("e", store).tryAcquire(ctx)
	assert.NilError(t, err)
	assert.NilError(t, leader.load(ctx))
	return leader
}

func testReport(instance string) link.Report {
	return link.Report{VM: "vm", Epoch: FencesPerEpoch, Instance: instance, Service: testService, CPU: 1000, Memory: 1000, Fenced: true}
}

// TestEndsAreAcknowledgedPerInstance guards against acknowledging end 7 of one incarnation to the next, which has reported none.
func TestEndsAreAcknowledgedPerInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := testTerm(t, kvtest.New())
		a := &fakeAgent{vm: "vm"}
		_, err := leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(context.Background(), leader))
		first := testReport("i1")
		first.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000aa.0.0.0", Number: 1}, Sequence: 7}}
		go func() { _, _ = leader.report(fakeSession{a}, first) }()
		synctest.Wait()
		answer, err := leader.report(fakeSession{a}, testReport("i2"))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
		assert.NilError(t, cycle(context.Background(), leader))
		synctest.Wait()
		answer, err = leader.report(fakeSession{a}, testReport("i2"))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
	})
}

// TestEndsOfUnreachableWorkerAreCommittedFirst guards against acknowledging end 7 before it is in the store.
func TestEndsOfUnreachableWorkerAreCommittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := testTerm(t, kvtest.New())
		a := &fakeAgent{vm: "vm"}
		_, err := leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(context.Background(), leader))
		unreachable := testReport("i1")
		unreachable.Unreachable = true
		unreachable.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000aa.0.0.0", Number: 1}, Sequence: 7}}
		answer, err := leader.report(fakeSession{a}, unreachable)
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
		assert.NilError(t, cycle(context.Background(), leader))
		answer, err = leader.report(fakeSession{a}, unreachable)
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(7))
		assert.Equal(t, leader.jobs["00000000000000aa"].job.State(), job.Completed)
	})
}

// TestUnchangedReportRequestsNoPlan guards against a plan for each report, since 200 reports a second would cause 200 plans a second.
func TestUnchangedReportRequestsNoPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := testTerm(t, kvtest.New())
		notified := func() bool {
			select {
			case <-leader.changed:
				return true
			default:
				return false
			}
		}
		first := testReport("i1")
		_, err := leader.report(fakeSession{&fakeAgent{vm: "vm"}}, first)
		assert.NilError(t, err)
		assert.Assert(t, notified(), "a new worker requests a plan")
		assert.NilError(t, cycle(t.Context(), leader))
		_, err = leader.report(fakeSession{&fakeAgent{vm: "vm"}}, first)
		assert.NilError(t, err)
		assert.Assert(t, !notified(), "an unchanged report requests no plan")
		first.Draining = true
		_, err = leader.report(fakeSession{&fakeAgent{vm: "vm"}}, first)
		assert.NilError(t, err)
		assert.Assert(t, notified(), "a draining worker requests a plan")
		ended := testReport("i1")
		ended.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000aa.0.0.0", Number: 1}, Sequence: 1}}
		go func() { _, _ = leader.report(fakeSession{&fakeAgent{vm: "vm"}}, ended) }()
		synctest.Wait()
		assert.Assert(t, notified(), "an end requests a plan")
		assert.NilError(t, cycle(t.Context(), leader))
		synctest.Wait()
	})
}

// TestReportOnEarlierConnectionIsRejected guards against losing the runs of the current incarnation to a delayed report of the previous one.
func TestReportOnEarlierConnectionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := testTerm(t, kvtest.New())
		earlier, later := fakeSession{&fakeAgent{vm: "vm", session: 1}}, fakeSession{&fakeAgent{vm: "vm", session: 2}}
		_, err := leader.report(earlier, testReport("i1"))
		assert.NilError(t, err)
		_, err = leader.report(later, testReport("i2"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(t.Context(), leader))
		_, err = leader.report(earlier, testReport("i1"))
		assert.Assert(t, fault.Is(err, fault.Stale))
		task := leader.jobs["00000000000000aa"].job.Task(job.TaskID{Job: "00000000000000aa"})
		assert.Equal(t, task.Phase(), job.Placed)
		assert.Equal(t, task.Host().Incarnation.Worker(), "i2")
	})
}

// TestShrunkCapacityTakesNoMoreTasks checks that runs beyond a reduced capacity stay, and that tasks are placed there again once it has grown.
func TestShrunkCapacityTakesNoMoreTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		leader := testTerm(t, store)
		leader.jobs["00000000000000aa"].job = job.New("00000000000000aa",
			job.Spec{Steps: []job.Step{{Count: 3, Size: job.Size{CPU: 400}}}}, job.Queue{Service: testService}, time.Now())
		a := &fakeAgent{vm: "vm"}
		placed := func(cpu int, ended ...link.Ended) int {
			r := testReport("i1")
			r.CPU, r.Ended = cpu, ended
			for id, p := range leader.hostRuns("vm", "i1") {
				r.Running = append(r.Running, link.Running{Run: link.NewRun(id, p.number)})
			}
			go func() { _, _ = leader.report(fakeSession{a}, r) }()
			synctest.Wait()
			runCycle(t, leader)
			return len(leader.hostRuns("vm", "i1"))
		}
		assert.Equal(t, placed(900), 2)
		assert.Equal(t, placed(300), 2, "both exceed the capacity and stay")
		done := link.Ended{Run: link.NewRun(job.TaskID{Job: "00000000000000aa"}, 1), Sequence: 1, End: int(job.EndDone)}
		assert.Equal(t, placed(700, done), 1, "beside one of them there is no capacity for the third")
		assert.Equal(t, placed(900), 2)
	})
}

// hostRuns returns the runs placed on an incarnation of a worker that reports no start time.
func (t *term) hostRuns(vm, instance string) map[job.TaskID]*placedRun {
	if h := t.hosts.get(job.Host{VM: vm, Incarnation: incarnation.New(instance, 0)}); h != nil {
		return h.runs
	}
	return nil
}

// named is a configuration that has the service of the tests.
type named struct{ noPolicies }

func (named) Newest() *policy.Policy { return policy.New(1, nil, map[string]int{testService: 3}, 0) }

// TestReportOfUnconfiguredServiceIsMarkedUnknown checks that the answer to a report marks a service that is in no configuration, so that the agent
// discards a first report from an unknown sender.
func TestReportOfUnconfiguredServiceIsMarkedUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := testTerm(t, kvtest.New())
		a := &fakeAgent{vm: "vm"}
		for _, configured := range []bool{false, true} {
			if configured {
				leader.dispatcher.config.Policies = named{}
			}
			for service, unknown := range map[string]bool{testService: false, "other": configured} {
				r := testReport("i1")
				r.Service = service
				answer, err := leader.report(fakeSession{a}, r)
				assert.NilError(t, err)
				assert.Equal(t, answer.UnknownService, unknown, service)
			}
		}
	})
}
