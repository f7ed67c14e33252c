package leader

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

// Subscribe returns the summary of the cell to an entry and pushes later summaries to it.
func (l *Leader) Subscribe(_ context.Context, p *rpc.Peer, s control.Subscribe) (control.SubscribeAnswer, error) {
	l.mu.Lock()
	if _, ok := l.subscribers[p]; !ok {
		l.subscribers[p] = struct{}{}
		go l.unsubscribe(p)
	}
	summary := l.summary
	answer := control.SubscribeAnswer{Load: l.load(), LeaseExpired: !l.holdsLease(time.Now())}
	l.mu.Unlock()
	if s.Received != summary.Position {
		answer.Summary = &summary
	}
	return answer, nil
}

func (l *Leader) unsubscribe(p *rpc.Peer) {
	select {
	case <-p.Done():
	case <-l.done:
	}
	l.mu.Lock()
	delete(l.subscribers, p)
	l.mu.Unlock()
}

// load returns the load of the cell, by which entries choose the cell of a job; l.mu is held.
func (l *Leader) load() control.Load {
	load := control.Load{Waiting: len(l.waiting)}
	var largest resource.Vector
	for _, a := range l.agents {
		load.Capacity += a.capacity.Processors()
		largest = largest.Max(a.capacity)
	}
	load.Largest = control.EncodeSize(largest)
	load.Free = load.Capacity
	d, _, _ := l.document.Current()
	for _, t := range d.Tasks() {
		if t.IsPlaced() {
			load.Free -= t.Size().Processors()
		}
	}
	return load
}

// endpoints returns the serving replicas of the cell in a fixed order; l.mu is held.
func (l *Leader) endpoints() []control.Endpoint {
	var endpoints []control.Endpoint
	for instance, a := range l.agents {
		if l.vmStates[instance] != vmlist.Gone {
			endpoints = append(endpoints, a.endpoints(instance, l.isLeaving(instance))...)
		}
	}
	slices.SortFunc(endpoints, func(a, b control.Endpoint) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Instance, b.Instance))
	})
	return endpoints
}

// endpoints returns the serving replicas on the agent's VM.
func (a *agentView) endpoints(instance string, leaving bool) []control.Endpoint {
	var endpoints []control.Endpoint
	for _, s := range a.statuses {
		if !s.serves || s.state != task.Running {
			continue
		}
		endpoints = append(endpoints, control.Endpoint{
			Service: s.workload, Instance: instance, Boot: a.boot, Address: a.profile.Requests,
			Hall: a.profile.Hall, Slots: a.profile.Slots, Leaving: leaving || a.stopping,
		})
	}
	return endpoints
}

// publishSummary pushes the endpoints to the subscribed entries if they changed.
func (l *Leader) publishSummary() {
	l.mu.Lock()
	endpoints := l.endpoints()
	if l.summary.Position.Epoch == l.epoch && slices.Equal(endpoints, l.summary.Endpoints) {
		l.mu.Unlock()
		return
	}
	l.revision++
	l.summary = control.Summary{
		Cell: l.Cell, Position: control.Position{Epoch: l.epoch, Revision: l.revision}, Endpoints: endpoints,
	}
	summary := l.summary
	peers := slices.Collect(maps.Keys(l.subscribers))
	l.mu.Unlock()
	for _, p := range peers {
		go l.pushSummary(p, summary)
	}
}

func (l *Leader) pushSummary(p *rpc.Peer, summary control.Summary) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	if _, err := rpc.Call[control.Summary, control.Ack](ctx, p, control.MethodSummary, summary); err != nil {
		l.Logger.Debug("cannot push the summary: %v", err)
	}
}
