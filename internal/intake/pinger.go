package intake

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// pingEvery is how often an entry tells the lead of itself; a quarter of the shortest time in which a
	// configuration has to be in force.
	pingEvery = 500 * time.Millisecond
	// pingPatience bounds the answer.
	pingPatience = 700 * time.Millisecond
	// offerPause lies before the ping that brings the leader a configuration that it lacks.
	offerPause = 10 * time.Millisecond
	// probeEvery is how often an entry tells the lead of itself, and finds out whether the store answers it, while the store
	// answers the lead no more; probePatience bounds the answer.
	probeEvery    = 200 * time.Millisecond
	probePatience = 200 * time.Millisecond
	// awayFor is how long the store is taken to be away after a probe: until some more of them.
	awayFor = 5 * probeEvery
	// alertFor is how long an entry pings more often after it was told of the store.
	alertFor = time.Second
	// askPatience bounds the question who leads now.
	askPatience = 500 * time.Millisecond
)

// Successor stands for the lead in place of one that is gone.
type Successor interface {
	// IsLeader reports whether this entry leads.
	IsLeader() bool
	// SuspectLeader says that the lead of an epoch may be replaced.
	SuspectLeader(epoch uint64, reason string)
	// TakeOver says that the leader of an epoch asks this entry to lead.
	TakeOver(epoch uint64)
	// SetRank stores the place of this entry among those that may lead next, 0 for none.
	SetRank(place int)
}

// Pinger tells the lead of an entry, and hears from it of the configuration, of other entries and of the store.
type Pinger struct {
	desk      *Server
	self      Self
	successor Successor
	// told wakes it when the lead says that the store is away, or back.
	told chan struct{}
	// sendValue says that the lead needs this entry's configuration, probing that the store answers neither the lead nor this
	// entry.
	sendValue bool
	probing   bool
	// list is which list of entries the leader of an epoch has told.
	list      uint64
	listEpoch uint64
	// confirmed is when a leader answered last, or was last read from the store.
	confirmed time.Time
	// agents is how many agents the leader had.
	agents atomic.Int64
}

// Self is what an entry tells of itself: its name, where others reach it, and the processor share of its VM.
type Self struct {
	Process, Address string
	Strength         float64
}

// NewPinger returns the pinger of an entry.
func NewPinger(desk *Server, self Self, successor Successor) *Pinger {
	return &Pinger{desk: desk, self: self, successor: successor, told: make(chan struct{}, 1)}
}

// Register adds the methods by which the lead says at once that the store is away or back, and agents learn who leads.
func (p *Pinger) Register(m *rpc.Mux) {
	rpc.Handle(m, link.MethodStore, func(context.Context, *rpc.Peer, link.Empty) (link.Empty, error) {
		wait.Notify(p.told)
		return link.Empty{}, nil
	})
	rpc.Handle(m, link.MethodLeader, p.leader)
}

// Run pings the lead until ctx ends.
func (p *Pinger) Run(ctx context.Context) {
	var alert time.Time
	for ctx.Err() == nil {
		ended, err := p.ping(ctx)
		if err != nil && ctx.Err() == nil {
			p.desk.logger.Debug("the lead was not reached: %v", err)
			p.lost(ctx, err)
		}
		if !p.successor.IsLeader() {
			p.reconfirm(ctx)
		}
		pause := pingEvery
		if p.sendValue {
			pause = offerPause
		}
		if p.probing || time.Since(alert) < alertFor {
			pause = probeEvery
		}
		select {
		case <-ctx.Done():
		case <-ended:
		case <-p.told:
			alert = time.Now()
			_ = p.ask(ctx)
		case <-time.After(pause):
		}
	}
}

// ask asks the store for something, so that the next ping tells how it answers this entry now.
func (p *Pinger) ask(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, probePatience)
	defer cancel()
	_, err := p.desk.config.Direct.Get(bounded, record.LastCommitKey)
	return err
}

