package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// orderPatience bounds how long an agent may take to acknowledge orders; it does so before it carries them out.
const orderPatience = 800 * time.Millisecond

// orderStart orders a committed run; a run without a reachable agent is ordered once its agent reports.
func (t *term) orderStart(h job.Host, id job.TaskID, p *placed) {
	known := t.jobs[id.Job]
	if known == nil {
		return
	}
	p.sent = time.Now()
	orders := t.ordersFor(h)
	if orders == nil {
		return
	}
	checkpoint := known.job.Task(id).Checkpoint()
	if p.step.Gang {
		checkpoint = known.job.GangCheckpoint(id.Time, id.Step)
	}
	if !p.step.Checkpoints {
		checkpoint = ""
	}
	orders.Starts = append(orders.Starts, link.Start{
		Profile: profileOf(p.step, link.Run{Task: id.String(), Number: p.run}), Checkpoint: checkpoint,
	})
	orders.Texts[string(id.Job)] = known.job.Spec().Text
}

func (t *term) orderStop(h job.Host, id job.TaskID, run int) {
	if orders := t.ordersFor(h); orders != nil {
		orders.Stops = append(orders.Stops, link.Run{Task: id.String(), Number: run})
	}
}

// ordersFor returns the orders that are gathered for a worker's agent, nil where that cannot be reached.
func (t *term) ordersFor(h job.Host) *link.Orders {
	a := t.agents[h.VM]
	if a == nil || a.peer == nil || a.host != h {
		return nil
	}
	if a.orders == nil {
		a.orders = &link.Orders{Epoch: t.epoch, Texts: make(map[string]string)}
	}
	return a.orders
}

// flush sends the gathered orders; the agents' connections are used outside the lock.
func (t *term) flush() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.agents {
		if a.orders == nil || a.peer == nil {
			continue
		}
		go t.send(a.vm, a.peer, *a.orders)
		a.orders = nil
	}
}

func (t *term) send(vm string, p *rpc.Peer, orders link.Orders) {
	ctx, cancel := context.WithTimeout(context.Background(), orderPatience)
	defer cancel()
	if _, err := rpc.Call[link.Orders, link.Empty](ctx, p, link.MethodOrders, orders); err != nil {
		t.logger.Warn("orders were not acknowledged and the agent is dropped; vm=%s starts=%d stops=%d reason=%v",
			vm, len(orders.Starts), len(orders.Stops), err)
		p.Close()
	}
}
