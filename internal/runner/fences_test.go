package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestFencesAreGrantedOncePerEpoch checks grants, and that a leader of the previous release grants its epoch only.
func TestFencesAreGrantedOncePerEpoch(t *testing.T) {
	var f fences
	assert.Assert(t, f.grant(10, 3, 5))
	assert.Assert(t, !f.grant(10, 6, 8), "orders in progress carry the fences of the first connection")
	assert.Equal(t, f.current, uint64(3))
	assert.Assert(t, f.grant(20, 0, 0))
	assert.Equal(t, f.current, uint64(20))
	assert.Equal(t, f.last, uint64(20))
}

// TestFenceIsRaisedAboveAllCalls checks that the fence is raised only if it was used, so that frequent restarts do not exhaust the fences.
func TestFenceIsRaisedAboveAllCalls(t *testing.T) {
	var f fences
	f.grant(10, 3, 4)
	assert.Assert(t, !f.raise())
	assert.Equal(t, f.current, uint64(3))
	f.recordAnswer(3)
	f.use()
	assert.Assert(t, f.confirmed && !f.raise())
	assert.Assert(t, !f.confirmed)
	assert.Equal(t, f.current, uint64(4))
	f.recordAnswer(3)
	assert.Assert(t, !f.confirmed, "an answer under an earlier fence")
	f.use()
	assert.Assert(t, f.raise(), "the fences are exhausted")
}

// TestFenceIsSentBeforeTheWorkerReports checks that a call to whichever incarnation answers sends the fence.
func TestFenceIsSentBeforeTheWorkerReports(t *testing.T) {
	for name, known := range map[string]bool{"agent knows another incarnation": true, "agent knows none": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{current: incarnation.New("i-of-long-ago", 1)}
				r := newTest(worker)
				if !known {
					r.worker = nil
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = r.renewLoop(ctx) }()
				time.Sleep(2 * contactInterval)
				assert.Equal(t, worker.highestFence(worker.current), uint64(3))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestStartUnderAnEarlierFenceIsSentAgain checks that the refusal of such a start does not count as a refusal of its run.
func TestStartUnderAnEarlierFenceIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{}
		r := newTest(worker)
		r.fences = fences{epoch: 3, current: 2, last: 3}
		worker.answerStart = func() (host.Refusal, error) {
			if len(worker.started()) > 1 {
				return host.Accepted, nil
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.raiseFence()
			return host.RefusedFence, nil
		}
		_, err := r.handleOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		time.Sleep(time.Second)
		starts := worker.started()
		assert.Equal(t, len(starts), 2)
		assert.Equal(t, starts[0].Fence, uint64(2))
		assert.Equal(t, starts[1].Fence, uint64(3))
		report, _ := r.compose()
		assert.DeepEqual(t, report.Rejected, []link.Rejected(nil))
	})
}

// TestReturnedWorkerIsCalledSoon checks that a worker is called at short intervals only while it may still carry out earlier calls.
func TestReturnedWorkerIsCalledSoon(t *testing.T) {
	for downtime, within := range map[time.Duration]time.Duration{255 * time.Millisecond: 2 * contactInterval, host.MaxCallDelay + 255*time.Millisecond: renewalRetryDelay} {
		synctest.Test(t, func(t *testing.T) {
			worker := &fakeWorker{current: testID, unavailable: true}
			r := newTest(worker)
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = r.renewLoop(ctx) }()
			time.Sleep(downtime)
			worker.setUnavailable(false)
			time.Sleep(within)
			assert.Equal(t, worker.highestFence(testID), uint64(3), "after %v", downtime)
			cancel()
			synctest.Wait()
		})
	}
}

// TestAgentReplacesOneOfPreviousRelease checks an agent whose predecessor used the epoch as the fence.
func TestAgentReplacesOneOfPreviousRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: testID, acknowledgedEnds: make(map[incarnation.ID]uint64), highestFences: map[incarnation.ID]uint64{testID: 9}}
		r := newTest(worker)
		r.epoch, r.fences = 9, fences{epoch: 9, current: 2, last: 4}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.renewLoop(ctx) }()
		time.Sleep(2 * renewalWait)
		report, _ := r.compose()
		assert.Assert(t, report.Fenced && !report.Unreachable)
		cancel()
		synctest.Wait()
	})
}
