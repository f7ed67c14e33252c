package dispatch

const (
	// FencesPerEpoch is how far epochs lie apart: a leader grants the numbers up to its own epoch. Processes of the release before number epochs
	// one after the other and use the epoch as the fence, so that they follow at any time.
	FencesPerEpoch = 1_000_000_000
	// fencesPerConnection is how many numbers a connection is granted. An agent takes one more with each doubt about its worker.
	fencesPerConnection = 1_000
)

// fenceRange are the numbers under which an agent may call its worker.
type fenceRange struct{ first, last uint64 }

// grantFences returns numbers for a connection, above those of all before; once they are used up, all have the epoch.
func (t *term) grantFences() fenceRange {
	first := t.epoch - FencesPerEpoch + 1 + t.fenceGrants*fencesPerConnection
	last := first + fencesPerConnection - 1
	if last >= t.epoch {
		return fenceRange{first: t.epoch, last: t.epoch}
	}
	t.fenceGrants++
	return fenceRange{first: first, last: last}
}
