package node

const (
	// reservedDescriptors are reserved for files and for the connections that the process opens itself.
	reservedDescriptors = 500
	// peerShare is the share of the remaining descriptors for connections of other processes; the rest is for callers.
	peerShare = 0.6
	// maxCallers bounds the connections of callers if there are more descriptors than they need.
	maxCallers = 3000
	// peerMemoryShare is the share of the process's memory for connections of other processes; each takes at most peerBytes.
	peerMemoryShare = 0.4
	peerBytes       = 32 << 10
)

// limits are the maximum numbers of concurrent connections of other processes and of callers.
type limits struct {
	peers, callers int
}

// connectionLimits divides the descriptors and the memory of a process between other processes and callers; 0 descriptors stand for an unknown
// number.
func connectionLimits(descriptors int, memoryBytes int64) limits {
	peers := int(peerMemoryShare * float64(memoryBytes) / peerBytes)
	if descriptors == 0 {
		return limits{peers: peers, callers: maxCallers}
	}
	free := descriptors - reservedDescriptors
	byDescriptors := int(peerShare * float64(free))
	return limits{peers: min(peers, byDescriptors), callers: min(free-byDescriptors, maxCallers)}
}
