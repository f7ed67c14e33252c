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

// fakeAdvisor allows one worker and notes the calls.
type fakeAdvisor struct {
	good string

	mu    sync.Mutex
	calls [][]string
}

// asked returns the calls so far.
func (f *fakeAdvisor) asked() [][]string {
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
	if slices.Contains(instances, f.good) {
		tickets.ByInstance[f.good] = "ticket"
	}
	return tickets, nil
}

func TestAdvisedStepRunsOnlyWhereItMayAndBringsItsTicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		term := testTerm(t, kvtest.New())
		advisor := &fakeAdvisor{good: "b1"}
		term.d.config.Advisor = advisor
		known := term.jobs["00000000000000aa"]
		known.job = job.New("00000000000000aa", *known.job.Spec(), job.Queue{Service: testService, Attempts: 1, Advised: true}, time.Now())
		agents := map[string]*fakeAgent{"a": {vm: "a"}, "b": {vm: "b"}}
		for _, vm := range []string{"a", "b"} {
			r := reportOf(vm + "1")
			r.VM = vm
			_, err := term.report(mailbox{agents[vm]}, r)
			assert.NilError(t, err)
		}
		assert.NilError(t, cycle(ctx, term))
		assert.Equal(t, len(agents["a"].mail)+len(agents["b"].mail), 0, "nothing is placed before the advice is there")
		time.Sleep(10 * time.Millisecond)
		assert.DeepEqual(t, advisor.asked(), [][]string{{"a1", "b1"}})
		assert.NilError(t, cycle(ctx, term))
		synctest.Wait()
		assert.Equal(t, len(agents["a"].mail), 0)
		start := agents["b"].mail[0].Starts[0]
		assert.Equal(t, start.Ticket, "ticket")

		// A worker that refuses the ticket makes the lead ask again, and is not avoided for it.
		r := reportOf("b1")
		r.VM = "b"
		r.Rejected = []link.Rejected{{Run: start.Run, Refusal: int(host.RefusedAdvice)}}
		_, err := term.report(mailbox{agents["b"]}, r)
		assert.NilError(t, err)
		assert.NilError(t, cycle(ctx, term))
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, len(advisor.asked()), 2)
		assert.NilError(t, cycle(ctx, term))
		synctest.Wait()
		assert.Equal(t, len(agents["b"].mail), 2)
	})
}
