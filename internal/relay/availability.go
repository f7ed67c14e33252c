package relay

import (
	"context"
	"time"
)

// SetUnavailable records that the store answers no process: pending calls are canceled and new ones refused at once, for a duration
// or until SetAvailable.
func (s *Store) SetUnavailable(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.unavailableUntil) {
		s.cancelCalls()
		s.callContext, s.cancelCalls = context.WithCancel(context.Background())
	}
	s.unavailableSince = time.Now()
	s.unavailableUntil = s.unavailableSince.Add(duration)
}

// SetAvailable records that the store answers again, or that its state is unknown.
func (s *Store) SetAvailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailableUntil, s.downSince = time.Time{}, time.Time{}
}

// onUnavailable registers a function to be called once the store becomes unavailable; the returned function unregisters it.
func (s *Store) onUnavailable(call func()) func() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.AfterFunc(s.callContext, call)
}

// admit reports whether a call may be tried. While the store is down, one call at a time may, at intervals of at least downDuration.
func (s *Store) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.unavailableUntil) && !s.health.LastAnswer().After(s.unavailableSince) {
		return false
	}
	if s.downSince.IsZero() {
		return true
	}
	if s.probing || time.Since(s.downSince) < downDuration {
		return false
	}
	s.probing = true
	return true
}

// recordOutcome records whether any path to the store gave an answer.
func (s *Store) recordOutcome(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
	s.downSince = time.Time{}
	if !answered {
		s.downSince = time.Now()
	}
}
