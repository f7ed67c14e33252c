package agent

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// run is the agent's state of one run of a task on its worker.
type run struct {
	status        worker.Status
	desired       control.DesiredRun
	wanted        bool
	started       bool
	adopted       bool
	startedAt     time.Time
	drainDeadline time.Time
	evicting      bool
	finalState    task.State
	report        *control.Report
}

// end sets the final state of a run and builds its report; later calls have no effect.
func (r *run) end(state task.State, checkpoint string, now time.Time) {
	if r.report != nil {
		return
	}
	r.finalState = state
	r.report = &control.Report{Run: control.EncodeRun(r.status.Run()), State: state.String(), Checkpoint: checkpoint}
	if !r.adopted && state == task.Finished && r.status.Checkpoint() == "" {
		r.report.RuntimeMillis = now.Sub(r.startedAt).Milliseconds()
	}
}

func (r *run) hasEnded() bool { return r.report != nil }
