package node

const (
	// reservedDescriptors are kept for files and for the connections that the process itself opens.
	reservedDescriptors = 500
	// peerShare is the part of the other descriptors for connections of other processes; the rest is for callers.
	peerShare = 0.6
	// maxCallers bounds the connections of callers where descriptors are plenty.
	maxCallers = 3000
	// peerMemoryShare is the part of the process' memory for connections of other processes; each takes peerBytes at most.
	peerMemoryShare = 0.4
	peerBytes       = 32 << 10
)

// limits are how many connections a process takes at once.
type limits struct {
	peers, callers int
}

// connectionLimits divides the descriptors and the memory of a process among those who connect to it; 0 descriptors stand for a number that is
// not known.
func connectionLimits(descriptors int, memoryBytes int64) limits {
	peers := int(peerMemoryShare * float64(memoryBytes) / peerBytes)
	if descriptors == 0 {
		return limits{peers: peers, callers: maxCallers}
	}
	free := descriptors - reservedDescriptors
	byDescriptors := int(peerShare * float64(free))
	return limits{peers: min(peers, byDescriptors), callers: min(free-byDescriptors, maxCallers)}
}
