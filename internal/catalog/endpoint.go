package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/probation"
	"github.com/saffronpulley/saffronpulley/internal/routing"
)

const (
	maxRequestTime  = 10 * time.Minute
	leavingDuration = 5 * time.Second
)

var endpointProbation = probation.Policy{Failures: 3, Wait: time.Second}

// Endpoint is a replica to which the entry sends requests through the agent on the same VM.
type Endpoint struct {
	info      control.Endpoint
	otherHall bool
	client    *fasthttp.HostClient

	inFlight atomic.Int64
	reported atomic.Int64

	mu           sync.Mutex
	health       probation.Record
	leavingUntil time.Time
	closed       atomic.Bool
}

func newEndpoint(info control.Endpoint, hall string) *Endpoint {
	e := &Endpoint{info: info, otherHall: info.Hall != hall, client: httpclient.New(info.Address, maxRequestTime)}
	e.closed.Store(info.Leaving)
	return e
}

// Address returns the address host:port of the agent's request listener.
func (e *Endpoint) Address() string { return e.info.Address }

// Instance returns the VM instance.
func (e *Endpoint) Instance() string { return e.info.Instance }

// Boot returns the identifier of the agent's incarnation.
func (e *Endpoint) Boot() string { return e.info.Boot }

// Client returns the client to the agent.
func (e *Endpoint) Client() *fasthttp.HostClient { return e.client }

// Candidate returns the state that routing needs.
func (e *Endpoint) Candidate() routing.Candidate {
	load := max(e.inFlight.Load(), e.reported.Load())
	return routing.NewCandidate(int(load), e.info.Slots, e.otherHall, e.closed.Load())
}

// LastResort returns the state that routing needs if all endpoints are closed: it ignores probation, which may be wrong,
// but not leaving.
func (e *Endpoint) LastResort() routing.Candidate {
	e.mu.Lock()
	leaving := e.info.Leaving || time.Now().Before(e.leavingUntil)
	e.mu.Unlock()
	return routing.NewCandidate(int(e.inFlight.Load()), e.info.Slots, e.otherHall, leaving)
}

// Begin records a request sent to the endpoint.
func (e *Endpoint) Begin() {
	e.inFlight.Add(1)
	if e.closed.Load() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	endpointProbation.StartTrial(&e.health)
	e.refresh(time.Now())
}

// End records that a request is no longer in flight.
func (e *Endpoint) End() { e.inFlight.Add(-1) }

// SetReportedLoad records the number of requests that the agent reports in flight.
func (e *Endpoint) SetReportedLoad(load int) { e.reported.Store(int64(load)) }

// Succeed records an answer.
func (e *Endpoint) Succeed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	endpointProbation.Succeed(&e.health)
	e.refresh(time.Now())
}

// Fail records a failure and reports whether it put the endpoint on probation.
func (e *Endpoint) Fail() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ejected := endpointProbation.Fail(&e.health, time.Now())
	e.refresh(time.Now())
	return ejected
}

// Leave records that the agent reported that it is leaving; the endpoint is closed for leavingDuration, in which the list of
// endpoints is updated.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	endpointProbation.CancelTrial(&e.health)
	e.leavingUntil = time.Now().Add(leavingDuration)
	e.refresh(time.Now())
}

// Refresh reopens the endpoint if its probation wait has ended.
func (e *Endpoint) Refresh(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
}

// refresh updates whether requests may be sent; e.mu is held.
func (e *Endpoint) refresh(now time.Time) {
	allowed := endpointProbation.Allows(&e.health, now)
	e.closed.Store(e.info.Leaving || !allowed || now.Before(e.leavingUntil))
}
