package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Caller hands jobs in, asks for them and cancels some, as the users' clients do.
type Caller struct {
	fleet  *Fleet
	random *rand.Rand
	client *fasthttp.Client

	// Crashes lets some of the jobs crash their workers.
	Crashes bool

	mu   sync.Mutex
	jobs map[job.ID]job.Spec
	next int
}

const (
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 2500 * time.Millisecond
	// retryAfter is how long a caller waits before it sends a job again, mostAttempts how often it sends or cancels one.
	retryAfter   = 500 * time.Millisecond
	mostAttempts = 12
	// cancelOneOf says of how many jobs one is canceled, crashOneOf of how many one crashes its workers, where any do.
	cancelOneOf = 20
	crashOneOf  = 25
)

// NewCaller returns a caller whose choices follow a seed.
func NewCaller(f *Fleet, seed uint64) *Caller {
	return &Caller{
		fleet: f, random: rand.New(rand.NewPCG(seed, 7)), jobs: make(map[job.ID]job.Spec),
		client: &fasthttp.Client{ReadTimeout: callerPatience, MaxIdemponentCallAttempts: 1, DialDualStack: false},
	}
}

// Play hands in a job every so often until stop is closed; each is sent until it is settled, and then asked for.
func (c *Caller) Play(every time.Duration, stop <-chan struct{}) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			calls.Wait()
			return
		case <-ticker.C:
			spec := c.draw()
			if c.Crashes && c.submitted()%crashOneOf == 0 {
				spec.Text = crashing + " " + spec.Text
			}
			id := c.submit(spec)
			cancel := c.pick(cancelOneOf) == 0
			calls.Go(func() { c.settle(id, cancel, stop) })
		}
	}
}

// settle sends a job until it is accepted or surely refused too often, and cancels it where that is wanted.
func (c *Caller) settle(id job.ID, cancel bool, stop <-chan struct{}) {
	for range mostAttempts {
		if c.send(id) {
			break
		}
		select {
		case <-stop:
			return
		case <-time.After(retryAfter):
		}
	}
	if !cancel {
		return
	}
	for range mostAttempts {
		if c.cancel(id) {
			return
		}
	}
}

// pick draws a number from 0 up to, but not, n.
func (c *Caller) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// draw returns a job of one or two steps with a few short tasks.
func (c *Caller) draw() job.Spec {
	work := time.Duration(100+c.pick(1500)) * time.Millisecond
	spec := job.Spec{Text: "work=" + work.String()}
	for n := range 1 + c.pick(2) {
		step := job.Step{
			Count: 1 + c.pick(4), Estimate: work,
			Size: job.Size{CPU: 500 + c.pick(1500), Memory: 500 + c.pick(1000)},
		}
		if n > 0 {
			step.DependsOn = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// submitted returns how many jobs were handed in.
func (c *Caller) submitted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// submit notes a job that will be handed in and returns its name.
func (c *Caller) submit(spec job.Spec) job.ID {
	c.mu.Lock()
	c.next++
	id := job.ID(fmt.Sprintf("%08x%08x", c.random.Uint32(), c.next))
	c.jobs[id] = spec
	c.mu.Unlock()
	c.fleet.books.Sent(id, spec)
	return id
}

// send hands a job in once and reports whether it is accepted.
func (c *Caller) send(id job.ID) bool {
	c.mu.Lock()
	spec := c.jobs[id]
	c.mu.Unlock()
	body, _ := json.Marshal(bodyOf(spec))
	c.fleet.books.Sending(id)
	status, _ := c.call(fasthttp.MethodPost, id, body)
	accepted := status/100 == 2
	refused := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	c.fleet.books.Answered(id, accepted, refused)
	return accepted
}

// cancel cancels a job once and reports whether that was acknowledged.
func (c *Caller) cancel(id job.ID) bool {
	c.fleet.books.Canceling(id)
	status, _ := c.call(fasthttp.MethodDelete, id, nil)
	acknowledged := status/100 == 2
	if acknowledged {
		c.fleet.books.Canceled(id)
	}
	return acknowledged
}

// ask asks for the state of a job.
func (c *Caller) ask(id job.ID) {
	status, answer := c.call(fasthttp.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == fasthttp.StatusGone {
		c.fleet.books.Shown(id, job.Queued, true)
	}
	if status != fasthttp.StatusOK || json.Unmarshal(answer, &body) != nil {
		return
	}
	for s := job.Queued; s <= job.Canceled; s++ {
		if s.String() == body.State {
			c.fleet.books.Shown(id, s, false)
		}
	}
}

// AskAll asks for all jobs that are not known to be finished.
func (c *Caller) AskAll() {
	for _, id := range c.fleet.books.Unfinished() {
		c.ask(id)
	}
}

// call sends a request to any entry and returns its status, 0 where there is no answer.
func (c *Caller) call(method string, id job.ID, body []byte) (int, []byte) {
	entry := c.fleet.entries[c.pick(len(c.fleet.entries))]
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry.callers + prefix + string(id))
	request.UseHostHeader = true
	request.Header.SetHost(queueHost)
	request.Header.SetMethod(method)
	request.SetBodyRaw(body)
	if err := c.client.DoTimeout(request, response, callerPatience); err != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}

// bodyOf returns a job as the platform writes it.
func bodyOf(spec job.Spec) map[string]any {
	steps := make([]map[string]any, 0, len(spec.Steps))
	for _, s := range spec.Steps {
		steps = append(steps, map[string]any{
			"count": s.Count, "cpu": s.Size.CPU, "mem-mb": s.Size.Memory, "estimate-ms": s.Estimate.Milliseconds(), "depends-on": s.DependsOn,
			"long-running": s.LongRunning,
		})
	}
	return map[string]any{"spec": spec.Text, "steps": steps}
}

// workOf returns how long a task works, which callers write into its text as "work=800ms".
func workOf(text string) time.Duration { return durationOf(text, "work=", 0) }

// durationOf returns the duration that stands in a text behind a name, another where there is none.
func durationOf(text, name string, other time.Duration) time.Duration {
	_, rest, _ := strings.Cut(text, name)
	d, err := time.ParseDuration(strings.Fields(rest + " -")[0])
	if err != nil {
		return other
	}
	return d
}
