package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// withRows returns a report with its runs encoded as rows.
func withRows(w *link.RowWriter, r link.Report) link.Report {
	r.Rows, r.RowNames = w.Write(r.Running)
	r.Running = nil
	return r
}

// TestRunsReportedAsRowsAreNotOrderedAgain checks that runs reported as rows count as running, also after reports with full names as agents of
// the previous release send them.
func TestRunsReportedAsRowsAreNotOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, writer := &fakeAgent{vm: "vm"}, link.NewRowWriter()
		leader := termWithPlacedTask(t, kvtest.New(), a)
		for percent, report := range []link.Report{
			runningReport(), withRows(writer, runningReport()), withRows(writer, runningReport()), withRows(writer, runningReport()),
		} {
			if report.Running == nil {
				assert.Equal(t, len(report.Rows), 1)
			}
			assert.Equal(t, len(report.RowNames) > 0, percent == 1, "names are sent once")
			time.Sleep(resendAfter + time.Millisecond)
			_, err := leader.report(fakeSession{a}, report)
			assert.NilError(t, err)
			a.pendingOrders = nil
			runCycle(t, leader)
			assert.Equal(t, len(a.pendingOrders), 0, "a running task is not ordered again")
		}
		assert.Equal(t, leader.hosts.get(job.Host{VM: "vm", Incarnation: incarnation.New("i1", 0)}).runs[job.TaskID{Job: testJob}].percent, 1)
	})
}

// TestRowsOfAnotherConnectionAreRejected checks that rows without the names of their connection are rejected, so that the agent connects again
// and sends all names again.
func TestRowsOfAnotherConnectionAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, writer := &fakeAgent{vm: "vm"}, link.NewRowWriter()
		leader := termWithPlacedTask(t, kvtest.New(), a)
		_, err := leader.report(fakeSession{a}, withRows(writer, runningReport()))
		assert.NilError(t, err)
		next := &fakeAgent{vm: "vm", session: 1}
		_, err = leader.report(fakeSession{next}, withRows(writer, runningReport()))
		assert.Equal(t, fault.KindOf(err), fault.Conflict)
		_, err = leader.report(fakeSession{next}, withRows(link.NewRowWriter(), runningReport()))
		assert.NilError(t, err)
	})
}

// TestEntriesAreSentOnce checks that an agent is sent the addresses of the entries only if it does not have the current version of the list.
func TestEntriesAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, kvtest.New(), a)
		answerTo := func(version uint64) link.ReportAnswer {
			r := runningReport()
			r.EntriesVersion = version
			answer, err := leader.report(fakeSession{a}, r)
			assert.NilError(t, err)
			return answer
		}
		first := answerTo(0)
		assert.DeepEqual(t, first.Entries, []string{"e"})
		assert.Equal(t, len(answerTo(first.EntriesVersion).Entries), 0)
		leader.recordPing(link.Ping{Address: "f"}, nil)
		second := answerTo(first.EntriesVersion)
		assert.DeepEqual(t, second.Entries, []string{"e", "f"})
		assert.Equal(t, len(answerTo(second.EntriesVersion).Entries), 0)
		assert.Equal(t, len(answerTo(first.EntriesVersion).Entries), 2)
	})
}
