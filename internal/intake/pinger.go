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
	// pingInterval is the interval of an entry's pings to the leader, a quarter of the shortest time within which a configuration must
	// take effect.
	pingInterval = 500 * time.Millisecond
	// pingTimeout bounds the answer.
	pingTimeout = 700 * time.Millisecond
	// offerDelay is the delay before the ping that sends the leader a configuration that it lacks.
	offerDelay = 10 * time.Millisecond
	// probeInterval is the interval of pings and store probes while the store does not answer the leader; probeTimeout bounds the
	// answers.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	// unavailableDuration is how long the store counts as unavailable after a failed probe, long enough for several more probes.
	unavailableDuration = 5 * probeInterval
	// alertDuration is how long an entry pings more often after the leader reported a change of the store.
	alertDuration = time.Second
	// queryTimeout bounds a read of the leader record.
	queryTimeout = 500 * time.Millisecond
)

// Successor may take over leadership from a lost leader.
type Successor interface {
	// IsLeader reports whether this entry is the leader.
	IsLeader() bool
	// SuspectLeader reports that the leader of an epoch may be replaced.
	SuspectLeader(epoch uint64, reason string)
	// TakeOver reports that the leader of an epoch asks this entry to take over, and how long leases granted up to then may still last, 0 if
	// the leader does not say.
	TakeOver(epoch uint64, leases time.Duration)
	// SetRank sets the rank of this entry among the candidates for the next term, 0 for none.
	SetRank(rank int)
}

// Pinger pings the leader; the answers carry the configuration, the other entries, and the availability of the store.
type Pinger struct {
	server    *Server
	self      Self
	successor Successor
	// storeChanged signals Run when the leader reports that the store became unreachable or reachable again.
	storeChanged chan struct{}
	// sendValue is set if the leader lacks this entry's configuration, storeDown if the store answers neither the leader nor this
	// entry.
	sendValue bool
	storeDown bool
	// entriesVersion is the version of the list of entries received from the leader of entriesEpoch.
	entriesVersion uint64
	entriesEpoch   uint64
	// confirmedAt is when a leader last answered, or its record was last read from the store.
	confirmedAt time.Time
	// agents is the number of agents that report to the leader.
	agents atomic.Int64
	// fetching is set while a configuration that the leader has is read.
	fetching atomic.Bool
}

// Self identifies an entry by its process and address, and gives the processor share of its VM.
type Self struct {
	Process, Address string
	Strength         float64
}

// NewPinger returns the pinger of an entry.
func NewPinger(server *Server, self Self, successor Successor) *Pinger {
	return &Pinger{server: server, self: self, successor: successor, storeChanged: make(chan struct{}, 1)}
}

// Register adds the methods by which the leader reports that the store has become unreachable or reachable, and agents find the leader.
func (p *Pinger) Register(m *rpc.Mux) {
	rpc.Handle(m, link.MethodStore, func(context.Context, *rpc.Peer, link.Empty) (link.Empty, error) {
		wait.Notify(p.storeChanged)
		return link.Empty{}, nil
	})
	rpc.Handle(m, link.MethodLeader, p.handleLeader)
	rpc.Handle(m, link.MethodConfiguration, p.handleConfiguration)
}

// Run pings the leader until ctx ends.
func (p *Pinger) Run(ctx context.Context) {
	var alertedAt time.Time
	for ctx.Err() == nil {
		disconnected, err := p.ping(ctx)
		if err != nil && ctx.Err() == nil {
			p.server.logger.Debug("ping to the leader failed: %v", err)
			p.handlePingError(ctx, err)
		}
		if !p.successor.IsLeader() {
			p.refreshUnconfirmed(ctx)
		}
		delay := pingInterval
		if p.sendValue {
			delay = offerDelay
		}
		if p.storeDown || time.Since(alertedAt) < alertDuration {
			delay = probeInterval
		}
		select {
		case <-ctx.Done():
		case <-disconnected:
		case <-p.storeChanged:
			alertedAt = time.Now()
			_ = p.probeStore(ctx)
		case <-time.After(delay):
		}
	}
}

// probeStore reads a key of the store, so that the next ping reports whether the store currently answers this entry.
func (p *Pinger) probeStore(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.server.config.Direct.Get(bounded, record.LastCommitKey)
	return err
}

// ping pings the leader once and returns a channel that is closed when the connection to it ends, nil if there is no connection.
func (p *Pinger) ping(ctx context.Context) (<-chan struct{}, error) {
	config := &p.server.config
	leader, known := config.Leader.Value()
	if !known || leader.Revision == 0 || leader.Decoded.Address == p.self.Address {
		p.server.leaderAnswers.Store(false)
		p.markAvailable()
		if known && leader.Revision != 0 && !p.successor.IsLeader() {
			p.findLeader(ctx)
		}
		return nil, nil
	}
	offer := config.Policies.Offer()
	bounded, cancel := context.WithTimeout(ctx, p.timeout(offer))
	defer cancel()
	peer, err := config.Pool.Peer(bounded, leader.Decoded.Address)
	if err != nil {
		p.server.leaderAnswers.Store(false)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.successor.SuspectLeader(leader.Decoded.Epoch, "its VM refuses connections")
		}
		return nil, err
	}
	answer, err := rpc.Call[link.Ping, link.PingAnswer](bounded, peer, link.MethodPing, p.newPing(leader.Decoded.Epoch, offer))
	p.sendValue = false
	p.server.leaderAnswers.Store(err == nil)
	if err != nil {
		if !fault.Is(err, fault.Stale) {
			config.Pool.Drop(leader.Decoded.Address)
		}
		return nil, err
	}
	p.agents.Store(int64(answer.Agents))
	config.Pool.Add(answer.Entries)
	p.entriesVersion, p.entriesEpoch = answer.EntriesVersion, leader.Decoded.Epoch
	config.Policies.Accept(answer.Offer)
	if answer.Revision > offer.Revision && len(answer.Value) == 0 {
		p.fetchConfiguration(ctx, leader.Decoded.Address)
	}
	p.sendValue = answer.Revision != 0 && answer.Revision < offer.Revision
	p.successor.SetRank(answer.Rank)
	p.confirm(answer)
	p.applyAnswer(ctx, leader.Decoded.Epoch, answer)
	return peer.Done(), nil
}

