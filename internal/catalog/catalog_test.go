package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// TestNewLeaderWithoutReportsIsNotTakenAsEmpty guards against a job refused permanently as larger than any worker, right
// after a leader and a VM had failed: the new leader was followed before its workers had reported (scenario two_at_once,
// once, under load).
func TestNewLeaderWithoutReportsIsNotTakenAsEmpty(t *testing.T) {
	c := &Catalog{cells: map[string]*Cell{"a": {name: "a", peer: &rpc.Peer{}}}}
	size := resource.New(6000, 4000, 0)
	assert.Equal(t, len(c.ForJob(size)), 0)
	assert.Assert(t, !c.WorkersReported())
	c.UpdateLoad("a", control.Load{Free: 4000, Capacity: 4000, Largest: control.EncodeSize(resource.New(4000, 4000, 0))})
	assert.Equal(t, len(c.ForJob(size)), 0)
	assert.Assert(t, c.WorkersReported(), "the workers of the cell have reported, and are small")
	c.UpdateLoad("a", control.Load{Free: 8000, Capacity: 8000, Largest: control.EncodeSize(resource.New(8000, 8000, 0))})
	assert.DeepEqual(t, c.ForJob(size), []string{"a"})
}
