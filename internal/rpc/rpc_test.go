package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type text struct {
	Text string `json:"text"`
}

func serve(t *testing.T, secret string) (*Server, *timeline.Clock) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	clock := timeline.NewClock(time.Now)
	m := NewMux(clock)
	Handle(m, "echo", func(_ context.Context, _ *Peer, s text) (text, error) { return s, nil })
	Handle(m, "refuse", func(context.Context, *Peer, text) (text, error) {
		return text{}, fault.New(fault.Overloaded, "later").WithRetryAfter(3 * time.Second)
	})
	s := Serve(listener, secret, m, ProcessLimits())
	t.Cleanup(s.Close)
	return s, clock
}

func dial(t *testing.T, s *Server, secret string) (*Peer, error) {
	t.Helper()
	p, err := Dial(t.Context(), s.listener.Addr().String(), secret, NewMux(timeline.NewClock(time.Now)))
	if err == nil {
		t.Cleanup(p.Close)
	}
	return p, err
}

func TestCall(t *testing.T) {
	s, clock := serve(t, "a secret")
	p, err := dial(t, s, "a secret")
	assert.NilError(t, err)
	got, err := Call[text, text](t.Context(), p, "echo", text{"hello"})
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "hello")
	_, err = Call[text, text](t.Context(), p, "refuse", text{})
	assert.Equal(t, fault.KindOf(err), fault.Overloaded)
	assert.Equal(t, fault.RetryAfter(err), 3*time.Second)
	_, err = Call[text, text](t.Context(), p, "nothing", text{})
	assert.Equal(t, fault.KindOf(err), fault.NotFound)
	assert.Assert(t, p.mux.clock.Now() > 0 && clock.Now() > 0)
}

func TestSecretDiffers(t *testing.T) {
	s, _ := serve(t, "a secret")
	_, err := dial(t, s, "another")
	assert.Equal(t, fault.KindOf(err), fault.Unauthorized)
}

func TestLostConnectionMakesTheOutcomeUnknown(t *testing.T) {
	s, _ := serve(t, "a secret")
	p, err := dial(t, s, "a secret")
	assert.NilError(t, err)
	s.Close()
	<-p.Done()
	_, err = Call[text, text](t.Context(), p, "echo", text{})
	assert.Equal(t, fault.KindOf(err), fault.OutcomeUnknown)
}

func TestMessageOverTheLimitIsRefused(t *testing.T) {
	size := binary.AppendUvarint(nil, MaxMessage+1)
	err := boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(size)), &struct{}{})
	assert.Equal(t, fault.KindOf(err), fault.TooLarge)
}

func FuzzReadObject(f *testing.F) {
	f.Add(append(binary.AppendUvarint(nil, 2), "{}"...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(_ *testing.T, message []byte) {
		var request jsonrpc2.Request
		_ = boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(message)), &request)
	})
}
