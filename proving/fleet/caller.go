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

// Caller submits jobs, queries their state and cancels some, as the users' clients do.
type Caller struct {
	fleet  *Fleet
	random *rand.Rand
	client *fasthttp.Client

	// CrashWorkers makes some of the jobs crash their workers.
	CrashWorkers bool
	// gangs draws the jobs whose first step is a gang, nil if none is.
	gangs *rand.Rand
	// long draws the jobs of long tasks, nil if none is.
	long *rand.Rand

	mu   sync.Mutex
	jobs map[job.ID]job.Spec
	next int
}

const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 2500 * time.Millisecond
	// retryDelay is the pause before a caller submits a job again; maxAttempts limits its attempts to submit or cancel one.
	retryDelay  = 500 * time.Millisecond
	maxAttempts = 12
	// One in cancelOneIn jobs is canceled; one in crashOneIn crashes its workers if CrashWorkers is set.
	cancelOneIn = 20
	crashOneIn  = 25
	// One in gangOneIn jobs begins with a gang, of up to maxMoreMembers more members than tasks, if the caller draws gangs.
	gangOneIn      = 3
	maxMoreMembers = 4
	// One in longOneIn jobs consists of up to maxLongTasks long tasks, if the caller draws them. All tasks are small then, so that they start at once.
	longOneIn       = 3
	maxLongTasks    = 3
	minLongTask     = 8 * time.Second
	longTaskRange   = 4 * time.Second
	smallTaskCPU    = 200
	smallTaskMemory = 300
)

// NewCaller returns a caller whose random choices follow a seed.
func NewCaller(f *Fleet, seed uint64) *Caller {
	return &Caller{
		fleet: f, random: rand.New(rand.NewPCG(seed, 7)), jobs: make(map[job.ID]job.Spec),
		client: &fasthttp.Client{ReadTimeout: callerTimeout, MaxIdemponentCallAttempts: 1, DialDualStack: false},
	}
}

// Run submits a new job in each interval until stop is closed, and waits for the calls in progress.
func (c *Caller) Run(interval time.Duration, stop <-chan struct{}) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			calls.Wait()
			return
		case <-ticker.C:
			c.submitNext(&calls, stop)
		}
	}
}

// submitNext starts the submission of a random job.
func (c *Caller) submitNext(calls *sync.WaitGroup, stop <-chan struct{}) {
	spec := c.randomSpec()
	if c.CrashWorkers && c.jobCount()%crashOneIn == 0 {
		spec.Text = crashMarker + " " + spec.Text
	}
	id := c.addJob(spec)
	cancel := c.randomN(cancelOneIn) == 0
	calls.Go(func() { c.submitAndCancel(id, cancel, stop) })
}

// submitAndCancel submits a job until it is accepted or maxAttempts is reached, and then cancels it if cancel is set.
func (c *Caller) submitAndCancel(id job.ID, cancel bool, stop <-chan struct{}) {
	for range maxAttempts {
		if c.submit(id) {
			break
		}
		select {
		case <-stop:
			return
		case <-time.After(retryDelay):
		}
	}
	if !cancel {
		return
	}
	for range maxAttempts {
		if c.cancel(id) {
			return
		}
	}
}

