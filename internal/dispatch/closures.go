package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// watchClosures follows the halls that the operators close and open again.
func (t *term) watchClosures(ctx context.Context) error {
	t.closures.Run(ctx, t.wakeUp)
	return ctx.Err()
}

// hallClosed reports whether a worker is in a hall that the operators have hallClosed.
func (t *term) hallClosed(host job.Host) bool {
	return t.closures.Status(t.hallOf(host)).Closed
}

// hallOf returns the hall of a worker, empty while its agent has not told.
func (t *term) hallOf(host job.Host) string {
	if a := t.agents[host.VM]; a != nil {
		return a.hall
	}
	return ""
}

// closuresConfirmed reports whether the lead knows which halls are closed; it logs when that changes.
func (t *term) closuresConfirmed() bool {
	stale := t.closures.Stale()
	switch {
	case stale && !t.closuresUnconfirmed:
		t.logger.Warn("nothing is placed; reason=the store has not confirmed of late which halls are closed")
	case !stale && t.closuresUnconfirmed:
		t.logger.Info("tasks are placed again; the store has confirmed which halls are closed")
	}
	t.closuresUnconfirmed = stale
	return !stale
}

// hallStatus returns what agents are told of a hall.
func (t *term) hallStatus(name string) link.Hall {
	status := t.closures.Status(name)
	return link.Hall{Closed: status.Closed, Revision: uint64(status.Revision)}
}

// closedHall is since when a hall is closed and what is left in it.
type closedHall struct {
	since                         time.Time
	workers, running, longRunning int
}

// closedHalls returns what is left in each closed hall.
func (t *term) closedHalls() map[string]*closedHall {
	left := make(map[string]*closedHall)
	for name, since := range t.closures.Closed() {
		left[name] = &closedHall{since: since}
	}
	for _, h := range t.hosts.all() {
		if l := left[t.hallOf(h.worker.Host)]; l != nil {
			l.add(h)
		}
	}
	return left
}

// add counts a worker of the hall and what runs there.
func (l *closedHall) add(h *hostState) {
	l.workers++
	for _, p := range h.runs {
		l.running++
		if p.step.LongRunning {
			l.longRunning++
		}
	}
}

// logClosures tells what is left in each closed hall.
func (t *term) logClosures() {
	left := t.closedHalls()
	for _, name := range slices.Sorted(maps.Keys(left)) {
		l := left[name]
		t.logger.Info("hall is closed; hall=%s closed_ms=%d workers=%d running=%d lasting=%d",
			name, time.Since(l.since).Milliseconds(), l.workers, l.running, l.longRunning)
	}
}

// registerClosures registers how many halls are closed and how many runs are left there; an entry that does not lead has none.
func (d *Dispatcher) registerClosures() {
	d.config.Metrics.Gauge("lead.closed_halls", func() int64 { return int64(len(d.closedHalls())) })
	d.config.Metrics.Gauge("lead.closed_running", func() int64 {
		running := 0
		for _, l := range d.closedHalls() {
			running += l.running
		}
		return int64(running)
	})
}

func (d *Dispatcher) closedHalls() map[string]*closedHall {
	t := d.term.Load()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closedHalls()
}
