package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// TestIdleReasonOfLongRunningTask checks the reason that is logged for each way in which a long-running task may not run.
func TestIdleReasonOfLongRunningTask(t *testing.T) {
	id := job.TaskID{Job: testJob}
	for reason, change := range map[string]func(*term, *placedRun){
		"":                                           func(*term, *placedRun) {},
		"its placement is not committed":             func(_ *term, p *placedRun) { p.committed = false },
		"its stop is not confirmed":                  func(_ *term, p *placedRun) { p.stopping = true },
		"its agent has not reported":                 func(leader *term, _ *placedRun) { delete(leader.agents, "vm") },
		"its agent has not confirmed the worker":     func(leader *term, _ *placedRun) { leader.agents["vm"].host = job.Host{} },
		"its agent no longer confirms the worker":    func(leader *term, _ *placedRun) { leader.agents["vm"].confirmedAt = time.Time{} },
		"its start is not sent":                      func(_ *term, p *placedRun) { p.startSentAt, p.reportedAt = time.Time{}, time.Time{} },
		"its worker does not list it":                func(_ *term, p *placedRun) { p.reportedAt = time.Time{} },
		"the worker that it is placed on is unknown": func(leader *term, _ *placedRun) { leader.hosts.remove(testTask(leader).Host()) },
		"no worker was found for it":                 func(leader *term, _ *placedRun) { leader.jobs[testJob].job.Unplace(id, 1) },
		"placement is suspended": func(leader *term, _ *placedRun) {
			leader.jobs[testJob].job.Unplace(id, 1)
			leader.closuresUnconfirmed = true
		},
		"its restart is delayed": func(leader *term, _ *placedRun) {
			leader.jobs[testJob].job.Unplace(id, 1)
			leader.jobs[testJob].backoffs[id] = backoff{until: time.Now().Add(time.Second)}
		},
	} {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				leader := termWithStartTime(t, kvtest.New(), a)
				reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
				change(leader, leader.hosts.get(testTask(leader).Host()).runs[id])
				assert.Equal(t, leader.idleReason(leader.jobs[testJob], id, testTask(leader), time.Now()), reason)
			})
		})
	}
}

// TestIdleTaskIsLoggedAtAnInterval checks that a task that does not run is due for a log line after idleLogDelay, and once per idleLogDelay then.
func TestIdleTaskIsLoggedAtAnInterval(t *testing.T) {
	leader, start, due := testTerm(t, kvtest.New()), time.Now(), 0
	tracked, id := leader.jobs[testJob], job.TaskID{Job: testJob}
	for elapsed := time.Duration(0); elapsed <= 3*idleLogDelay; elapsed += loadLogInterval / 2 {
		if tracked.idleLogDue(id, "reason", start.Add(elapsed)) {
			due++
		}
	}
	assert.Equal(t, due, 3)
	assert.Assert(t, !tracked.idleLogDue(id, "", start.Add(4*idleLogDelay)))
	assert.Equal(t, len(tracked.idleTasks), 0)
}
