package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// TestOrdersStayBelowTheLimitOfAMessage guards against jobs that never start: the orders for an agent that has none of its runs were one message with the texts of
// all jobs placed on its worker, and a message over the limit ends the connection each time.
func TestOrdersStayBelowTheLimitOfAMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 180
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		spec := job.Spec{Text: strings.Repeat("<", 4000), Steps: []job.Step{{Count: 1, LongRunning: true}}}
		for n := range jobs {
			value, err := job.Encode(spec, job.Queue{Service: testService, Attempts: 1}, time.Now())
			assert.NilError(t, err)
			commitInputs(t, store, kv.Put{Key: record.JobKey(job.ID(fmt.Sprintf("%016x", n+1))), Value: value})
		}
		leader := termWithPlacedTask(t, store, a)
		runCycle(t, leader)
		time.Sleep(resendAfter + time.Millisecond)
		reportAndRun(t, leader, a, testReport("i1"))
		started := 0
		for _, orders := range a.pendingOrders {
			encoded, err := json.Marshal(orders)
			assert.NilError(t, err)
			assert.Assert(t, len(encoded) < rpc.MaxMessage, "%d starts in %d bytes", len(orders.Starts), len(encoded))
			for _, s := range orders.Starts {
				id, _ := s.TaskID()
				assert.Assert(t, id.Job == testJob || orders.Texts[string(id.Job)] == spec.Text)
			}
			started += len(orders.Starts)
		}
		assert.Equal(t, started, len(leader.hosts.get(leader.agents[a.vm].host).runs))
		assert.Assert(t, started >= jobs)
	})
}
