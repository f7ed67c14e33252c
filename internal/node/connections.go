package node

const (
	// reservedDescriptors are kept for files and for the connections that the process itself opens.
	reservedDescriptors = 500
	// peerShare is the part of the other descriptors for connections of other processes; the rest is for callers.
	peerShare = 0.6
	// mostCallers bounds the connections of callers where descriptors are plenty.
	mostCallers = 3000
	// peerMemoryShare is the part of the process' memory for connections of other processes; each takes peerBytes at most.
	peerMemoryShare = 0.4
	peerBytes       = 32 << 10
)

// shares are how many connections a process takes at once.
type shares struct {
	peers, callers int
}

// connectionShares divides the descriptors and the memory of a process among those who connect to it; 0 descriptors stand for a number that is
// not known.
func connectionShares(descriptors int, memoryBytes int64) shares {
	peers := int(peerMemoryShare * float64(memoryBytes) / peerBytes)
	if descriptors == 0 {
		return shares{peers: peers, callers: mostCallers}
	}
	free := descriptors - reservedDescriptors
	byDescriptors := int(peerShare * float64(free))
	return shares{peers: min(peers, byDescriptors), callers: min(free-byDescriptors, mostCallers)}
}
