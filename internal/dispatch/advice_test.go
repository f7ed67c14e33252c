package dispatch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// fakeAdvisor allows one worker and records the calls.
type fakeAdvisor struct {
	allowed string

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
	f.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	tickets := Tickets{ByInstance: map[string]string{}, Valid: 3 * time.Second}
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
