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
	longestRequest = 10 * time.Minute
	leavingFor     = 5 * time.Second
)

var endpointProbation = probation.Policy{Failures: 3, Wait: time.Second}

// Endpoint is a replica as an entry sees it, behind the agent beside it.
type Endpoint struct {
	about  control.Endpoint
	far    bool
	client *fasthttp.HostClient

	inFlight atomic.Int64
	reported atomic.Int64

	mu           sync.Mutex
	health       probation.Record
	leavingUntil time.Time
	closed       atomic.Bool
}

func newEndpoint(about control.Endpoint, hall string) *Endpoint {
	e := &Endpoint{about: about, far: about.Hall != hall, client: httpclient.New(about.Address, longestRequest)}
	e.closed.Store(about.Leaving)
	return e
}

// Address returns the address host:port of the agent's request listener.
func (e *Endpoint) Address() string { return e.about.Address }

// Instance returns the VM instance.
func (e *Endpoint) Instance() string { return e.about.Instance }

// Boot returns the start of the agent that the entry knows.
func (e *Endpoint) Boot() string { return e.about.Boot }

// Client returns the client to the agent.
func (e *Endpoint) Client() *fasthttp.HostClient { return e.client }

// Candidate returns what routing needs to know.
func (e *Endpoint) Candidate() routing.Candidate {
	load := max(e.inFlight.Load(), e.reported.Load())
	return routing.NewCandidate(int(load), e.about.Slots, e.far, e.closed.Load())
}

// LastResort returns what routing needs to know when all endpoints are closed: probation may be wrong, leaving is not.
func (e *Endpoint) LastResort() routing.Candidate {
	e.mu.Lock()
	leaving := e.about.Leaving || time.Now().Before(e.leavingUntil)
	e.mu.Unlock()
	return routing.NewCandidate(int(e.inFlight.Load()), e.about.Slots, e.far, leaving)
}

// Begin takes note of a request sent to the endpoint.
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

// End takes note that a request is no longer in flight.
func (e *Endpoint) End() { e.inFlight.Add(-1) }

// SetReportedLoad takes note of the requests that the agent says it has in hand.
func (e *Endpoint) SetReportedLoad(load int) { e.reported.Store(int64(load)) }

// Succeed takes note of an answer.
func (e *Endpoint) Succeed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	endpointProbation.Succeed(&e.health)
	e.refresh(time.Now())
}

// Fail takes note of a failure, and reports whether it put the endpoint on probation.
func (e *Endpoint) Fail() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	began := endpointProbation.Fail(&e.health, time.Now())
	e.refresh(time.Now())
	return began
}

// Leave takes note that the agent says it is leaving; it is believed for some seconds, in which the list follows.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	endpointProbation.CancelTrial(&e.health)
	e.leavingUntil = time.Now().Add(leavingFor)
	e.refresh(time.Now())
}

// Refresh opens an endpoint whose wait is over.
func (e *Endpoint) Refresh(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
}

// refresh works out whether requests may be sent; e.mu is held.
func (e *Endpoint) refresh(now time.Time) {
	allowed := endpointProbation.Allows(&e.health, now)
	e.closed.Store(e.about.Leaving || !allowed || now.Before(e.leavingUntil))
}
