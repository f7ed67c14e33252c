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

// withRows returns a report with its runs as rows.
func withRows(w *link.RowWriter, r link.Report) link.Report {
	r.Rows, r.Named = w.Write(r.Running)
	r.Running = nil
	return r
}

// TestRunsReportedAsRowsAreNotOrderedAgain, also beside such as tell names each time, as agents of the release before do.
func TestRunsReportedAsRowsAreNotOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, writer := &fakeAgent{vm: "vm"}, link.NewRowWriter()
		lead := termWithPlacedTask(t, kvtest.New(), a)
		for percent, report := range []link.Report{
			runningReport(), withRows(writer, runningReport()), withRows(writer, runningReport()), withRows(writer, runningReport()),
		} {
			if report.Running == nil {
				assert.Equal(t, len(report.Rows), 1)
			}
			assert.Equal(t, len(report.Named) > 0, percent == 1, "names are told once")
			time.Sleep(resendAfter + time.Millisecond)
			_, err := lead.report(fakeSession{a}, report)
			assert.NilError(t, err)
			a.pendingOrders = nil
			runCycle(t, lead)
			assert.Equal(t, len(a.pendingOrders), 0, "what runs is not ordered again")
		}
		assert.Equal(t, lead.hosts.get(job.Host{VM: "vm", Incarnation: incarnation.New("i1", 0)}).runs[job.TaskID{Job: testJob}].percent, 1)
	})
}

// TestRowsOfAnotherConnectionAreRejected, so that the agent connects anew and tells all names again.
func TestRowsOfAnotherConnectionAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, writer := &fakeAgent{vm: "vm"}, link.NewRowWriter()
		lead := termWithPlacedTask(t, kvtest.New(), a)
		_, err := lead.report(fakeSession{a}, withRows(writer, runningReport()))
		assert.NilError(t, err)
		next := &fakeAgent{vm: "vm", session: 1}
		_, err = lead.report(fakeSession{next}, withRows(writer, runningReport()))
		assert.Equal(t, fault.KindOf(err), fault.Conflict)
		_, err = lead.report(fakeSession{next}, withRows(link.NewRowWriter(), runningReport()))
		assert.NilError(t, err)
	})
}

// TestEntriesAreSentOnce, and again once there is another.
func TestEntriesAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithPlacedTask(t, kvtest.New(), a)
		told := func(has uint64) link.ReportAnswer {
			r := runningReport()
			r.List = has
			answer, err := lead.report(fakeSession{a}, r)
			assert.NilError(t, err)
			return answer
		}
		first := told(0)
		assert.DeepEqual(t, first.Entries, []string{"e"})
		assert.Equal(t, len(told(first.List).Entries), 0)
		lead.recordPing(link.Ping{Address: "f"}, nil)
		second := told(first.List)
		assert.DeepEqual(t, second.Entries, []string{"e", "f"})
		assert.Equal(t, len(told(second.List).Entries), 0)
		assert.Equal(t, len(told(first.List).Entries), 2)
	})
}
