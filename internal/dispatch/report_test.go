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
	term, err := newTestEntry("e", store).tryAcquire(ctx)
	assert.NilError(t, err)
	assert.NilError(t, term.load(ctx))
	return term
}

func testReport(instance string) link.Report {
	return link.Report{VM: "vm", Epoch: FencesPerEpoch, Instance: instance, Service: testService, CPU: 1000, Memory: 1000, Fenced: true}
}

// TestEndsAreAcknowledgedPerInstance failed with Seen 7 for a life that had reported nothing.
func TestEndsAreAcknowledgedPerInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := testTerm(t, kvtest.New())
		a := &fakeAgent{vm: "vm"}
		_, err := term.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(context.Background(), term))
		first := testReport("i1")
		first.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000aa.0.0.0", Number: 1}, Sequence: 7}}
		go func() { _, _ = term.report(fakeSession{a}, first) }()
		synctest.Wait()
		answer, err := term.report(fakeSession{a}, testReport("i2"))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
		assert.NilError(t, cycle(context.Background(), term))
		synctest.Wait()
		answer, err = term.report(fakeSession{a}, testReport("i2"))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
	})
}

// TestEndsOfSilentWorkerAreCommittedBeforeAcknowledgement failed with Seen 7 before the end was in the store.
func TestEndsOfSilentWorkerAreCommittedBeforeAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := testTerm(t, kvtest.New())
		a := &fakeAgent{vm: "vm"}
		_, err := term.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(context.Background(), term))
		silent := testReport("i1")
		silent.Silent = true
		silent.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000aa.0.0.0", Number: 1}, Sequence: 7}}
		answer, err := term.report(fakeSession{a}, silent)
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
		assert.NilError(t, cycle(context.Background(), term))
		answer, err = term.report(fakeSession{a}, silent)
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(7))
		assert.Equal(t, term.jobs["00000000000000aa"].job.State(), job.Completed)
	})
}

// TestUnchangedReportRequestsNoPlan: two hundred reports a second once made as many plans.
func TestUnchangedReportRequestsNoPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := testTerm(t, kvtest.New())
		woken := func() bool {
			select {
			case <-term.wake:
				return true
			default:
				return false
			}
		}
		first := testReport("i1")
		_, err := term.report(fakeSession{&fakeAgent{vm: "vm"}}, first)
		assert.NilError(t, err)
		assert.Assert(t, woken(), "a new worker is news")
		assert.NilError(t, cycle(t.Context(), term))
		_, err = term.report(fakeSession{&fakeAgent{vm: "vm"}}, first)
		assert.NilError(t, err)
		assert.Assert(t, !woken(), "the same again is none")
		first.Draining = true
		_, err = term.report(fakeSession{&fakeAgent{vm: "vm"}}, first)
		assert.NilError(t, err)
		assert.Assert(t, woken(), "a worker that leaves is news")
		ended := testReport("i1")
		ended.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000aa.0.0.0", Number: 1}, Sequence: 1}}
		go func() { _, _ = term.report(fakeSession{&fakeAgent{vm: "vm"}}, ended) }()
		synctest.Wait()
		assert.Assert(t, woken(), "an end is news")
		assert.NilError(t, cycle(t.Context(), term))
		synctest.Wait()
	})
}

// TestReportOnEarlierConnectionIsRejected failed with the runs of the present life lost to one that was over.
func TestReportOnEarlierConnectionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := testTerm(t, kvtest.New())
		earlier, later := fakeSession{&fakeAgent{vm: "vm", session: 1}}, fakeSession{&fakeAgent{vm: "vm", session: 2}}
		_, err := term.report(earlier, testReport("i1"))
		assert.NilError(t, err)
		_, err = term.report(later, testReport("i2"))
		assert.NilError(t, err)
		assert.NilError(t, cycle(t.Context(), term))
		_, err = term.report(earlier, testReport("i1"))
		assert.Assert(t, fault.Is(err, fault.Stale))
		task := term.jobs["00000000000000aa"].job.Task(job.TaskID{Job: "00000000000000aa"})
		assert.Equal(t, task.Phase(), job.Placed)
		assert.Equal(t, task.Host().Incarnation.Worker(), "i2")
	})
}

// TestShrunkCapacityTakesNoMoreTasks: what runs there beyond it stays, and what waits goes there again once it has grown.
func TestShrunkCapacityTakesNoMoreTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		term := testTerm(t, store)
		term.jobs["00000000000000aa"].job = job.New("00000000000000aa",
			job.Spec{Steps: []job.Step{{Count: 3, Size: job.Size{CPU: 400}}}}, job.Queue{Service: testService}, time.Now())
		a := &fakeAgent{vm: "vm"}
		placed := func(cpu int, ended ...link.Ended) int {
			r := testReport("i1")
			r.CPU, r.Ended = cpu, ended
			for id, p := range term.hostRuns("vm", "i1") {
				r.Running = append(r.Running, link.Running{Run: link.NewRun(id, p.number)})
			}
			go func() { _, _ = term.report(fakeSession{a}, r) }()
			synctest.Wait()
			runCycle(t, term)
			return len(term.hostRuns("vm", "i1"))
		}
		assert.Equal(t, placed(900), 2)
		assert.Equal(t, placed(300), 2, "both are over the room, and run on")
		done := link.Ended{Run: link.NewRun(job.TaskID{Job: "00000000000000aa"}, 1), Sequence: 1, End: int(job.EndDone)}
		assert.Equal(t, placed(700, done), 1, "beside one of them there is no room for the third")
		assert.Equal(t, placed(900), 2)
	})
}

// hostRuns returns what is placed on a life of a worker.
func (t *term) hostRuns(vm, instance string) map[job.TaskID]*placedRun {
	if h := t.hosts.get(job.Host{VM: vm, Incarnation: incarnation.New(instance, 0)}); h != nil {
		return h.runs
	}
	return nil
}

// named is a configuration that names the test's service.
type named struct{ noPolicies }

func (named) Newest() *policy.Policy { return policy.New(1, nil, map[string]int{testService: 3}, 0) }

// TestReportOfUnconfiguredServiceIsMarkedForeign, so that it gives a report up that somebody else made first.
func TestReportOfUnconfiguredServiceIsMarkedForeign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lead := testTerm(t, kvtest.New())
		a := &fakeAgent{vm: "vm"}
		for _, configured := range []bool{false, true} {
			if configured {
				lead.dispatcher.config.Policies = named{}
			}
			for service, foreign := range map[string]bool{testService: false, "other": configured} {
				r := testReport("i1")
				r.Service = service
				answer, err := lead.report(fakeSession{a}, r)
				assert.NilError(t, err)
				assert.Equal(t, answer.UnknownService, foreign, service)
			}
		}
	})
}
