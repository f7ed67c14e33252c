package dispatch

const (
	// FencesPerEpoch is the distance between two epochs: a leader grants the fencing tokens between the previous epoch and its own. Processes
	// of the previous release number epochs consecutively and use the epoch as the fence, so either release may take over from the other.
	FencesPerEpoch = 1_000_000_000
	// fencesPerConnection is how many fencing tokens a connection is granted. An agent uses the next one whenever the state of its worker is uncertain.
	fencesPerConnection = 1_000
)

// fenceRange is the range of fencing tokens with which an agent may call its worker.
type fenceRange struct{ first, last uint64 }

// grantFences returns fencing tokens for a connection, above those of all previous connections; once all are granted, each further connection
// gets the epoch as its only token.
func (t *term) grantFences() fenceRange {
	first := t.epoch - FencesPerEpoch + 1 + t.fenceGrants*fencesPerConnection
	last := first + fencesPerConnection - 1
	if last >= t.epoch {
		return fenceRange{first: t.epoch, last: t.epoch}
	}
	t.fenceGrants++
	return fenceRange{first: first, last: last}
}
