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

// inRows returns a report with its runs as rows.
func inRows(w *link.RowWriter, r link.Report) link.Report {
	r.Rows, r.Named = w.Write(r.Running)
	r.Running = nil
	return r
}

// TestReportsInRowsShowWhatRuns, also beside such as tell names each time, as agents of the release before do.
func TestReportsInRowsShowWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, writer := &fakeAgent{vm: "vm"}, link.NewRowWriter()
		lead := placedTerm(t, kvtest.New(), a)
		for percent, report := range []link.Report{
			lateReport(), inRows(writer, lateReport()), inRows(writer, lateReport()), inRows(writer, lateReport()),
		} {
			if report.Running == nil {
				assert.Equal(t, len(report.Rows), 1)
			}
			assert.Equal(t, len(report.Named) > 0, percent == 1, "names are told once")
			time.Sleep(resendAfter + time.Millisecond)
			_, err := lead.report(mailbox{a}, report)
			assert.NilError(t, err)
			a.mail = nil
			work(t, lead)
			assert.Equal(t, len(a.mail), 0, "what runs is not ordered again")
		}
		assert.Equal(t, lead.hosts.get(job.Host{VM: "vm", Incarnation: incarnation.New("i1", 0)}).runs[job.TaskID{Job: lateJob}].percent, 1)
	})
}

// TestRowsOfAnotherConnectionAreRefused, so that the agent connects anew and tells all names again.
func TestRowsOfAnotherConnectionAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, writer := &fakeAgent{vm: "vm"}, link.NewRowWriter()
		lead := placedTerm(t, kvtest.New(), a)
		_, err := lead.report(mailbox{a}, inRows(writer, lateReport()))
		assert.NilError(t, err)
		next := &fakeAgent{vm: "vm", session: 1}
		_, err = lead.report(mailbox{next}, inRows(writer, lateReport()))
		assert.Equal(t, fault.KindOf(err), fault.Conflict)
		_, err = lead.report(mailbox{next}, inRows(link.NewRowWriter(), lateReport()))
		assert.NilError(t, err)
	})
}

// TestEntriesAreToldOnce, and again once there is another.
func TestEntriesAreToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := placedTerm(t, kvtest.New(), a)
		told := func(has uint64) link.ReportAnswer {
			r := lateReport()
			r.List = has
			answer, err := lead.report(mailbox{a}, r)
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
