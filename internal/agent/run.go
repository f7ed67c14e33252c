package agent

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// run is what the agent knows of one run on its worker.
type run struct {
	status  worker.Status
	desired control.DesiredRun
	wanted  bool
	started bool
	adopted bool
	began   time.Time
	drainBy time.Time
	checked bool
	final   task.State
	report  *control.Report
}

// end sets the final state of a run, once.
func (r *run) end(state task.State, checkpoint string, now time.Time) {
	if r.report != nil {
		return
	}
	r.final = state
	r.report = &control.Report{Run: control.EncodeRun(r.status.Run()), State: state.String(), Checkpoint: checkpoint}
	if !r.adopted && state == task.Finished && r.status.Checkpoint() == "" {
		r.report.RuntimeMillis = now.Sub(r.began).Milliseconds()
	}
}

func (r *run) hasEnded() bool { return r.report != nil }
