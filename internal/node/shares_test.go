package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSmallestVMHoldsAFleet: an entry of the smallest kind that leads takes a connection of each of 1,600 agents and 368 entries.
func TestSmallestVMHoldsAFleet(t *testing.T) {
	const processes = 1600 + 368
	smallest := connectionShares(4100, 184<<20)
	assert.Assert(t, smallest.peers >= processes, "%d connections of other processes", smallest.peers)
	assert.Assert(t, smallest.callers >= 1000, "%d connections of callers", smallest.callers)
}

func TestSharesNeverExceedTheDescriptors(t *testing.T) {
	for _, descriptors := range []int{leastDescriptors, 4100, 8192, 16384} {
		for _, megabytes := range []int64{leastMemoryMB, 184, 1048} {
			s := connectionShares(descriptors, megabytes<<20)
			assert.Assert(t, s.peers > 0 && s.callers > 0)
			assert.Assert(t, s.peers+s.callers+reservedDescriptors <= descriptors, "%+v of %d", s, descriptors)
		}
	}
	assert.Equal(t, connectionShares(0, 184<<20).callers, mostCallers)
}
