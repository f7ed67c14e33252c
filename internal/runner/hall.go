package runner

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// hallState is what the agent was told of its hall.
type hallState struct {
	latest link.Hall
	// confirmedAt is up to when the lead surely had confirmedAt of all that it knew, followed when the connection to it began.
	confirmedAt boottime.Instant
	connectedAt boottime.Instant
}

// update takes what the lead told at a time, or later.
func (h *hallState) update(told link.Hall, at boottime.Instant) {
	if told.Revision >= h.latest.Revision {
		h.latest = told
	}
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// allowsStart reports whether something may start in the hall: it is open, and was so not long before.
func (h *hallState) allowsStart(now boottime.Instant, within time.Duration) bool {
	return !h.latest.Closed && now.Sub(h.confirmedAt) <= hall.StaleAfter(within)
}
