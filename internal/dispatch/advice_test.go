package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// fakeAdvisor allows one worker and records the calls.
type fakeAdvisor struct {
	allowed string
	// valid is how long tickets are valid, 3 s for 0; failing is the number of the call that fails, counted from 1, 0 for none.
	valid   time.Duration
	failing int

	mu    sync.Mutex
	calls [][]string
}

// recordedCalls returns the workers of each call so far.
func (f *fakeAdvisor) recordedCalls() [][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

func (f *fakeAdvisor) Advise(_ context.Context, _ string, instances []string) (Tickets, error) {
	f.mu.Lock()
	f.calls = append(f.calls, instances)
	fails := len(f.calls) == f.failing
	f.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if fails {
		return Tickets{}, fault.New(fault.Overloaded, "rate limited")
	}
	tickets := Tickets{ByInstance: map[string]string{}, Valid: cmp.Or(f.valid, 3*time.Second)}
	if slices.Contains(instances, f.allowed) {
		tickets.ByInstance[f.allowed] = "ticket"
	}
	return tickets, nil
}

func TestAdvisedStepStartsOnlyOnWorkersWithTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		term := testTerm(t, kvtest.New())
		advisor := &fakeAdvisor{allowed: "b1"}
		term.dispatcher.config.Advisor = advisor
		tracked := term.jobs["00000000000000aa"]
		tracked.job = job.New("00000000000000aa", *tracked.job.Spec(), job.Queue{Service: testService, Attempts: 1, Advised: true}, time.Now())
		agents := map[string]*fakeAgent{"a": {vm: "a"}, "b": {vm: "b"}}
		for _, vm := range []string{"a", "b"} {
			r := testReport(vm + "1")
			r.VM = vm
			_, err := term.report(fakeSession{agents[vm]}, r)
			assert.NilError(t, err)
		}
		assert.NilError(t, cycle(ctx, term))
		assert.Equal(t, len(agents["a"].pendingOrders)+len(agents["b"].pendingOrders), 0, "nothing is placed before the tickets are received")
		time.Sleep(10 * time.Millisecond)
		assert.DeepEqual(t, advisor.recordedCalls(), [][]string{{"a1", "b1"}})
		assert.NilError(t, cycle(ctx, term))
		synctest.Wait()
		assert.Equal(t, len(agents["a"].pendingOrders), 0)
		start := agents["b"].pendingOrders[0].Starts[0]
		assert.Equal(t, start.Ticket, "ticket")

		// After a worker refuses the ticket, the leader requests new ones and does not avoid the worker.
		r := testReport("b1")
		r.VM = "b"
		r.Rejected = []link.Rejected{{Run: start.Run, Refusal: int(host.RefusedTicket)}}
		_, err := term.report(fakeSession{agents["b"]}, r)
		assert.NilError(t, err)
		assert.NilError(t, cycle(ctx, term))
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, len(advisor.recordedCalls()), 2)
		assert.NilError(t, cycle(ctx, term))
		synctest.Wait()
		assert.Equal(t, len(agents["b"].pendingOrders), 2)
	})
}

// advisedTerm returns a leader with an advised job of one task and workers that have reported.
func advisedTerm(t *testing.T, advisor *fakeAdvisor, agents ...*fakeAgent) *term {
	t.Helper()
	leader := testTerm(t, kvtest.New())
	leader.dispatcher.config.Advisor = advisor
	tracked := leader.jobs[testJob]
	tracked.job = job.New(testJob, *tracked.job.Spec(), job.Queue{Service: testService, Attempts: 1, Advised: true}, time.Now())
	for _, a := range agents {
		reportAs(t, leader, a, a.known)
	}
	return leader
}

// reportAs reports an incarnation of an agent's worker to a leader.
func reportAs(t *testing.T, leader *term, a *fakeAgent, id incarnation.ID) {
	t.Helper()
	r := testReport(id.Worker())
	r.VM, r.StartMillis = a.vm, id.StartMillis()
	_, err := leader.report(fakeSession{a}, r)
	assert.NilError(t, err)
}

// TestWorkerThatComesLaterIsAdvised guards against a step that waits until its advice has expired: the only worker that may run it has crashed and is back,
// and the advisor was asked only about the incarnations before.
func TestWorkerThatComesLaterIsAdvised(t *testing.T) {
	for name, ids := range map[string][2]incarnation.ID{
		"restarted under the same id": {incarnation.New("b1", 1), incarnation.New("b1", 2)},
		"restarted under another id":  {incarnation.New("b0", 0), incarnation.New("b1", 0)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				advisor := &fakeAdvisor{allowed: "b1", valid: time.Hour}
				a, b := &fakeAgent{vm: "a", known: incarnation.New("a1", 0)}, &fakeAgent{vm: "b", known: ids[0]}
				leader := advisedTerm(t, advisor, a, b)
				runCycle(t, leader)
				reportAs(t, leader, b, ids[1])
				time.Sleep(10 * time.Millisecond)
				runCycle(t, leader)
				time.Sleep(10 * time.Millisecond)
				runCycle(t, leader)
				assert.DeepEqual(t, advisor.recordedCalls(), [][]string{{"a1", ids[0].Worker()}, {"b1"}})
				assert.Equal(t, len(b.pendingOrders), 1)
				assert.Equal(t, b.pendingOrders[0].Starts[0].Ticket, "ticket")
				for range 3 {
					time.Sleep(maxPlanInterval)
					runCycle(t, leader)
				}
				assert.Equal(t, len(advisor.recordedCalls()), 2, "nothing is asked again")
			})
		})
	}
}

// TestAnswersBeforeAFailedAdviceCallHold guards against tickets that are dropped, and asked for again, since the call about further workers failed.
func TestAnswersBeforeAFailedAdviceCallHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advisor := &fakeAdvisor{allowed: "vm000", valid: time.Hour, failing: 2}
		leader := advisedTerm(t, advisor)
		const workers = maxAdvisedWorkers + 7
		for n := range workers {
			leader.addWorker(fmt.Sprintf("vm%03d", n))
		}
		step := stepID{job: testJob}
		assert.Equal(t, len(leader.ticketsFor(step, testService)), 0)
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, len(leader.ticketsFor(step, testService)), 1)
		time.Sleep(adviceRetryDelay)
		leader.ticketsFor(step, testService)
		time.Sleep(20 * time.Millisecond)
		calls := advisor.recordedCalls()
		assert.Equal(t, len(calls), 3)
		assert.DeepEqual(t, calls[2], calls[1])
		assert.Equal(t, len(leader.ticketsFor(step, testService)), 1)
	})
}
