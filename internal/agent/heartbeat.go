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
	heartbeatTimeout     = 2 * time.Second
	minSearchDelay       = 200 * time.Millisecond
	maxSearchDelay       = 2 * time.Second
	minHeartbeatInterval = 100 * time.Millisecond
	usageChangeFactor    = 1.2
)

// sentState is the content of the last heartbeat that the leader answered; the next heartbeat leaves out what is unchanged.
type sentState struct {
	statuses map[control.Run]control.Status
	usage    map[task.Run]int64
}

// leaderLoop finds the leader of the cell or becomes it, and sends heartbeats to it until it stops answering.
func (a *Agent) leaderLoop(ctx context.Context) error {
	delay := minSearchDelay
	for ctx.Err() == nil {
		peer, address, err := a.connectToLeader(ctx)
		if err != nil {
			a.Logger.Debug("no leader found: %v", err)
			store.Pause(ctx, delay/2+time.Duration(rand.Int64N(int64(delay))))
			delay = min(delay*2, maxSearchDelay)
			continue
		}
		delay = minSearchDelay
		a.heartbeatLoop(ctx, peer, address)
		peer.Close()
	}
	return ctx.Err()
}

// connectToLeader connects to the holder of the cell's lease and returns the connection and the address; if the lease is
// free, the agent campaigns for it.
func (a *Agent) connectToLeader(ctx context.Context) (*rpc.Peer, string, error) {
	name := leader.LeaseName(a.cell())
	lease, err := a.Store.Holder(ctx, name)
	if err != nil {
		return nil, "", err
	}
	address := lease.Holder()
	if address == "" {
		if err := a.campaign(ctx); err != nil {
			return nil, "", err
		}
		address = a.Address
	}
	if address == a.Address && !a.isLeader() {
		return nil, "", fault.New(fault.Unavailable, "the lease is held by an earlier incarnation of this agent")
	}
	peer, err := a.dial(ctx, address)
	return peer, address, err
}

func (a *Agent) cell() string { return vmlist.Cell(a.Hall, a.Rack) }

func (a *Agent) dial(ctx context.Context, address string) (*rpc.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return rpc.Dial(ctx, address, a.Secret, a.mux)
}

func (a *Agent) isLeader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader != nil
}

// campaign tries to acquire the cell's lease, and starts a leader if it succeeds.
func (a *Agent) campaign(ctx context.Context) error {
	a.mu.Lock()
	eligible := a.leader == nil && !a.stopping && !a.leaving
	a.mu.Unlock()
	if !eligible {
		return fault.New(fault.Unavailable, "this agent is not a candidate for leader")
	}
	requestedAt := time.Now()
	lease, err := a.Store.Acquire(ctx, leader.LeaseName(a.cell()), a.Address, a.Leader.Lease)
	if err != nil {
		return err
	}
	l := leader.New(leader.Config{
		Cell: a.cell(), Agent: a.ID, Address: a.Address, Timing: a.Leader, Store: a.Store, VMs: a.VMs,
		Logger: a.Logger.Named("lead"), Recorder: a.Recorder,
	})
	a.mu.Lock()
	a.leader = l
	a.mu.Unlock()
	a.leaderRuns.Go(func() { a.runLeader(ctx, l, lease, requestedAt) })
	return nil
}

func (a *Agent) runLeader(ctx context.Context, l *leader.Leader, lease store.Lease, requestedAt time.Time) {
	err := l.Run(ctx, lease, requestedAt)
	a.Logger.Info("leadership ended: %v", err)
	a.mu.Lock()
	a.leader = nil
	a.mu.Unlock()
	// Releasing the lease lets the next leader acquire it before it expires.
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), heartbeatTimeout)
	defer cancel()
	if err := a.Store.Release(releaseCtx, leader.LeaseName(a.cell()), l.Address); err != nil {
		a.Logger.Debug("cannot release the lease: %v", err)
	}
}

