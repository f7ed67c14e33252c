package runner

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// ignoredLogInterval bounds the log lines about what an agent ignores of its worker; all of it is counted.
const ignoredLogInterval = 2 * time.Second

// logOutdated logs an answer or a report of the worker that is ignored because a later one is known.
func (r *Runner) logOutdated(what string, id incarnation.ID, got, known int64) {
	r.config.Metrics.Counter("agent.overtaken").Inc(1)
	r.outdatedLog.Do(func() {
		r.logger.Warn("overtaken %s of the worker is ignored; instance=%s got=%d known=%d", what, id, got, known)
	})
}

// checkAcknowledgement logs an acknowledgement beyond the ends that the worker has shown: it lets ends go that nobody has committed.
func (r *Runner) checkAcknowledgement(id incarnation.ID, seen uint64, view host.View) {
	latest := uint64(0)
	for _, e := range view.Ended {
		latest = max(latest, e.Sequence)
	}
	if latest > 0 && latest <= seen {
		r.config.Metrics.Counter("agent.acknowledged_beyond").Inc(1)
		r.logger.Warn("ends are acknowledged beyond those shown; instance=%s acknowledged=%d shown=%d", id, seen, latest)
	}
}

// logFirstAnswer logs how long after its birth an incarnation first answered. Until then it may carry out what was sent to one before under its id.
func (r *Runner) logFirstAnswer(id incarnation.ID) {
	if id.StartMillis() == 0 {
		return
	}
	// Both are of one VM, and so of one time of day.
	age := time.Now().UnixMilli() - id.StartMillis()
	r.config.Metrics.Histogram("agent.first_answer_ms").Update(age)
	r.logger.Info("worker incarnation answers first; instance=%s age_ms=%d", id, age)
}

// logUnexpectedRuns logs what a new incarnation has or had before this agent started anything there: starts that were sent to one before.
func (r *Runner) logUnexpectedRuns(view host.View) {
	found := make([]host.Run, 0, len(view.Running)+len(view.Ended))
	for _, running := range view.Running {
		found = append(found, running.Run)
	}
	for _, e := range view.Ended {
		found = append(found, e.Run)
	}
	r.config.Metrics.Counter("agent.found_runs").Inc(int64(len(found)))
	for _, run := range found {
		r.logger.Warn("a new incarnation has a run that it was not started with; task=%s run=%d instance=%s",
			run.Task, run.Number, view.Incarnation)
	}
}
