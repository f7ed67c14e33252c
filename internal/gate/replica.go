package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/admission"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
)

const (
	longestLatency = int64(10 * time.Minute / time.Microsecond)
	endpointWait   = 10 * time.Minute
	// endpointIdle is how long a connection is kept: an endpoint that closes one while a request is sent leaves doubt.
	endpointIdle = time.Second
)

// replica is a local endpoint of a service with its queue.
type replica struct {
	service string
	address string
	client  *fasthttp.HostClient

	mu      sync.Mutex
	limiter *admission.Limiter
	target  time.Duration
	queue   []chan struct{}
	leaving bool
	window  *hdrhistogram.Histogram
	load    float64
	offers  int64
	ran     time.Duration
}

func newReplica(service, address string, slots, queue int, target time.Duration) *replica {
	client := httpclient.New(address, endpointWait)
	client.MaxIdleConnDuration = endpointIdle
	return &replica{
		service: service, address: address, target: target,
		client:  client,
		limiter: admission.NewLimiter(slots, queue, target),
		window:  hdrhistogram.New(1, longestLatency, 2),
	}
}

func (r *replica) configure(slots, queue int, target time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Configure(slots, queue, target)
	r.target = target
}

// inFlight is the requests that run or wait.
func (r *replica) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Running() + r.limiter.Waiting()
}

// enter waits for a slot until the deadline; a refusal tells when to return, and nothing ran.
func (r *replica) enter(ctx context.Context, deadline time.Time) error {
	r.mu.Lock()
	if r.leaving {
		r.mu.Unlock()
		return fault.New(fault.Leaving, "the replica of %s is leaving", r.service)
	}
	decision := r.limiter.Offer(time.Until(deadline))
	r.offers++
	r.load += r.limiter.Load()
	switch decision {
	case admission.Run:
		r.mu.Unlock()
		return nil
	case admission.Refuse:
		after := r.limiter.RetryAfter(rand.Float64())
		r.mu.Unlock()
		return fault.New(fault.Overloaded, "%s cannot run the request within its deadline", r.service).WithRetryAfter(after)
	}
	turn := make(chan struct{})
	r.queue = append(r.queue, turn)
	r.mu.Unlock()
	return r.await(ctx, turn, deadline)
}

func (r *replica) await(ctx context.Context, turn chan struct{}, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-turn:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, waiting := range r.queue {
		if waiting == turn {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			r.limiter.Abandon()
			return fault.New(fault.DeadlineExceeded, "the request waited for %s until its deadline", r.service).
				WithRetryAfter(r.limiter.RetryAfter(rand.Float64()))
		}
	}
	// The turn came at the same moment; it is given to the next.
	r.limiter.Release()
	r.promote()
	return fault.New(fault.DeadlineExceeded, "the request waited for %s until its deadline", r.service)
}

// exit frees the slot of a request that ran, and takes note of how long it took with and without its wait.
func (r *replica) exit(ran, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Finish(ran)
	r.ran += ran
	_ = r.window.RecordValue(min(max(latency.Microseconds(), 1), longestLatency))
	r.promote()
}

// promote lets waiting requests run while there is room; r.mu is held.
func (r *replica) promote() {
	for len(r.queue) > 0 && r.limiter.Promote() {
		close(r.queue[0])
		r.queue = r.queue[1:]
	}
}

// Measurement is how a replica did since it was last measured.
type Measurement struct {
	service string
	ratio   float64
	load    float64
	run     time.Duration
	samples int64
}

// Service returns the service.
func (m Measurement) Service() string { return m.service }

// LatencyRatio returns the latency of 99 of 100 requests as a share of the target.
func (m Measurement) LatencyRatio() float64 { return m.ratio }

// Load returns the mean share, 0 to 1, of the slots in use.
func (m Measurement) Load() float64 { return m.load }

// MeanRunTime returns how long requests ran at the endpoint on average, without their wait.
func (m Measurement) MeanRunTime() time.Duration { return m.run }

// Samples returns how many requests were measured.
func (m Measurement) Samples() int64 { return m.samples }

func (r *replica) measure() Measurement {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Measurement{service: r.service, samples: r.window.TotalCount()}
	if m.samples > 0 {
		m.run = r.ran / time.Duration(m.samples)
	}
	if m.samples > 0 && r.target > 0 {
		m.ratio = float64(r.window.ValueAtQuantile(99)) / float64(r.target.Microseconds())
	}
	if r.offers > 0 {
		m.load = r.load / float64(r.offers)
	}
	r.window.Reset()
	r.load, r.offers, r.ran = 0, 0, 0
	return m
}
