package fleet

import (
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// entryDrain and agentDrain are how long a stopping entry serves callers and a stopping agent its worker; drainMargin is what they may end
	// earlier by the test's clock.
	entryDrain  = gracePeriod * 6 / 10
	agentDrain  = gracePeriod * 9 / 10
	drainMargin = 300 * time.Millisecond
)

// ended reports whether a removed process has ended.
func (p *Process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// requestCount asks an entry for the number of waiting jobs of the queue and returns the status of the answer.
func requestCount(client *http.Client, entry *Process, deadline time.Duration) (int, error) {
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: entry.callers, Path: pathPrefix}, Host: queueHost,
		Header: http.Header{"X-Deadline": {strconv.FormatInt(deadline.Milliseconds(), 10)}},
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// TestHangupWhileAProcessStopsCutsNoRequest guards against a SIGHUP that ends a process which still serves callers, or its worker, after SIGTERM: the
// handler of SIGHUP had been removed with the begin of the stop.
func TestHangupWhileAProcessStopsCutsNoRequest(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 2, Agents: 2}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	entry, agent := f.entries[0], f.agents[0]
	client := &http.Client{Timeout: callerTimeout}
	assert.NilError(t, f.await(finishTimeout, func() bool {
		status, err := requestCount(client, entry, callerTimeout)
		return err == nil && status == http.StatusOK
	}))
	stoppedAt := time.Now()
	entry.remove(syscall.SIGTERM)
	agent.remove(syscall.SIGTERM)
	for n := 0; time.Since(stoppedAt) < agentDrain-drainMargin; n++ {
		<-time.After(100 * time.Millisecond)
		entry.Signal(syscall.SIGHUP)
		agent.Signal(syscall.SIGHUP)
		assert.Assert(t, !agent.ended(), "the agent has ended after %v", time.Since(stoppedAt))
		if time.Since(stoppedAt) < entryDrain-drainMargin {
			_, err := requestCount(client, entry, callerTimeout)
			assert.NilError(t, err, "request %d, %v after SIGTERM", n, time.Since(stoppedAt))
		}
	}
}
