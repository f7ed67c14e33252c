package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/link"
)

// watchClosures follows the halls that the operators close and open again.
func (t *term) watchClosures(ctx context.Context) error {
	t.closures.Notify(t.wakeUp)
	t.closures.Run(ctx)
	return ctx.Err()
}

// closed reports whether a worker is in a hall that the operators have closed.
func (t *term) closed(h *hosted) bool {
	return h != nil && t.closures.Status(h.hall).Closed
}

// confirmed reports whether the lead knows which halls are closed; it logs when that changes.
func (t *term) confirmed() bool {
	stale := t.closures.Stale()
	switch {
	case stale && !t.unconfirmed:
		t.logger.Warn("nothing is placed; reason=the store has not confirmed of late which halls are closed")
	case !stale && t.unconfirmed:
		t.logger.Info("tasks are placed again; the store has confirmed which halls are closed")
	}
	t.unconfirmed = stale
	return !stale
}

// hallStatus returns what agents are told of a hall.
func (t *term) hallStatus(name string) link.Hall {
	status := t.closures.Status(name)
	return link.Hall{Closed: status.Closed, Revision: uint64(status.Revision)}
}

// closedLoad is what is left in a closed hall.
type closedLoad struct{ workers, running, lasting int }

// logClosures tells what is left in each closed hall, in the log and as metrics.
func (t *term) logClosures() {
	halls, since := t.closures.Closed()
	left := make(map[string]*closedLoad, len(halls))
	for _, name := range halls {
		left[name] = &closedLoad{}
	}
	running := 0
	for _, h := range t.hosts {
		l := left[h.hall]
		if l == nil {
			continue
		}
		running += len(h.runs)
		l.add(h)
	}
	for _, name := range halls {
		l := left[name]
		t.logger.Info("hall is closed; hall=%s closed_ms=%d workers=%d running=%d lasting=%d",
			name, time.Since(since[name]).Milliseconds(), l.workers, l.running, l.lasting)
	}
	t.d.config.Metrics.Level("lead.closed_halls").Update(int64(len(halls)))
	t.d.config.Metrics.Level("lead.closed_running").Update(int64(running))
}

// add counts a worker of the hall and what runs there.
func (l *closedLoad) add(h *hosted) {
	l.workers++
	for _, p := range h.runs {
		l.running++
		if p.step.Lasting {
			l.lasting++
		}
	}
}
