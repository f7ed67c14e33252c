package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFirstReportOfUnknownSenderDoesNotReplaceWorker guards against workers that stay unused: in a soak (seed 9208 with six
// agents, 12 s, crashing jobs) five of six VMs ran nothing any more, and jobs waited forever.
//
// A worker crashes. Before its next incarnation reports, an unknown sender reports another service and little capacity under
// the id of that incarnation. The worker confirms the id when asked. The first report under an id was final, so that the
// leader planned with a capacity of 9 and no labels, and the agent rejected the worker's own reports with `service=desk
// known=other`.
func TestFirstReportOfUnknownSenderDoesNotReplaceWorker(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 2}, binaries, t.ArtifactDir())
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
