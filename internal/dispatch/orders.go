package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// orderTimeout bounds how long an agent may take to acknowledge orders; it does so before it carries them out.
const orderTimeout = 800 * time.Millisecond

// session is the connection of an agent.
type session interface {
	// number tells the order in which sessions began.
	number() uint64
	// send hands the agent orders and waits until it has them.
	send(orders link.Orders) error
	close()
}

// connection is the session of an agent that reports over RPC.
type connection struct{ peer *rpc.Peer }

func (c connection) send(orders link.Orders) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	_, err := rpc.Call[link.Orders, link.Empty](ctx, c.peer, link.MethodOrders, orders)
	return err
}

func (c connection) number() uint64 { return c.peer.Number() }

func (c connection) close() { c.peer.Close() }

// orderStart orders a committed run; a run without a reachable agent is ordered once its agent reports. In a hall that was closed
// meanwhile it is taken back by a stop in place of that, since an earlier order may have arrived.
func (t *term) orderStart(host job.Host, id job.TaskID, p *placedRun) {
	known := t.jobs[id.Job]
	if known == nil || t.closures.Stale() {
		return
	}
	if t.hallClosed(host) {
		t.stopRun(host, id, p)
		return
	}
	orders := t.ordersFor(host)
	if orders == nil {
		return
	}
	p.startSentAt = time.Now()
	checkpoint := known.job.Task(id).Checkpoint()
	if p.step.Gang {
		checkpoint = known.job.GangCheckpoint(id.Iteration, id.Step)
	}
	if !p.step.Checkpoints {
		checkpoint = ""
	}
	orders.Starts = append(orders.Starts, link.Start{
		Profile: profileOf(p.step, link.NewRun(id, p.number)), Checkpoint: checkpoint, Ticket: t.ticket(host, id),
	})
	orders.Texts[string(id.Job)] = known.job.Spec().Text
}

// orderStop orders the end of a run, also of one that is not placed, and reports whether its agent can be reached.
func (t *term) orderStop(host job.Host, id job.TaskID, run int) bool {
	orders := t.ordersFor(host)
	if orders == nil {
		return false
	}
	orders.Stops = append(orders.Stops, link.NewRun(id, run))
	return true
}

// ordersFor returns the orders that are gathered for a worker's agent, nil where that cannot be reached.
func (t *term) ordersFor(host job.Host) *link.Orders {
	a := t.agents[host.VM]
	if a == nil || a.session == nil || a.host != host {
		return nil
	}
	if a.pendingOrders == nil {
		a.pendingOrders = &link.Orders{
			Epoch: t.epoch, Instance: host.Incarnation.Worker(), StartMillis: host.Incarnation.StartMillis(), Texts: make(map[string]string), Hall: t.hallStatus(a.hall),
		}
	}
	return a.pendingOrders
}

// flush sends the gathered orders; the agents' connections are used outside the lock.
func (t *term) flush() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.agents {
		if a.pendingOrders == nil || a.session == nil {
			continue
		}
		go t.send(a.vm, a.host, a.session, *a.pendingOrders)
		a.pendingOrders = nil
	}
}

func (t *term) send(vm string, host job.Host, s session, orders link.Orders) {
	if err := s.send(orders); err != nil {
		t.logger.Warn("orders were not acknowledged and the agent is dropped; vm=%s starts=%d stops=%d reason=%v",
			vm, len(orders.Starts), len(orders.Stops), err)
		t.markUnsent(host, orders)
		s.close()
	}
}

// markUnsent takes note that orders may not have arrived: the agent's next report shows which of them are to be given again.
func (t *term) markUnsent(host job.Host, orders link.Orders) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts.get(host)
	if h == nil {
		return
	}
	for _, start := range orders.Starts {
		if p := h.findRun(start.Run); p != nil {
			p.startSentAt = time.Time{}
		}
	}
	for _, stop := range orders.Stops {
		if p := h.findRun(stop); p != nil {
			p.stopSentAt = time.Time{}
		}
	}
}

// ticket returns what a start on a worker brings for an advised queue, empty where none is known.
func (t *term) ticket(h job.Host, id job.TaskID) string {
	known := t.advice[stepID{id.Job, id.Iteration, id.Step}]
	if known == nil {
		return ""
	}
	return known.tickets[h.Incarnation]
}