// randomN returns a random number from 0 to n-1.
func (c *Caller) randomN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// randomSpec returns a random job of one or two steps with a few short tasks.
func (c *Caller) randomSpec() job.Spec {
	taskTime := time.Duration(100+c.randomN(1500)) * time.Millisecond
	spec := job.Spec{Text: "work=" + taskTime.String()}
	for n := range 1 + c.randomN(2) {
		step := job.Step{
			Count: 1 + c.randomN(4), Estimate: taskTime,
			Size: job.Size{CPU: 500 + c.randomN(1500), Memory: 500 + c.randomN(1000)},
		}
		if n > 0 {
			step.DependsOn = []int{n - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	c.drawGang(&spec.Steps[0])
	c.drawLong(&spec)
	return spec
}

// drawLong draws whether a job is one of long tasks, and makes the tasks small.
func (c *Caller) drawLong(spec *job.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.long == nil {
		return
	}
	small := job.Size{CPU: smallTaskCPU, Memory: smallTaskMemory}
	for i := range spec.Steps {
		spec.Steps[i].Size = small
	}
	if c.long.IntN(longOneIn) != 0 {
		return
	}
	taskTime := drawDuration(c.long, minLongTask, longTaskRange).Round(time.Millisecond)
	step := job.Step{Count: 1 + c.long.IntN(maxLongTasks), Estimate: taskTime, Size: small}
	*spec = job.Spec{Text: "work=" + taskTime.String(), Steps: []job.Step{step}}
}

// drawGang draws whether a step is a gang of more members than its tasks.
func (c *Caller) drawGang(step *job.Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gangs != nil && c.gangs.IntN(gangOneIn) == 0 {
		step.Gang = true
		step.Count += c.gangs.IntN(maxMoreMembers + 1)
	}
}

// jobCount returns how many jobs were added.
func (c *Caller) jobCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// addJob records a job to be submitted and returns its id.
func (c *Caller) addJob(spec job.Spec) job.ID {
	c.mu.Lock()
	c.next++
	id := job.ID(fmt.Sprintf("%08x%08x", c.random.Uint32(), c.next))
	c.jobs[id] = spec
	c.mu.Unlock()
	c.fleet.checker.RecordJob(id, spec)
	return id
}

// submit submits a job once at a random entry and reports whether it was accepted.
func (c *Caller) submit(id job.ID) bool { return c.submitAt(c.randomEntry(), id) }

// submitAt submits a job once at an entry and reports whether it was accepted.
func (c *Caller) submitAt(entry *Process, id job.ID) bool {
	c.mu.Lock()
	spec := c.jobs[id]
	c.mu.Unlock()
	body, _ := json.Marshal(encodeSpec(spec))
	c.fleet.checker.RecordAttempt(id)
	status, _ := c.call(entry, fasthttp.MethodPost, id, body)
	accepted := status/100 == 2
	refused := status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	c.fleet.checker.RecordAnswer(id, accepted, refused)
	return accepted
}

// cancel cancels a job once at a random entry and reports whether the cancellation was acknowledged.
func (c *Caller) cancel(id job.ID) bool { return c.cancelAt(c.randomEntry(), id) }

// cancelAt cancels a job once at an entry and reports whether the cancellation was acknowledged, which an answer that there is no such job does as well.
func (c *Caller) cancelAt(entry *Process, id job.ID) bool {
	c.fleet.checker.RecordCancelRequest(id)
	status, _ := c.call(entry, fasthttp.MethodDelete, id, nil)
	acknowledged := status/100 == 2 || status == fasthttp.StatusGone
	if acknowledged {
		c.fleet.checker.RecordCancellation(id)
	}
	if status == fasthttp.StatusGone {
		c.fleet.checker.RecordGone(id)
	}
	return acknowledged
}

// queryState queries the state of a job and records it.
func (c *Caller) queryState(id job.ID) {
	status, answer := c.call(c.randomEntry(), fasthttp.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == fasthttp.StatusGone {
		c.fleet.checker.RecordState(id, job.Queued, true)
	}
	if status != fasthttp.StatusOK || json.Unmarshal(answer, &body) != nil {
		return
	}
	for s := job.Queued; s <= job.Canceled; s++ {
		if s.String() == body.State {
			c.fleet.checker.RecordState(id, s, false)
		}
	}
}

// QueryUnfinished queries the state of all unfinished jobs.
func (c *Caller) QueryUnfinished() {
	for _, id := range c.fleet.checker.Unfinished() {
		c.queryState(id)
	}
}

func (c *Caller) randomEntry() *Process { return c.fleet.entries[c.randomN(len(c.fleet.entries))] }

// call sends a request to an entry and returns its status, 0 if there is no answer, and its body.
func (c *Caller) call(entry *Process, method string, id job.ID, body []byte) (int, []byte) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry.callers + pathPrefix + string(id))
	request.UseHostHeader = true
	request.Header.SetHost(queueHost)
	request.Header.SetMethod(method)
	request.SetBodyRaw(body)
	if err := c.client.DoTimeout(request, response, callerTimeout); err != nil {
		return 0, nil
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}

// encodeSpec returns a job in the platform's encoding.
func encodeSpec(spec job.Spec) map[string]any {
	steps := make([]map[string]any, 0, len(spec.Steps))
	for _, s := range spec.Steps {
		steps = append(steps, map[string]any{
			"count": s.Count, "cpu": s.Size.CPU, "mem-mb": s.Size.Memory, "estimate-ms": s.Estimate.Milliseconds(), "depends-on": s.DependsOn,
			"long-running": s.LongRunning, "gang": s.Gang,
		})
	}
	return map[string]any{"spec": spec.Text, "steps": steps}
}

// taskTimeOf returns the running time of a job's tasks, which its text sets as "work=800ms".
func taskTimeOf(text string) time.Duration { return parseDuration(text, "work=", 0) }

// parseDuration returns the duration after a name in a text, or fallback if there is none.
func parseDuration(text, name string, fallback time.Duration) time.Duration {
	_, rest, _ := strings.Cut(text, name)
	d, err := time.ParseDuration(strings.Fields(rest + " -")[0])
	if err != nil {
		return fallback
	}
	return d
}
