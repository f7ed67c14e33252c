package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

const (
	beatTimeout = 2 * time.Second
	searchFirst = 200 * time.Millisecond
	searchMost  = 2 * time.Second
	beatGap     = 100 * time.Millisecond
	usageStep   = 1.2
)

// sentState is what the last answered beat told the lead; the lead does not need it again.
type sentState struct {
	statuses map[control.Run]control.Status
	usage    map[task.Run]int64
}

// uplinkLoop looks for the lead of the cell, or becomes it, and beats while the lead answers.
func (a *Agent) uplinkLoop(ctx context.Context) error {
	wait := searchFirst
	for ctx.Err() == nil {
		peer, address, err := a.findLead(ctx)
		if err != nil {
			a.Logger.Debug("no lead yet: %v", err)
			store.Pause(ctx, wait/2+time.Duration(rand.Int64N(int64(wait))))
			wait = min(wait*2, searchMost)
			continue
		}
		wait = searchFirst
		a.beatLoop(ctx, peer, address)
		peer.Close()
	}
	return ctx.Err()
}

// findLead connects to the holder of the cell's lease and returns its address too; where nobody holds it, the agent
// tries to.
func (a *Agent) findLead(ctx context.Context) (*rpc.Peer, string, error) {
	name := leader.LeaseName(a.cell())
	held, err := a.Store.Holder(ctx, name)
	if err != nil {
		return nil, "", err
	}
	address := held.Holder()
	if address == "" {
		if err := a.campaign(ctx); err != nil {
			return nil, "", err
		}
		address = a.Address
	}
	if address == a.Address && !a.leads() {
		return nil, "", fault.New(fault.Unavailable, "the lease is this address's, from before")
	}
	peer, err := a.dial(ctx, address)
	return peer, address, err
}

func (a *Agent) cell() string { return vmlist.Cell(a.Hall, a.Rack) }

func (a *Agent) dial(ctx context.Context, address string) (*rpc.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	return rpc.Dial(ctx, address, a.Secret, a.mux)
}

func (a *Agent) leads() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lead != nil
}

// campaign tries to take the cell's lease, and leads the cell if it does.
func (a *Agent) campaign(ctx context.Context) error {
	a.mu.Lock()
	able := a.lead == nil && !a.stopping && !a.leaving
	a.mu.Unlock()
	if !able {
		return fault.New(fault.Unavailable, "this agent does not stand for lead")
	}
	asked := time.Now()
	lease, err := a.Store.Acquire(ctx, leader.LeaseName(a.cell()), a.Address, a.Leader.Lease)
	if err != nil {
		return err
	}
	l := leader.New(leader.Config{
		Cell: a.cell(), Agent: a.ID, Address: a.Address, Timing: a.Leader, Store: a.Store, VMs: a.VMs,
		Logger: a.Logger.Named("lead"), Recorder: a.Recorder,
	})
	a.mu.Lock()
	a.lead = l
	a.mu.Unlock()
	a.leading.Go(func() { a.runLead(ctx, l, lease, asked) })
	return nil
}

func (a *Agent) runLead(ctx context.Context, l *leader.Leader, lease store.Lease, asked time.Time) {
	err := l.Run(ctx, lease, asked)
	a.Logger.Info("no longer the lead: %v", err)
	a.mu.Lock()
	a.lead = nil
	a.mu.Unlock()
	// The end of a lead that knows it is one frees the lease for the next.
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), beatTimeout)
	defer cancel()
	if err := a.Store.Release(release, leader.LeaseName(a.cell()), l.Address); err != nil {
		a.Logger.Debug("cannot release the lease: %v", err)
	}
}

// beatLoop beats until the lead no longer answers, or has lost its lease.
func (a *Agent) beatLoop(ctx context.Context, peer *rpc.Peer, address string) {
	a.mu.Lock()
	a.sent = sentState{}
	a.mu.Unlock()
	introduce := true
	failures := 0
	for ctx.Err() == nil {
		known, err := a.beat(ctx, peer, address, introduce)
		switch {
		case err == nil:
			introduce, failures = !known, 0
		case fault.Is(err, fault.Unavailable) && failures < 3:
			failures++
		default:
			a.Logger.Debug("the lead does not answer: %v", err)
			return
		}
		if known {
			a.awaitBeat(ctx, peer)
		} else {
			store.Pause(ctx, beatGap)
		}
	}
}

