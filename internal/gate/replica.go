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
	maxLatency      = int64(10 * time.Minute / time.Microsecond)
	endpointTimeout = 10 * time.Minute
	// endpointIdle is how long an idle connection is kept; if the endpoint closes one while a request is sent, its
	// outcome is unknown.
	endpointIdle = time.Second
)

// replica is a local endpoint of a service with its queue.
type replica struct {
	service string
	address string
	client  *fasthttp.HostClient

	mu         sync.Mutex
	limiter    *admission.Limiter
	target     time.Duration
	queue      []chan struct{}
	leaving    bool
	latencies  *hdrhistogram.Histogram
	loadSum    float64
	offerCount int64
	runTimeSum time.Duration
}

func newReplica(service, address string, slots, queue int, target time.Duration) *replica {
	client := httpclient.New(address, endpointTimeout)
	client.MaxIdleConnDuration = endpointIdle
	return &replica{
		service: service, address: address, target: target,
		client:    client,
		limiter:   admission.NewLimiter(slots, queue, target),
		latencies: hdrhistogram.New(1, maxLatency, 2),
	}
}

func (r *replica) configure(slots, queue int, target time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Configure(slots, queue, target)
	r.target = target
}

// inFlight returns the number of requests that run or wait.
func (r *replica) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limiter.Running() + r.limiter.Waiting()
}

// enter waits for a slot until the deadline; an error means that nothing ran, and may carry a retry delay.
func (r *replica) enter(ctx context.Context, deadline time.Time) error {
	r.mu.Lock()
	if r.leaving {
		r.mu.Unlock()
		return fault.New(fault.Leaving, "the replica of %s is leaving", r.service)
	}
	decision := r.limiter.Offer(time.Until(deadline))
	r.offerCount++
	r.loadSum += r.limiter.Load()
	switch decision {
	case admission.Run:
		r.mu.Unlock()
		return nil
	case admission.Refuse:
		after := r.limiter.RetryAfter(rand.Float64())
		r.mu.Unlock()
		return fault.New(fault.Overloaded, "%s cannot run the request within its deadline", r.service).WithRetryAfter(after)
	}
	granted := make(chan struct{})
	r.queue = append(r.queue, granted)
	r.mu.Unlock()
	return r.await(ctx, granted, deadline)
}

func (r *replica) await(ctx context.Context, granted chan struct{}, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, waiting := range r.queue {
		if waiting == granted {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			r.limiter.Abandon()
			return fault.New(fault.DeadlineExceeded, "the request waited for %s until its deadline", r.service).
				WithRetryAfter(r.limiter.RetryAfter(rand.Float64()))
		}
	}
	// The slot was granted at the same moment; it passes to the next request.
	r.limiter.Release()
	r.promote()
	return fault.New(fault.DeadlineExceeded, "the request waited for %s until its deadline", r.service)
}

// exit frees the slot of a request that ran, and records its run time and its latency, which includes the wait for the slot.
func (r *replica) exit(runTime, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Finish(runTime)
	r.runTimeSum += runTime
	_ = r.latencies.RecordValue(min(max(latency.Microseconds(), 1), maxLatency))
	r.promote()
}

// promote grants free slots to waiting requests; r.mu is held.
func (r *replica) promote() {
	for len(r.queue) > 0 && r.limiter.Promote() {
		close(r.queue[0])
		r.queue = r.queue[1:]
	}
}

// Measurement summarizes the requests of a replica since the previous measurement.
type Measurement struct {
	service      string
	latencyRatio float64
	load         float64
	meanRunTime  time.Duration
	samples      int64
}

// Service returns the service of the replica.
func (m Measurement) Service() string { return m.service }

// LatencyRatio returns the 99th percentile of the latency as a share of the target.
func (m Measurement) LatencyRatio() float64 { return m.latencyRatio }

// Load returns the mean share, 0 to 1, of the slots in use.
func (m Measurement) Load() float64 { return m.load }

// MeanRunTime returns the mean time of requests at the endpoint, without their wait.
func (m Measurement) MeanRunTime() time.Duration { return m.meanRunTime }

// Samples returns the number of measured requests.
func (m Measurement) Samples() int64 { return m.samples }

func (r *replica) measure() Measurement {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Measurement{service: r.service, samples: r.latencies.TotalCount()}
	if m.samples > 0 {
		m.meanRunTime = r.runTimeSum / time.Duration(m.samples)
	}
	if m.samples > 0 && r.target > 0 {
		m.latencyRatio = float64(r.latencies.ValueAtQuantile(99)) / float64(r.target.Microseconds())
	}
	if r.offerCount > 0 {
		m.load = r.loadSum / float64(r.offerCount)
	}
	r.latencies.Reset()
	r.loadSum, r.offerCount, r.runTimeSum = 0, 0, 0
	return m
}
