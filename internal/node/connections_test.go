package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSmallestVMAcceptsAllProcesses checks that a leader on the smallest VM accepts a connection of each of 1,600 agents and 368 entries.
func TestSmallestVMAcceptsAllProcesses(t *testing.T) {
	const processes = 1600 + 368
	smallest := connectionLimits(4100, 184<<20)
	assert.Assert(t, smallest.peers >= processes, "%d connections of other processes", smallest.peers)
	assert.Assert(t, smallest.callers >= 1000, "%d connections of callers", smallest.callers)
}

func TestLimitsNeverExceedTheDescriptors(t *testing.T) {
	for _, descriptors := range []int{minDescriptors, 4100, 8192, 16384} {
		for _, megabytes := range []int64{minMemoryMB, 184, 1048} {
			got := connectionLimits(descriptors, megabytes<<20)
			assert.Assert(t, got.peers > 0 && got.callers > 0)
			assert.Assert(t, got.peers+got.callers+reservedDescriptors <= descriptors, "%+v of %d", got, descriptors)
		}
	}
	assert.Equal(t, connectionLimits(0, 184<<20).callers, maxCallers)
}