// awaitBeat waits for the next beat's time, which is soon when there is news.
func (a *Agent) awaitBeat(ctx context.Context, peer *rpc.Peer) {
	timer := time.NewTimer(a.Timing.Heartbeat)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-peer.Done():
	case <-timer.C:
	case <-a.beatNow:
		store.Pause(ctx, beatGap)
	}
}

func (a *Agent) beat(ctx context.Context, peer *rpc.Peer, address string, introduce bool) (bool, error) {
	message, sent := a.compose(introduce)
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := rpc.Call[control.Heartbeat, control.HeartbeatAnswer](ctx, peer, control.MethodHeartbeat, message)
	if err != nil {
		return false, err
	}
	if !answer.Known {
		return false, nil
	}
	if err := a.takeAnswer(ctx, peer, answer, sent); err != nil || !answer.LeaseExpired {
		return true, err
	}
	return true, leader.CheckSuperseded(ctx, a.Store, a.cell(), address)
}

// takeAnswer acts on the answer to a beat, unless it is of a lead of the past, which may know less than the next.
func (a *Agent) takeAnswer(ctx context.Context, peer *rpc.Peer, answer control.HeartbeatAnswer, sent sentState) error {
	a.mu.Lock()
	isPast := answer.Epoch < a.desired.Position.Epoch
	if !isPast {
		a.sent, a.evict = sent, false
	}
	a.mu.Unlock()
	if isPast {
		return fault.New(fault.Stale, "the lead of epoch %d is of the past", answer.Epoch)
	}
	a.forget(ctx, answer.Acked)
	if answer.Desired == nil {
		return nil
	}
	_, err := a.takeDesired(ctx, peer, *answer.Desired)
	return err
}

// compose makes the next beat, with what changed since the last one that was answered.
func (a *Agent) compose(introduce bool) (control.Heartbeat, sentState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	message := control.Heartbeat{
		Instance: a.description.Instance(), Boot: a.Boot, Received: a.desired.Position, Applied: a.applied,
		Stopping: a.stopping, BatchBlocked: a.remedies.BlocksBatch(), Evict: a.evict,
	}
	if introduce {
		message.Profile = a.profile()
	}
	sent := sentState{statuses: make(map[control.Run]control.Status), usage: make(map[task.Run]int64)}
	for _, r := range a.runs {
		if r.hasEnded() {
			message.Reports = append(message.Reports, *r.report)
			continue
		}
		s := statusOf(r)
		sent.statuses[s.Run] = s
		if introduce || a.sent.statuses[s.Run] != s {
			message.Statuses = append(message.Statuses, s)
		}
	}
	for run := range a.sent.statuses {
		if _, ok := sent.statuses[run]; !ok {
			message.Removed = append(message.Removed, run)
		}
	}
	a.composeMeasurements(&message, &sent)
	return message, sent
}

func statusOf(r *run) control.Status {
	return control.Status{
		Run: control.EncodeRun(r.status.Run()), Workload: r.status.Workload(), State: r.status.State().String(),
		IsReplica: r.status.Address() != "",
	}
}

// composeMeasurements adds the usage that moved by more than a step, and the latencies; a.mu is held.
func (a *Agent) composeMeasurements(message *control.Heartbeat, sent *sentState) {
	for key, u := range a.usage {
		before, now := a.sent.usage[key], u.Used().Processors()+u.Used().Memory()
		if float64(now) <= float64(before)*usageStep && float64(before) <= float64(now)*usageStep {
			sent.usage[key] = before
			continue
		}
		sent.usage[key] = now
		message.Usage = append(message.Usage, control.Usage{Run: control.EncodeRun(key), Used: control.EncodeSize(u.Used())})
	}
	for _, y := range a.latency {
		message.Latency = append(message.Latency, y)
	}
	slices.SortFunc(message.Latency, func(x, y control.Latency) int { return strings.Compare(x.Service, y.Service) })
	clear(a.latency)
}

func (a *Agent) profile() *control.Profile {
	return &control.Profile{
		Agent: a.ID, Hall: a.Hall, Rack: a.Rack, Requests: a.Requests,
		Capacity: control.EncodeSize(a.description.Capacity()),
		Slots:    a.description.Slots(), Connections: a.description.Connections(),
	}
}
