package intake

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

const (
	// slowestTransfer is the bandwidth in bytes per second that is assumed for a configuration: a fifth of the slowest links.
	slowestTransfer = 250_000
	// fetchTimeout bounds the transfer of a configuration from the leader, which has up to a megabyte.
	fetchTimeout = 5 * time.Second
)

// transferTime returns how long the transfer of a value may take.
func transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / slowestTransfer
}

// fetchConfiguration reads a configuration that the leader has and this entry lacks, unless it is doing so already: from the store, or on
// a separate connection from the leader if the store does not answer this entry.
func (p *Pinger) fetchConfiguration(ctx context.Context, leader string) {
	if !p.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.fetching.Store(false)
		if !p.server.config.Health.Down() && p.server.config.Policies.Refresh(ctx) == nil {
			return
		}
		if err := p.receiveConfiguration(ctx, leader); err != nil && ctx.Err() == nil {
			p.server.logger.Warn("the configuration was received neither from the store nor from the leader: %v", err)
		}
	}()
}

// receiveConfiguration requests the configuration from the leader. The connection is not shared, since other answers would wait for it.
func (p *Pinger) receiveConfiguration(ctx context.Context, leader string) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peer, err := p.server.config.Pool.Connect(bounded, leader)
	if err != nil {
		return err
	}
	defer peer.Close()
	offer, err := rpc.Call[link.Empty, link.Offer](bounded, peer, link.MethodConfiguration, link.Empty{})
	if err != nil {
		return err
	}
	p.server.config.Policies.Accept(offer)
	return nil
}

// handleConfiguration returns the newest configuration that this entry knows.
func (p *Pinger) handleConfiguration(context.Context, *rpc.Peer, link.Empty) (link.Offer, error) {
	return p.server.config.Policies.Offer(), nil
}