// ping tells the lead once, and returns a channel that is closed when the connection to it ends; nil where there is none.
func (p *Pinger) ping(ctx context.Context) (<-chan struct{}, error) {
	config := &p.desk.config
	lead, known := config.Leader.Value()
	if !known || lead.Revision == 0 || lead.Decoded.Address == p.self.Address {
		p.desk.leaderAnswers.Store(false)
		p.back()
		if known && lead.Revision != 0 && !p.successor.IsLeader() {
			p.askWhoLeads(ctx)
		}
		return nil, nil
	}
	patience := pingPatience
	if p.probing {
		patience = probePatience
	}
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	peer, err := config.Pool.Peer(bounded, lead.Decoded.Address)
	if err != nil {
		p.desk.leaderAnswers.Store(false)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.successor.SuspectLeader(lead.Decoded.Epoch, "its VM refuses connections")
		}
		return nil, err
	}
	own := config.Policies.Offer()
	answer, err := rpc.Call[link.Ping, link.PingAnswer](bounded, peer, link.MethodPing, p.message(lead.Decoded.Epoch, own))
	p.sendValue = false
	p.desk.leaderAnswers.Store(err == nil)
	if err != nil {
		if !fault.Is(err, fault.Stale) {
			config.Pool.Drop(lead.Decoded.Address)
		}
		return nil, err
	}
	p.agents.Store(int64(answer.Agents))
	config.Pool.Add(answer.Entries)
	p.list, p.listEpoch = answer.EntriesVersion, lead.Decoded.Epoch
	config.Policies.Accept(answer.Offer)
	p.sendValue = answer.Revision != 0 && answer.Revision < own.Revision
	p.successor.SetRank(answer.Rank)
	p.vouch(answer)
	p.heed(ctx, lead.Decoded.Epoch, answer)
	return peer.Done(), nil
}

// vouch lets this entry ask the store less often for what its leader has just confirmed.
func (p *Pinger) vouch(answer link.PingAnswer) {
	p.confirmed = time.Now()
	if answer.Unverified || answer.StoreDown {
		return
	}
	p.desk.config.Leader.Confirm()
	if !p.sendValue {
		p.desk.config.Policies.Confirm()
	}
}

// unconfirmedFor is how long after the last answer of a leader an entry reads itself who leads: a watch may wait for longer on a connection that
// has gone silent.
const unconfirmedFor = 1500 * time.Millisecond

// reconfirm reads who leads where no leader has answered for a while.
func (p *Pinger) reconfirm(ctx context.Context) {
	if p.confirmed.IsZero() || time.Since(p.confirmed) < unconfirmedFor {
		return
	}
	p.confirmed = time.Now()
	bounded, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	if _, err := p.desk.config.Leader.Refresh(bounded); err != nil {
		p.desk.logger.Debug("who leads could not be read: %v", err)
	}
}

// message returns what the lead is told.
func (p *Pinger) message(epoch uint64, own link.Offer) link.Ping {
	m := link.Ping{
		Entry: p.self.Process, Address: p.self.Address, Strength: p.self.Strength, Epoch: epoch, StoreAgeMillis: -1, Offer: own,
	}
	if answered := p.desk.config.Health.LastAnswer(); !answered.IsZero() {
		m.StoreAgeMillis = time.Since(answered).Milliseconds()
	}
	if p.listEpoch == epoch {
		m.EntriesVersion = p.list
	}
	if !p.sendValue {
		m.Value = nil
	}
	return m
}

// lost takes note that nobody tells of the store any more.
func (p *Pinger) lost(ctx context.Context, err error) {
	p.back()
	if fault.Is(err, fault.Stale) {
		p.askWhoLeads(ctx)
	}
}

// askWhoLeads asks through other entries who leads, where the store does not answer this one, which cannot follow the lead.
func (p *Pinger) askWhoLeads(ctx context.Context) {
	if !p.desk.config.Health.Down() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	item, err := p.desk.config.Store.Get(bounded, record.LeaderKey)
	if err != nil || item.Revision() == 0 {
		return
	}
	if held, err := record.DecodeLeader(item.Value()); err == nil {
		p.desk.config.Leader.Offer(follow.Value[record.Leader]{Decoded: held, Revision: item.Revision()})
	}
}

// heed acts on what the lead knows of the store.
func (p *Pinger) heed(ctx context.Context, epoch uint64, answer link.PingAnswer) {
	switch {
	case answer.TakeOver:
		p.successor.TakeOver(epoch)
		p.back()
	case answer.StoreDown:
		p.probe(ctx)
	case answer.Probe:
		p.back()
		if p.ask(ctx) == nil {
			wait.Notify(p.told)
		}
	default:
		p.back()
	}
}

// back takes note that the store is not known to be away.
func (p *Pinger) back() {
	if !p.probing {
		return
	}
	p.desk.logger.Info("callers are served again; the store is not known to be away")
	p.probing = false
	p.desk.config.Store.SetAvailable()
}

// probe finds out whether the store answers this entry, where it does not answer the lead.
func (p *Pinger) probe(ctx context.Context) {
	if err := p.ask(ctx); err != nil && !p.desk.config.Health.Limited() {
		if !p.probing {
			p.desk.logger.Warn("the store answers neither the lead nor this entry; callers are refused: %v", err)
		}
		p.probing = true
		p.desk.config.Store.SetUnavailable(awayFor)
		return
	}
	p.back()
}
