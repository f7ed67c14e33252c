package runner

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// ignoredLogInterval is the minimum time between log lines about ignored messages of the worker; all are counted.
const ignoredLogInterval = 2 * time.Second

// logOutdated counts and logs an answer or a report of the worker that is ignored because a later one is known.
func (r *Runner) logOutdated(kind string, id incarnation.ID, got, known int64) {
	r.config.Metrics.Counter("agent.overtaken").Inc(1)
	r.outdatedLog.Do(func() {
		r.logger.Warn("outdated %s of the worker ignored; instance=%s got=%d known=%d", kind, id, got, known)
	})
}

// checkAcknowledgement logs an acknowledgement beyond the ended runs that the worker lists: with it the worker discards ends that no leader has
// committed.
func (r *Runner) checkAcknowledgement(id incarnation.ID, acknowledged uint64, view host.View) {
	latest := uint64(0)
	for _, e := range view.Ended {
		latest = max(latest, e.Sequence)
	}
	if latest > 0 && latest <= acknowledged {
		r.config.Metrics.Counter("agent.acknowledged_beyond").Inc(1)
		r.logger.Warn("ended runs acknowledged beyond those listed; instance=%s acknowledged=%d shown=%d", id, acknowledged, latest)
	}
}

// logFirstAnswer logs the age of an incarnation at its first answer. Before that it may carry out calls to the previous one with the same id.
func (r *Runner) logFirstAnswer(id incarnation.ID) {
	if id.StartMillis() == 0 {
		return
	}
	// Both clocks are the VM's time of day.
	age := time.Now().UnixMilli() - id.StartMillis()
	r.config.Metrics.Histogram("agent.first_answer_ms").Update(age)
	r.logger.Info("first answer of a worker incarnation; instance=%s age_ms=%d", id, age)
}

// logUnexpectedRuns logs the runs of a new incarnation that this agent has not started there: their starts were sent to a previous one.
func (r *Runner) logUnexpectedRuns(view host.View) {
	runs := make([]host.Run, 0, len(view.Running)+len(view.Ended))
	for _, running := range view.Running {
		runs = append(runs, running.Run)
	}
	for _, e := range view.Ended {
		runs = append(runs, e.Run)
	}
	r.config.Metrics.Counter("agent.found_runs").Inc(int64(len(runs)))
	for _, run := range runs {
		r.logger.Warn("new incarnation has a run whose start was sent to a previous one; task=%s run=%d instance=%s",
			run.Task, run.Number, view.Incarnation)
	}
}
