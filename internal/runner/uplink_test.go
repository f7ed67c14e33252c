package runner

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// TestReportsUseRowsOnceTheLeaderReadsThem also checks that a leader of the previous release, which numbers no list of entries, gets full reports.
func TestReportsUseRowsOnceTheLeaderReadsThem(t *testing.T) {
	running := []link.Running{{Run: link.NewRun(job.TaskID{Job: "00000000000000aa"}, 1), Percent: 7}}
	for list, rows := range map[uint64]int{0: 0, 3: 1} {
		u := &uplink{}
		for n := range 3 {
			report := link.Report{Running: running}
			u.compact(&report)
			if n == 0 {
				assert.Equal(t, len(report.Running), 1, "nothing is known of the leader yet")
			} else {
				assert.Equal(t, len(report.Rows), rows)
				assert.Equal(t, len(report.Running), 1-rows)
				assert.Equal(t, report.EntriesVersion, list)
			}
			u.applyAnswer(link.ReportAnswer{EntriesVersion: list})
		}
	}
}

// TestLongCheckpointsDoNotOutgrowAReport guards against an agent that can't report any more: its report, with the checkpoints of hundreds of runs, was
// over the limit of a message, which ended each of its connections to the leader.
func TestLongCheckpointsDoNotOutgrowAReport(t *testing.T) {
	const runs = 400
	r := newTest(&fakeWorker{})
	view := host.View{}
	for n := range runs {
		checkpoint := strings.Repeat("<é", 900+n)
		view.Ended = append(view.Ended, host.EndedRun{Sequence: uint64(n + 1), Run: testRun(n + 1), Checkpoint: checkpoint})
		other := host.Run{Task: job.TaskID{Job: "00000000000000bb", Index: n}, Number: 1}
		view.Running = append(view.Running, host.Running{Run: other, Checkpoint: checkpoint})
	}
	u := &uplink{}
	reported := 0
	for reports := 0; reported < runs; reports++ {
		assert.Assert(t, reports < runs, "%d of %d ends are reported", reported, runs)
		r.recordRenewal(t.Context(), testID, host.Renewal{}, view)
		report, _ := r.compose()
		u.compact(&report)
		u.applyAnswer(link.ReportAnswer{EntriesVersion: 1})
		encoded, err := json.Marshal(report)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) < rpc.MaxMessage, "the report has %d bytes", len(encoded))
		assert.Equal(t, len(report.Running)+len(report.Rows), runs)
		for _, e := range report.Ended {
			reported++
			assert.Equal(t, e.Sequence, uint64(reported))
		}
		assert.Equal(t, report.MoreEnds, reported < runs)
		view.Ended = view.Ended[len(report.Ended):]
	}
}

// TestCheckpointTooLongForAReportIsGivenUp guards against an end that is never reported since its checkpoint fits into no message.
func TestCheckpointTooLongForAReportIsGivenUp(t *testing.T) {
	r := newTest(&fakeWorker{})
	end := host.EndedRun{Sequence: 1, Run: testRun(1), Checkpoint: strings.Repeat("c", rpc.MaxMessage)}
	r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Ended: []host.EndedRun{end}})
	report, _ := r.compose()
	assert.Equal(t, len(report.Ended), 1)
	assert.Equal(t, len(report.Ended[0].Checkpoint), 0)
	assert.Assert(t, !report.MoreEnds)
}
