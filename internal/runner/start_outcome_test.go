package runner

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// startAnswerDelay is how long the fake worker takes to answer a start in these tests.
const startAnswerDelay = 20 * time.Millisecond

// Answers of a worker to a start.
func rejectAsStale() (host.Refusal, error) {
	return host.RefusedInvalid, fault.New(fault.Stale, "another instance answers")
}

func refuseConnection() (host.Refusal, error) {
	return host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
}

// endUnderStart ends the worker's incarnation while a start is in progress that gets the given answers in turn, each after startAnswerDelay.
func endUnderStart(t *testing.T, answers ...func() (host.Refusal, error)) *Runner {
	t.Helper()
	worker := &fakeWorker{current: testID}
	r := newTest(worker)
	startLoops(t, r)
	time.Sleep(time.Second)
	worker.answerStart = func() (host.Refusal, error) {
		n := min(len(worker.started()), len(answers)) - 1
		time.Sleep(startAnswerDelay)
		return answers[n]()
	}
	_, err := r.handleOrders(t.Context(), nil, startOrders())
	assert.NilError(t, err)
	time.Sleep(startAnswerDelay/2 + time.Duration(len(answers)-1)*(startAnswerDelay+orderRetryDelay))
	assert.Equal(t, len(worker.started()), len(answers))
	r.recordFailedRenewal(testID, time.Now(), fault.New(fault.Stale, "another instance answers"))
	return r
}

// TestCrashIsNotAttributedToStartThatWasNotCarriedOut guards against a job that is given up after three crashes under one of its tasks, since a
// crash before its first start was counted as well.
//
// A start is sent to an incarnation that has just ended, and the next incarnation rejects it. The agent recorded the end, as shown by a renewal that was
// answered before the start, with the start as a run without an answer; the rejection some milliseconds later changed nothing.
//
// A start without an answer stays a possible cause, whatever a later call shows: the worker may have crashed under it.
func TestCrashIsNotAttributedToStartThatWasNotCarriedOut(t *testing.T) {
	type answers []func() (host.Refusal, error)
	refuseFence := func() (host.Refusal, error) { return host.RefusedFence, nil }
	refuseOld := func() (host.Refusal, error) { return host.RefusedOld, nil }
	for name, c := range map[string]struct {
		answers answers
		runs    int
	}{
		"rejected by another incarnation": {answers{rejectAsStale}, 0},
		"not sent":                        {answers{refuseConnection}, 0},
		"refused":                         {answers{refuseFence}, 0},
		"refused as an earlier run":       {answers{refuseOld}, 1},
		"accepted":                        {answers{accept}, 1},
		"unanswered":                      {answers{noAnswer}, 1},
		"unanswered, then rejected":       {answers{noAnswer, rejectAsStale}, 1},
		"unanswered, then not sent":       {answers{noAnswer, refuseConnection}, 1},
		"not sent, then unanswered":       {answers{refuseConnection, noAnswer}, 1},
		"not sent, then rejected":         {answers{refuseConnection, rejectAsStale}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := endUnderStart(t, c.answers...)
				time.Sleep(startAnswerDelay)
				crashes := reportedCrashes(r)
				assert.Equal(t, len(crashes), 1)
				assert.Equal(t, len(crashes[0].Runs), c.runs)
			})
		})
	}
}

// TestUnansweredStartOfEarlierOrderRemainsPossibleCause checks that a start without an answer is not cleared by the rejection of the start that the
// next leader orders.
func TestUnansweredStartOfEarlierOrderRemainsPossibleCause(t *testing.T) {
	for name, answer := range map[string]func() (host.Refusal, error){"rejected": rejectAsStale, "not sent": refuseConnection} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{current: testID, answerStart: noAnswer}
				r := newTest(worker)
				startLoops(t, r)
				time.Sleep(time.Second)
				_, err := r.handleOrders(t.Context(), nil, startOrders())
				assert.NilError(t, err)
				synctest.Wait()
				assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
				worker.mu.Lock()
				worker.answerStart = answer
				worker.mu.Unlock()
				orders := startOrders()
				orders.Epoch = 4
				_, err = r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				synctest.Wait()
				assert.Equal(t, len(worker.started()), 2)
				restartUnderNewID(r, worker)
				crashes := reportedCrashes(r)
				assert.Equal(t, len(crashes), 1)
				assert.Equal(t, len(crashes[0].Runs), 1)
			})
		})
	}
}

