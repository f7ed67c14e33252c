package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// watchClosures follows which halls the operators close and reopen.
func (t *term) watchClosures(ctx context.Context) error {
	t.closures.Run(ctx, t.notifyChange)
	return ctx.Err()
}

// hallClosed reports whether a worker is in a hall that the operators have closed.
func (t *term) hallClosed(host job.Host) bool {
	return t.closures.Status(t.hallOf(host)).Closed
}

// hallOf returns the hall of a worker, empty until its agent has reported it.
func (t *term) hallOf(host job.Host) string {
	if a := t.agents[host.VM]; a != nil {
		return a.hall
	}
	return ""
}

// closuresConfirmed reports whether the leader has a recent confirmation of which halls are closed; it logs changes.
func (t *term) closuresConfirmed() bool {
	stale := t.closures.Stale()
	switch {
	case stale && !t.closuresUnconfirmed:
		t.logger.Warn("placement is suspended; reason=the store has not recently confirmed which halls are closed")
	case !stale && t.closuresUnconfirmed:
		t.logger.Info("placement is resumed; the store has confirmed which halls are closed")
	}
	t.closuresUnconfirmed = stale
	return !stale
}

// hallStatus returns the status of a hall as it is sent to agents.
func (t *term) hallStatus(name string) link.Hall {
	status := t.closures.Status(name)
	return link.Hall{Closed: status.Closed, Revision: uint64(status.Revision)}
}

// closedHall counts the workers and runs that are left in a closed hall.
type closedHall struct {
	since                         time.Time
	workers, running, longRunning int
}

// closedHalls returns the workers and runs left in each closed hall, by name.
func (t *term) closedHalls() map[string]*closedHall {
	halls := make(map[string]*closedHall)
	for name, since := range t.closures.Closed() {
		halls[name] = &closedHall{since: since}
	}
	for _, h := range t.hosts.all() {
		if hall := halls[t.hallOf(h.worker.Host)]; hall != nil {
			hall.add(h)
		}
	}
	return halls
}

// add counts a worker of the hall and its runs.
func (c *closedHall) add(h *hostState) {
	c.workers++
	for _, p := range h.runs {
		c.running++
		if p.step.LongRunning {
			c.longRunning++
		}
	}
}

// logClosures logs the workers and runs left in each closed hall.
func (t *term) logClosures() {
	halls := t.closedHalls()
	for _, name := range slices.Sorted(maps.Keys(halls)) {
		closed := halls[name]
		t.logger.Info("hall is closed; hall=%s closed_ms=%d workers=%d running=%d lasting=%d",
			name, time.Since(closed.since).Milliseconds(), closed.workers, closed.running, closed.longRunning)
	}
}

// registerClosures registers the metrics of closed halls and of runs left there; both are 0 unless this entry leads.
func (d *Dispatcher) registerClosures() {
	d.config.Metrics.Gauge("lead.closed_halls", func() int64 { return int64(len(d.closedHalls())) })
	d.config.Metrics.Gauge("lead.closed_running", func() int64 {
		running := 0
		for _, hall := range d.closedHalls() {
			running += hall.running
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
