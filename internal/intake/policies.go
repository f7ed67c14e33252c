package intake

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/policy"
)

// configuration is a configuration with the bytes that the store holds, which entries pass on to each other.
type configuration struct {
	policy *policy.Policy
	raw    []byte
}

// Policies keeps the newest configuration that the process has heard of.
type Policies struct {
	follower *follow.Follower[configuration]
	decode   func([]byte) (*policy.Policy, error)
	logger   logging.Logger
}

// NewPolicies returns the configuration under a key of the store, as decode reads it.
func NewPolicies(store kv.Store, key string, decode func([]byte) (*policy.Policy, error), logger logging.Logger) *Policies {
	p := &Policies{decode: decode, logger: logger}
	p.follower = follow.New(store, key, p.read, logger)
	return p
}

func (p *Policies) read(raw []byte) (configuration, error) {
	decoded, err := p.decode(raw)
	if err != nil {
		p.logger.Error("a configuration cannot be read: %v", err)
		return configuration{}, err
	}
	p.logger.Info("configuration read; version=%d routes=%d", decoded.Version(), len(decoded.Routes()))
	return configuration{policy: decoded, raw: raw}, nil
}

// Run follows the configuration until ctx ends.
func (p *Policies) Run(ctx context.Context) { p.follower.Run(ctx) }

// Confirm records that the leader has confirmed the configuration just now.
func (p *Policies) Confirm() { p.follower.Confirm() }

// Newest returns the configuration, nil before the first.
func (p *Policies) Newest() *policy.Policy {
	value, _ := p.follower.Value()
	return value.Decoded.policy
}

// Offer returns the configuration as the store holds it.
func (p *Policies) Offer() link.Offer {
	value, _ := p.follower.Value()
	return link.Offer{Revision: uint64(value.Revision), Value: value.Decoded.raw}
}

// Accept keeps an offer unless a newer one is known.
func (p *Policies) Accept(offer link.Offer) {
	value, _ := p.follower.Value()
	if len(offer.Value) == 0 || kv.Revision(offer.Revision) <= value.Revision {
		return
	}
	read, err := p.read(offer.Value)
	if err != nil {
		return
	}
	p.follower.Offer(follow.Value[configuration]{Decoded: read, Revision: kv.Revision(offer.Revision)})
}

const (
	// freshFor is how old the newest confirmation may be before a route is said not to exist.
	freshFor = 100 * time.Millisecond
	// readPatience bounds a read of the configuration for a request.
	readPatience = 400 * time.Millisecond
)

// Fresh returns the configuration, read anew where the last confirmation is older than freshFor and the store answers.
func (p *Policies) Fresh(ctx context.Context) *policy.Policy {
	if time.Since(p.follower.Verified()) > freshFor {
		bounded, cancel := context.WithTimeout(ctx, readPatience)
		defer cancel()
		if _, err := p.follower.Refresh(bounded); err != nil {
			p.logger.Warn("the configuration could not be confirmed: %v", err)
		}
	}
	return p.Newest()
}
