package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFirstReportOfUnknownSenderDoesNotReplaceWorker plays what callers saw in a soak (seed 9208 with six agents, 12 s and work that crashes
// its workers): five of six VMs ran nothing any more, and jobs waited for ever.
//
// Order of events: a worker crashes; before its next life has reported, somebody else reports another service, and little room, under the
// name of that life; the worker, asked for the life, has it; from then on its own reports are those of "another service".
//
// Cause: the first report under the name of a life stood for good. Evidence: the lead's log, workers heard with a room of 9 and no labels, and
// agents that ignored `service=desk known=other` to the end.
func TestFirstReportOfUnknownSenderDoesNotReplaceWorker(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 2}, binaries, t.TempDir())
	assert.NilError(t, err)
	defer f.Close()
	for n, w := range f.workers {
		w.Crash()
		next := w.nextHeartbeat()
		w.send(heartbeat{instance: next.instance, body: []byte(fmt.Sprintf(invalidReports[4], 4000+n))})
	}
	c := NewCaller(f, 1)
	id := c.addJob(c.randomSpec())
	assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
	assert.NilError(t, f.awaitFinished(c, finishTimeout))
	assert.NilError(t, f.checker.verify())
}
