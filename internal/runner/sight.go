package runner

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// sightEvery bounds the log lines about what an agent ignores of its worker; all of it is counted.
const sightEvery = 2 * time.Second

// logOvertaken logs an answer or a report of the worker that is ignored because a later one is known.
func (r *Runner) logOvertaken(what string, id incarnation.ID, got, known int64) {
	r.config.Metrics.Counter("agent.overtaken").Inc(1)
	r.overtaken.Do(func() {
		r.logger.Warn("overtaken %s of the worker is ignored; instance=%s got=%d known=%d", what, id, got, known)
	})
}

// checkAcknowledged logs an acknowledgement beyond the ends that the worker has shown: it lets ends go that nobody has committed.
func (r *Runner) checkAcknowledged(id incarnation.ID, seen uint64, view host.View) {
	latest := uint64(0)
	for _, e := range view.Ended {
		latest = max(latest, e.Number)
	}
	if latest > 0 && latest <= seen {
		r.config.Metrics.Counter("agent.acknowledged_beyond").Inc(1)
		r.logger.Warn("ends are acknowledged beyond those shown; instance=%s acknowledged=%d shown=%d", id, seen, latest)
	}
}
