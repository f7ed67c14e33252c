package runner

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// hallState is the last known state of the agent's hall.
type hallState struct {
	latest link.Hall
	// confirmedAt is the time up to which the leader has reported all that it knew of the hall, connectedAt when the connection to it began.
	confirmedAt boottime.Instant
	connectedAt boottime.Instant
}

// update applies a state of the hall that the leader reported at the given time or later.
func (h *hallState) update(reported link.Hall, at boottime.Instant) {
	if reported.Revision >= h.latest.Revision {
		h.latest = reported
	}
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// allowsStart reports whether runs may start in the hall: it is open, as recently confirmed.
func (h *hallState) allowsStart(now boottime.Instant, closureDelay time.Duration) bool {
	return !h.latest.Closed && now.Sub(h.confirmedAt) <= hall.StaleAfter(closureDelay)
}
