package dispatch

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// reportOn returns a report of a worker on a VM.
func reportOn(vm string, stopping bool) link.Report {
	r := testReport("i-" + vm)
	r.VM, r.Stopping = vm, stopping
	return r
}

// TestWorkerOfAStoppingAgentIsTheLastChoice guards against tasks that are placed on a VM that may be about to be removed, and against a
// rolling restart of all agents that leaves no worker for new tasks.
func TestWorkerOfAStoppingAgentIsTheLastChoice(t *testing.T) {
	for name, test := range map[string]struct {
		othersStop bool
		expected   map[string]int
	}{
		"another worker has capacity": {false, map[string]int{"vm": 0, "w": 1}},
		"all agents stop":             {true, map[string]int{"vm": 1, "w": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader, a, other := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}, &fakeAgent{vm: "w"}
				if !test.othersStop {
					_, err := leader.report(fakeSession{other}, reportOn("w", false))
					assert.NilError(t, err)
				}
				reportAndRun(t, leader, a, reportOn("vm", true))
				for vm, runs := range test.expected {
					assert.Equal(t, len(leader.hostRuns(vm, "i-"+vm)), runs, vm)
				}
			})
		})
	}
}

// TestRunsStayWithAStoppingAgent guards against stops of runs that the next process of the agent takes over.
func TestRunsStayWithAStoppingAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		reportAndRun(t, leader, a, reportOn("vm", false))
		_, stops := reportAndRun(t, leader, a, withFirstRun(reportOn("vm", true)))
		assert.Equal(t, len(stops), 0)
		assert.Equal(t, len(leader.hostRuns("vm", "i-vm")), 1)
	})
}
