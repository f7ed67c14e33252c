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
	// told is up to when the lead surely had told of all that it knew, followed when the connection to it began.
	told     boottime.Instant
	followed boottime.Instant
}

// learn takes what the lead told at a time, or later.
func (h *hallState) learn(told link.Hall, at boottime.Instant) {
	if told.Revision >= h.latest.Revision {
		h.latest = told
	}
	if at.After(h.told) {
		h.told = at
	}
}

// mayStart reports whether something may start in the hall: it is open, and was so not long before.
func (h *hallState) mayStart(now boottime.Instant, within time.Duration) bool {
	return !h.latest.Closed && now.Sub(h.told) <= hall.StaleAfter(within)
}