// timeout returns how long a ping may take.
func (p *Pinger) timeout(offer link.Offer) time.Duration {
	switch {
	case p.storeDown:
		return probeTimeout
	case p.sendValue:
		return pingTimeout + transferTime(len(offer.Value))
	}
	return pingTimeout
}

// confirm records that the leader has just confirmed its record and the configuration, which this entry then reads less often.
func (p *Pinger) confirm(answer link.PingAnswer) {
	p.confirmedAt = time.Now()
	if answer.Unverified || answer.StoreDown {
		return
	}
	p.server.config.Leader.Confirm()
	if answer.Revision == 0 {
		p.server.config.Policies.Confirm()
	}
}

// leaderConfirmationTimeout is how long after a leader's last answer an entry reads the leader record and the configuration itself; watches that
// began while a leader confirmed them may wait longer on an unresponsive connection.
const leaderConfirmationTimeout = 1500 * time.Millisecond

// refreshUnconfirmed reads the leader record and the configuration if no leader has answered for a while.
func (p *Pinger) refreshUnconfirmed(ctx context.Context) {
	if p.confirmedAt.IsZero() || time.Since(p.confirmedAt) < leaderConfirmationTimeout {
		return
	}
	p.confirmedAt = time.Now()
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if _, err := p.server.config.Leader.Refresh(bounded); err != nil {
		p.server.logger.Debug("leader record could not be read: %v", err)
	}
	if err := p.server.config.Policies.Refresh(bounded); err != nil {
		p.server.logger.Debug("configuration could not be read: %v", err)
	}
}

// newPing returns a ping to the leader of an epoch.
func (p *Pinger) newPing(epoch uint64, offer link.Offer) link.Ping {
	m := link.Ping{
		Entry: p.self.Process, Address: p.self.Address, Strength: p.self.Strength, Epoch: epoch, StoreAgeMillis: -1, Offer: offer,
		Readmitted: p.server.config.Health.Readmitted(), ValueOnRequest: true,
	}
	if answered := p.server.config.Health.LastAnswer(); !answered.IsZero() {
		m.StoreAgeMillis = time.Since(answered).Milliseconds()
	}
	if p.entriesEpoch == epoch {
		m.EntriesVersion = p.entriesVersion
	}
	if !p.sendValue {
		m.Value = nil
	}
	return m
}

// handlePingError marks the store available, since no leader reports its state any more, and looks for a new leader.
func (p *Pinger) handlePingError(ctx context.Context, err error) {
	p.markAvailable()
	if fault.Is(err, fault.Stale) {
		p.findLeader(ctx)
	}
}

// findLeader reads the leader record through other entries if the store does not answer this one, which then cannot follow the record.
func (p *Pinger) findLeader(ctx context.Context) {
	if !p.server.config.Health.Down() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	item, err := p.server.config.Store.Get(bounded, record.LeaderKey)
	if err != nil || item.Revision() == 0 {
		return
	}
	if decoded, err := record.DecodeLeader(item.Value()); err == nil {
		p.server.config.Leader.Offer(follow.Value[record.Leader]{Decoded: decoded, Revision: item.Revision()})
	}
}

// applyAnswer acts on what the answer states about the store.
func (p *Pinger) applyAnswer(ctx context.Context, epoch uint64, answer link.PingAnswer) {
	switch {
	case answer.TakeOver:
		p.successor.TakeOver(epoch, time.Duration(answer.LeasesMillis)*time.Millisecond)
		p.markAvailable()
	case answer.StoreDown:
		p.handleStoreDown(ctx)
	case answer.Probe:
		p.markAvailable()
		if p.probeStore(ctx) == nil {
			wait.Notify(p.storeChanged)
		}
	default:
		p.markAvailable()
	}
}

// markAvailable records that the store is not known to be unavailable.
func (p *Pinger) markAvailable() {
	if !p.storeDown {
		return
	}
	p.server.logger.Info("callers are served again; the store is no longer known to be unavailable")
	p.storeDown = false
	p.server.config.Store.SetAvailable()
}

// handleStoreDown probes the store, which does not answer the leader, and refuses callers if it does not answer this entry either.
func (p *Pinger) handleStoreDown(ctx context.Context) {
	if err := p.probeStore(ctx); err != nil && !p.server.config.Health.Limited() {
		if !p.storeDown {
			p.server.logger.Warn("the store answers neither the leader nor this entry; callers are refused: %v", err)
		}
		p.storeDown = true
		p.server.config.Store.SetUnavailable(unavailableDuration)
		return
	}
	p.markAvailable()
}
