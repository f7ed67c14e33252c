package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// TestNewLeadThatHasHeardNoWorkerIsNoWordOnThem failed with a job refused for good, as larger than any worker, right after a
// lead and a VM had died: the new lead was followed before it had heard its workers (scenario two_at_once, once, beside load).
func TestNewLeadThatHasHeardNoWorkerIsNoWordOnThem(t *testing.T) {
	c := &Catalog{cells: map[string]*Cell{"a": {name: "a", peer: &rpc.Peer{}}}}
	size := resource.New(6000, 4000, 0)
	assert.Equal(t, len(c.ForJob(size)), 0)
	assert.Assert(t, !c.WorkersReported())
	c.UpdateLoad("a", control.Load{Free: 4000, Capacity: 4000, Largest: control.EncodeSize(resource.New(4000, 4000, 0))})
	assert.Equal(t, len(c.ForJob(size)), 0)
	assert.Assert(t, c.WorkersReported(), "a cell of small workers is known to be one")
	c.UpdateLoad("a", control.Load{Free: 8000, Capacity: 8000, Largest: control.EncodeSize(resource.New(8000, 8000, 0))})
	assert.DeepEqual(t, c.ForJob(size), []string{"a"})
}
