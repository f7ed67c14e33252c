package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestTaskOfAWithdrawnStartWaits guards against a second run beside the first: the next incarnation of a worker begins a run whose stop the present one has
// answered, or that has ended there, while a start of it is outstanding.
func TestTaskOfAWithdrawnStartWaits(t *testing.T) {
	run := link.NewRun(job.TaskID{Job: testJob}, 1)
	report := func(startMillis int64, age time.Duration) link.Report {
		r := reportWithStartTime(startMillis)
		r.AgentAgeMillis = age.Milliseconds()
		return r
	}
	unconfirmed, running := report(2, time.Hour), report(2, time.Hour)
	unconfirmed.Fenced = false
	running.Running = []link.Running{{Run: run, Percent: 1}}
	rejected := func(r link.Report) link.Report {
		r.Rejected = []link.Rejected{{Run: run, Refusal: int(host.RefusedOld)}}
		return r
	}
	withdrawn := rejected(report(1, time.Hour))
	withdrawn.Unsettled, withdrawn.Withdrawn = []link.Run{run}, []link.Run{run}
	ended := withdrawn
	ended.Rejected, ended.Ended = nil, []link.Ended{{Run: run, Sequence: 1, End: int(job.EndStopped)}}
	for name, c := range map[string]struct {
		then  link.Report
		after time.Duration
		waits bool
	}{
		"still withdrawn":                             {then: withdrawn, waits: true},
		"no start is outstanding":                     {then: rejected(report(1, time.Hour))},
		"agent restarted":                             {then: rejected(report(1, time.Second)), after: 2 * time.Second, waits: true},
		"agent restarted long ago":                    {then: rejected(report(1, startOutstanding+time.Second)), after: startOutstanding + 2*time.Second},
		"next incarnation has not answered":           {then: unconfirmed, waits: true},
		"next incarnation has begun the run":          {then: running, waits: true},
		"next incarnation rejects the run":            {then: rejected(report(2, time.Hour))},
		"no report since the start could be sent":     {after: agentLease + host.MaxCallDelay, waits: true},
		"no report since the run could have gone on":  {after: agentLease + agentLeaseMargin + startOutstanding + 10*time.Second},
		"worker is another one without the late call": {then: testReport("i2")},
	} {
		for state, first := range map[string]link.Report{"withdrawn": withdrawn, "ended": ended} {
			t.Run(state+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, a, other := kvtest.New(), &fakeAgent{vm: "vm"}, &fakeAgent{vm: "other"}
					leader := termWithStartTime(t, store, a)
					reportAndRun(t, leader, a, first)
					time.Sleep(c.after)
					if c.then.VM != "" {
						reportAndRun(t, leader, a, c.then)
					}
					free := testReport("i9")
					free.VM = "other"
					assert.NilError(t, leader.closures.Load(t.Context()))
					for range 10 {
						time.Sleep(100 * time.Millisecond)
						reportAndRun(t, leader, other, free)
						if c.then.VM != "" {
							reportAndRun(t, leader, a, c.then)
						}
					}
					assert.Equal(t, testTask(leader).Run() == 1, c.waits)
				})
			})
		}
	}
}

// TestRejectedRunStaysPlacedIfLeaderAndAgentAreNew guards against a second run beside the first: neither the leader nor the agent knows which starts of a run
// their predecessors have sent.
func TestRejectedRunStaysPlacedIfLeaderAndAgentAreNew(t *testing.T) {
	for age, phase := range map[time.Duration]job.Phase{time.Second: job.Placed, startOutstanding + time.Second: job.Waiting} {
		synctest.Test(t, func(t *testing.T) {
			store, a := kvtest.New(), &fakeAgent{vm: "vm"}
			termWithStartTime(t, store, a)
			leader := takeOverFrom(t, store, "f")
			report := reportWithStartTime(1)
			report.AgentAgeMillis, report.Draining = age.Milliseconds(), true
			report.Rejected = []link.Rejected{{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Refusal: int(host.RefusedOld)}}
			reportAndRun(t, leader, a, report)
			assert.Equal(t, testTask(leader).Phase(), phase)
		})
	}
}
