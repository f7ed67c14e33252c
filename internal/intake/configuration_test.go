package intake

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/policy"
)

// narrowLink is a link of 10 Mbit/s, in bytes per second.
const narrowLink = 10_000_000 / 8

// narrowConn is a connection over a narrow link.
type narrowConn struct{ net.Conn }

// Read implements net.Conn.
func (c narrowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	<-time.After(time.Duration(n) * time.Second / narrowLink)
	return n, err
}

// Write implements net.Conn.
func (c narrowConn) Write(b []byte) (int, error) {
	<-time.After(time.Duration(len(b)) * time.Second / narrowLink)
	return c.Conn.Write(b)
}

// dialNarrow connects over a narrow link.
func dialNarrow(ctx context.Context, address string) (net.Conn, error) {
	c, err := httpclient.Dial(ctx, address)
	return narrowConn{c}, err
}

// TestPingsAreAnsweredWhileALargeConfigurationArrives guards against pings that time out because the answer holds a configuration of a
// megabyte, which never arrives then: an entry that the store does not answer receives it from the leader on another connection.
func TestPingsAreAnsweredWhileALargeConfigurationArrives(t *testing.T) {
	e := newTestEntry(t)
	e.server.config.Pool.SetDialer(dialNarrow)
	decode := func(raw []byte) (*policy.Policy, error) { return policy.New(2, nil, nil, len(raw)), nil }
	e.server.config.Policies = NewPolicies(e.store, "config", decode, logging.Discard())
	e.store.set(true)
	e.leader.offer(link.Offer{Revision: 2, Value: make([]byte, 1<<20)})
	for e.server.config.Policies.Newest() == nil {
		began := time.Now()
		assert.NilError(t, e.pingOnce(t))
		assert.Assert(t, time.Since(began) < pingTimeout)
		<-time.After(pingTimeout / 10)
	}
}

// offer makes the leader offer a configuration: with its answers to pings to entries that do not request it.
func (l *fakeLeader) offer(o link.Offer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configuration = o
}

// TestLargeConfigurationReachesTheLeader guards against pings that time out because they hold a configuration that the leader lacks.
func TestLargeConfigurationReachesTheLeader(t *testing.T) {
	e := newTestEntry(t)
	e.server.config.Pool.SetDialer(dialNarrow)
	known := configuration{policy: policy.New(2, nil, nil, 0), raw: make([]byte, 1<<20)}
	e.server.config.Policies.follower.Offer(follow.Value[configuration]{Decoded: known, Revision: 2})
	e.leader.set(link.PingAnswer{Offer: link.Offer{Revision: 1}}, nil)
	assert.NilError(t, e.pingOnce(t))
	assert.NilError(t, e.pingOnce(t))
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	assert.Equal(t, len(e.leader.pings[1].Value), 1<<20)
}