// TestRejectionOfOneStartDoesNotDecideAnother checks two start calls of one run in progress at once, as after a change of the leader: the rejection
// of one shows nothing of the other.
func TestRejectionOfOneStartDoesNotDecideAnother(t *testing.T) {
	runs := make(runSet)
	run := testRun(1)
	runs.recordStart(run)
	runs.recordStart(run)
	runs.recordOutcome(run, startNotCarriedOut)
	assert.Assert(t, runs[run] != nil && runs[run].undecided())
	runs.recordOutcome(run, startUnanswered)
	assert.Assert(t, runs[run] != nil && !runs[run].undecided())
}

// TestReportOfCrashAwaitsOutcomeOfStarts guards against a crash report that is sent before the rejection of a start arrives: the leader attributes a
// crash once. The report waits no longer than for the timeout of a start.
func TestReportOfCrashAwaitsOutcomeOfStarts(t *testing.T) {
	hang := func() (host.Refusal, error) {
		time.Sleep(time.Second)
		return rejectAsStale()
	}
	for name, c := range map[string]struct {
		answer func() (host.Refusal, error)
		runs   int
		delay  time.Duration
	}{
		"rejected":       {rejectAsStale, 0, startAnswerDelay / 2},
		"without answer": {hang, 1, minStartTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reports := make(chan link.Report, 9)
				r := endUnderStart(t, c.answer)
				session := connectTo(t, r, reports)
				endedAt := time.Now()
				_, err := r.sendReport(t.Context(), &uplink{session: session})
				assert.NilError(t, err)
				assert.Equal(t, time.Since(endedAt), c.delay)
				time.Sleep(2 * time.Second)
				_, err = r.sendReport(t.Context(), &uplink{session: session})
				assert.NilError(t, err)
				for range 2 {
					report := <-reports
					assert.Equal(t, len(report.Crashes), 1)
					assert.Equal(t, len(report.Crashes[0].Runs), c.runs, "a reported crash does not change")
				}
			})
		})
	}
}

// connectTo returns a connection of the agent to a leader that records reports and acknowledges nothing.
func connectTo(t *testing.T, r *Runner, reports chan link.Report) *rpc.Peer {
	t.Helper()
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	rpc.Handle(mux, link.MethodReport, func(_ context.Context, _ *rpc.Peer, report link.Report) (link.ReportAnswer, error) {
		reports <- report
		return link.ReportAnswer{Epoch: 3}, nil
	})
	listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := rpc.Serve(listener, "", mux, rpc.Limits{Peers: 1})
	dial := func(context.Context, string) (net.Conn, error) {
		local, remote := net.Pipe()
		listener.connections <- remote
		return local, nil
	}
	session, err := rpc.DialWith(t.Context(), dial, "leader", "", r.mux)
	assert.NilError(t, err)
	t.Cleanup(func() {
		session.Close()
		server.Close()
		synctest.Wait()
	})
	return session
}

// pipeListener accepts connections within the process.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestRepeatedStartInFlightIsStoppedOnTheNextIncarnation guards against a start that the next incarnation carries out beside the run that replaces it,
// because the agent no longer knew of the call: it was in flight when the first start of the run expired.
func TestRepeatedStartInFlightIsStoppedOnTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: func() (host.Refusal, error) { time.Sleep(2 * time.Second); return noAnswer() }}
		r := newIncarnationTest(t, worker)
		defer r.cancelOrders()
		r.worker.possibleRuns.entry(testRun(4)).sentAt = time.Now().Add(100*time.Millisecond - runLease)
		orders := startOrders()
		orders.StartMillis, orders.Starts[0].Number = firstIncarnation.StartMillis(), 4
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, len(worker.started()), 1)
		worker.restart(secondIncarnation)
		r.Reported(reportFrom(secondIncarnation, 1))
		synctest.Wait()
		stopped := worker.stopped()
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, stopped, []host.Run{testRun(4)})
	})
}
