package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
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