// heartbeatLoop sends heartbeats until the leader stops answering or has lost its lease.
func (a *Agent) heartbeatLoop(ctx context.Context, peer *rpc.Peer, address string) {
	a.mu.Lock()
	a.sent = sentState{}
	a.mu.Unlock()
	full := true
	failures := 0
	for ctx.Err() == nil {
		known, err := a.sendHeartbeat(ctx, peer, address, full)
		switch {
		case err == nil:
			full, failures = !known, 0
		case fault.Is(err, fault.Unavailable) && failures < 3:
			failures++
		default:
			a.Logger.Debug("the leader does not answer: %v", err)
			return
		}
		if known {
			a.awaitHeartbeat(ctx, peer)
		} else {
			store.Pause(ctx, minHeartbeatInterval)
		}
	}
}

// awaitHeartbeat waits until the next heartbeat is due, which is after minHeartbeatInterval if there is a change to report.
func (a *Agent) awaitHeartbeat(ctx context.Context, peer *rpc.Peer) {
	timer := time.NewTimer(a.Timing.Heartbeat)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-peer.Done():
	case <-timer.C:
	case <-a.heartbeatNow:
		store.Pause(ctx, minHeartbeatInterval)
	}
}

func (a *Agent) sendHeartbeat(ctx context.Context, peer *rpc.Peer, address string, full bool) (bool, error) {
	message, sent := a.composeHeartbeat(full)
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := rpc.Call[control.Heartbeat, control.HeartbeatAnswer](ctx, peer, control.MethodHeartbeat, message)
	if err != nil {
		return false, err
	}
	if !answer.Known {
		return false, nil
	}
	if err := a.applyAnswer(ctx, peer, answer, sent); err != nil || !answer.LeaseExpired {
		return true, err
	}
	return true, leader.CheckSuperseded(ctx, a.Store, a.cell(), address)
}

// applyAnswer applies the answer to a heartbeat. It rejects answers of an earlier epoch, since that leader may lack changes
// of the current one.
func (a *Agent) applyAnswer(ctx context.Context, peer *rpc.Peer, answer control.HeartbeatAnswer, sent sentState) error {
	a.mu.Lock()
	isOutdated := answer.Epoch < a.desired.Position.Epoch
	if !isOutdated {
		a.sent, a.evictRequested = sent, false
	}
	a.mu.Unlock()
	if isOutdated {
		return fault.New(fault.Stale, "the answer is of the earlier epoch %d", answer.Epoch)
	}
	a.removeEnded(ctx, answer.Acked)
	if answer.Desired == nil {
		return nil
	}
	_, err := a.acceptDesired(ctx, peer, *answer.Desired)
	return err
}

// composeHeartbeat returns the next heartbeat, with all statuses or with the changes since the last one that was answered.
func (a *Agent) composeHeartbeat(full bool) (control.Heartbeat, sentState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	message := control.Heartbeat{
		Instance: a.description.Instance(), Boot: a.Boot, Received: a.desired.Position, Applied: a.applied,
		Stopping: a.stopping, BatchBlocked: a.remedies.BlocksBatch(), Evict: a.evictRequested,
	}
	if full {
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
		if full || a.sent.statuses[s.Run] != s {
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

// composeMeasurements adds the latencies, and the usages that changed by more than usageChangeFactor; a.mu is held.
func (a *Agent) composeMeasurements(message *control.Heartbeat, sent *sentState) {
	for key, u := range a.usage {
		last, current := a.sent.usage[key], u.Used().Processors()+u.Used().Memory()
		if float64(current) <= float64(last)*usageChangeFactor && float64(last) <= float64(current)*usageChangeFactor {
			sent.usage[key] = last
			continue
		}
		sent.usage[key] = current
		message.Usage = append(message.Usage, control.Usage{Run: control.EncodeRun(key), Used: control.EncodeSize(u.Used())})
	}
	for _, l := range a.latency {
		message.Latency = append(message.Latency, l)
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
