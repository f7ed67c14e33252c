package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// orderTimeout bounds how long an agent may take to acknowledge orders, which it does before it carries them out.
const orderTimeout = 800 * time.Millisecond

// maxOrdersBytes is the size of one message with orders, well below the limit of a connection: a larger one would end each session in turn.
const maxOrdersBytes = rpc.MaxMessage / 2

// session is the connection of an agent.
type session interface {
	// number returns a number that rises with each session.
	number() uint64
	// send sends orders to the agent and waits until it acknowledges them.
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

// orderStart orders the start of a committed run; without a reachable agent it is ordered once the agent reports. If the hall has been closed
// since, the run is stopped instead, because an earlier order may have arrived.
func (t *term) orderStart(host job.Host, id job.TaskID, p *placedRun) {
	tracked := t.jobs[id.Job]
	if tracked == nil || t.closures.Stale() {
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
	p.startSentAt, p.neverHad, p.settled = time.Now(), false, false
	if p.orderedAt.IsZero() {
		p.orderedAt = p.startSentAt
	}
	checkpoint := tracked.job.Task(id).Checkpoint()
	if p.step.Gang {
		checkpoint = tracked.job.GangCheckpoint(id.Iteration, id.Step)
	}
	if !p.step.Checkpoints {
		checkpoint = ""
	}
	p.timing.recordStart(time.Now(), checkpoint)
	orders.Starts = append(orders.Starts, link.Start{
		Profile: profileOf(p.step, link.NewRun(id, p.number)), Checkpoint: checkpoint, Ticket: t.ticket(host, id),
	})
	orders.Texts[string(id.Job)] = tracked.job.Spec().Text
}

// orderStop orders the stop of a run, which need not be placed, and reports whether the agent is reachable.
func (t *term) orderStop(host job.Host, id job.TaskID, run int) bool {
	orders := t.ordersFor(host)
	if orders == nil {
		return false
	}
	orders.Stops = append(orders.Stops, link.NewRun(id, run))
	return true
}

// ordersFor returns the pending orders for the agent of a worker, nil if the agent is unreachable.
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

// flush sends the pending orders, each in a goroutine of its own, since calls to agents must not hold the lock.
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

// send sends orders in messages of at most maxOrdersBytes, one after the other.
func (t *term) send(vm string, host job.Host, s session, orders link.Orders) {
	for _, part := range orders.Split(maxOrdersBytes) {
		if err := s.send(part); err != nil {
			t.logger.Warn("orders were not acknowledged and the agent session is closed; vm=%s starts=%d stops=%d reason=%v",
				vm, len(orders.Starts), len(orders.Stops), err)
			t.markUnsent(host, orders)
			s.close()
			return
		}
	}
}

// markUnsent records that orders may not have arrived, so that those missing from the agent's next report are sent again at once.
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

// ticket returns the ticket to send with a start of a task on a worker, empty if the advisor gave none.
func (t *term) ticket(h job.Host, id job.TaskID) string {
	stepAdvice := t.advice[stepID{id.Job, id.Iteration, id.Step}]
	if stepAdvice == nil {
		return ""
	}
	return stepAdvice.answers[h.Incarnation].ticket
}
