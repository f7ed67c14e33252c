package intake

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/kv"
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

// silentStore is a store whose watches end without a change, as on a connection that has gone silent.
type silentStore struct{ *rejectingStore }

// Watch implements kv.Store.
func (s silentStore) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, ctx.Err()
}

// TestConfigurationIsReadOnceNoLeaderConfirmsIt guards against an outdated configuration for up to ten seconds: a watch that waits longer while
// a leader confirms the configuration goes on after the leader is lost.
func TestConfigurationIsReadOnceNoLeaderConfirmsIt(t *testing.T) {
	const inForceTimeout = 2 * time.Second
	e := newTestEntry(t)
	decode := func(raw []byte) (*policy.Policy, error) {
		return policy.New(policy.Version(len(raw)), nil, nil, 0), nil
	}
	e.server.config.Policies = NewPolicies(silentStore{e.store}, "config", decode, logging.Discard())
	configure := func(version int) {
		_, err := e.store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "config", Value: make([]byte, version)}}})
		assert.NilError(t, err)
	}
	configure(1)
	assert.NilError(t, e.pingOnce(t))
	go e.server.config.Policies.Run(t.Context())
	for e.server.config.Policies.Newest() == nil {
		<-time.After(time.Millisecond)
	}
	go e.Run(t.Context())
	<-time.After(2 * pingInterval)
	e.closeLeader()
	<-time.After(pingInterval)
	configure(2)
	<-time.After(inForceTimeout)
	assert.Equal(t, e.server.config.Policies.Newest().Version(), policy.Version(2))
}
