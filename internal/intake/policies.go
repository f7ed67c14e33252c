package intake

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/policy"
)

// configuration is a decoded configuration with its stored bytes, which entries pass on to each other.
type configuration struct {
	policy *policy.Policy
	raw    []byte
}

// Policies holds the newest configuration known to the process.
type Policies struct {
	follower *follow.Follower[configuration]
	decode   func([]byte) (*policy.Policy, error)
	logger   logging.Logger
}

// NewPolicies returns the policies stored under a key, as decoded by decode.
func NewPolicies(store kv.Store, key string, decode func([]byte) (*policy.Policy, error), logger logging.Logger) *Policies {
	p := &Policies{decode: decode, logger: logger}
	p.follower = follow.New(store, key, p.read, logger)
	return p
}

func (p *Policies) read(raw []byte) (configuration, error) {
	decoded, err := p.decode(raw)
	if err != nil {
		p.logger.Error("configuration cannot be decoded: %v", err)
		return configuration{}, err
	}
	p.logger.Info("configuration read; version=%d routes=%d", decoded.Version(), len(decoded.Routes()))
	return configuration{policy: decoded, raw: raw}, nil
}

// Run follows the configuration until ctx ends.
func (p *Policies) Run(ctx context.Context) { p.follower.Run(ctx) }

// Confirm records that the leader has just confirmed the configuration.
func (p *Policies) Confirm() { p.follower.Confirm() }

// Refresh reads the configuration unless it is unchanged.
func (p *Policies) Refresh(ctx context.Context) error {
	_, err := p.follower.Refresh(ctx)
	return err
}

// Newest returns the newest configuration, nil before the first.
func (p *Policies) Newest() *policy.Policy {
	value, _ := p.follower.Value()
	return value.Decoded.policy
}

// Offer returns the newest configuration as stored, to be passed on.
func (p *Policies) Offer() link.Offer {
	value, _ := p.follower.Value()
	return link.Offer{Revision: uint64(value.Revision), Value: value.Decoded.raw}
}

// VerifiedAge returns how long ago the store last confirmed the configuration, by the start of the call.
func (p *Policies) VerifiedAge() time.Duration { return time.Since(p.follower.Verified()) }

// Accept stores an offered configuration unless a newer one is known.
func (p *Policies) Accept(offer link.Offer) {
	value, _ := p.follower.Value()
	if len(offer.Value) == 0 || kv.Revision(offer.Revision) <= value.Revision {
		return
	}
	parsed, err := p.read(offer.Value)
	if err != nil {
		return
	}
	p.follower.Offer(follow.Value[configuration]{Decoded: parsed, Size: len(offer.Value), Revision: kv.Revision(offer.Revision)})
}

const (
	// maxConfirmationAge is how old the latest confirmation may be before a request is rejected permanently.
	maxConfirmationAge = 100 * time.Millisecond
	// confirmationTimeout bounds the wait of a request for a confirmation. Requests that come later are handled by the previous configuration
	// meanwhile, so one that waited long would seem to be handled before them by the newer one.
	confirmationTimeout = 400 * time.Millisecond
)

// Fresh returns the first configuration that accepts a request, or else the one that the store has confirmed by a call that is not older
// than maxConfirmationAge; the error is of kind Unavailable if the store does not confirm one.
func (p *Policies) Fresh(ctx context.Context, accepts func(*policy.Policy) bool) (*policy.Policy, error) {
	bounded, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	err := p.follower.Verify(bounded, time.Now().Add(-maxConfirmationAge), func(c configuration) bool {
		return c.policy != nil && accepts(c.policy)
	})
	current := p.Newest()
	if current == nil {
		return nil, errNoConfiguration
	}
	if err != nil {
		p.logger.Warn("the configuration could not be confirmed; version=%d verified_ms=%d reason=%v",
			current.Version(), p.VerifiedAge().Milliseconds(), err)
		return nil, fault.Wrap(err, fault.Unavailable, "the configuration could not be confirmed").WithRetryAfter(retryAfter)
	}
	return current, nil
}

var errNoConfiguration = fault.New(fault.Unavailable, "no configuration has been read yet").WithRetryAfter(retryAfter)
