package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// heldTask is the task of the tests of held calls.
var heldTask = job.TaskID{Job: "00000000000000aa"}

// newHeldWorker returns a worker that returns under its id with a clock that is behind, for a job of heldTask.
func newHeldWorker() *Worker {
	checker := NewChecker()
	w := NewWorker("w", "north", "", workerCapacity, checker)
	w.SetIdentities(SameIDClockBehind)
	checker.RecordJob(heldTask.Job, job.Spec{Text: "work=1s", Steps: []job.Step{demoStep(1, time.Second)}})
	checker.RecordAnswer(heldTask.Job, true, false)
	return w
}

// call calls a worker and returns the status of its answer once there is one.
func call(w *Worker, path string, o order) <-chan int {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI(path)
	body, _ := json.Marshal(o)
	ctx.Request.SetBody(body)
	answered := make(chan int, 1)
	go func() {
		w.Handle(ctx)
		answered <- ctx.Response.StatusCode()
	}()
	return answered
}

// TestNextIncarnationCarriesOutHeldCalls checks that calls during a downtime are carried out in the order in which they came: a start before a renewal
// with a higher fence runs, one after it is refused.
func TestNextIncarnationCarriesOutHeldCalls(t *testing.T) {
	const down = 100 * time.Millisecond
	for name, c := range map[string]struct {
		paths   []string
		fences  []uint64
		status  []int
		running int
	}{
		"start first":   {[]string{"/run-start", "/hold"}, []uint64{1, 2}, []int{fasthttp.StatusOK, fasthttp.StatusOK}, 1},
		"renewal first": {[]string{"/hold", "/run-start"}, []uint64{2, 1}, []int{fasthttp.StatusOK, fasthttp.StatusConflict}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newHeldWorker()
			previous := w.incarnation
			until := previous.clock() + 3000
			done := make(chan struct{})
			go func() { w.CrashDark(0, down); close(done) }()
			var answers []<-chan int
			for i, path := range c.paths {
				<-time.After(down / 5)
				answers = append(answers, call(w, path, order{Task: heldTask.String(), Run: 1, Spec: "work=1s", LeaseEnd: until, Fence: c.fences[i]}))
			}
			assert.Equal(t, w.runs(), 0, "while the worker is down")
			<-done
			for i, answer := range answers {
				assert.Equal(t, <-answer, c.status[i])
			}
			assert.Assert(t, w.incarnation != previous)
			assert.Equal(t, w.runs(), c.running)
			assert.Assert(t, time.Until(w.incarnation.leaseEnd) > maxLease-time.Second, "a deadline on the clock of the previous incarnation is far ahead")
		})
	}
}

// TestRunCountsUntilItsStopHasFinished checks that a stop takes time, during which a start elsewhere is a violation.
func TestRunCountsUntilItsStopHasFinished(t *testing.T) {
	w := newHeldWorker()
	w.setDelays(rand.New(rand.NewPCG(1, 1)), func(string, ...any) {})
	start := order{Task: heldTask.String(), Run: 1, Spec: "work=1s", LeaseEnd: w.incarnation.clock() + 3000, Fence: 1}
	assert.Equal(t, w.execute("/run-start", w.incarnation, start), "")
	assert.Equal(t, w.execute("/run-stop", w.incarnation, start), "")
	assert.Equal(t, w.checker.running(heldTask.Job), 1)
	<-time.After(minStopTime + stopTimeRange)
	assert.Equal(t, w.execute("/pace", w.incarnation, start), "")
	assert.Equal(t, w.checker.running(heldTask.Job), 0)
}
