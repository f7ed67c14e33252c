package relay

import (
	"context"
	"time"
)

// SetUnavailable takes note that the store was found to answer nobody: calls that are under way are given up, and others refused at
// once, for a while or until SetBack.
func (s *Store) SetUnavailable(lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.away) {
		s.end()
		s.serving, s.end = context.WithCancel(context.Background())
	}
	s.found = time.Now()
	s.away = s.found.Add(lasts)
}

// SetAvailable takes note that the store answers again, or that this is not known.
func (s *Store) SetAvailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.down = time.Time{}, time.Time{}
}

// onAway calls a function once the store is found to be away, unless the returned function is called before.
func (s *Store) onAway(call func()) func() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.AfterFunc(s.serving, call)
}

// enter reports whether a call may be tried: while the store is down, one at a time, and not too often.
func (s *Store) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.away) && !s.health.LastAnswer().After(s.found) {
		return false
	}
	if s.down.IsZero() {
		return true
	}
	if s.trying || time.Since(s.down) < downFor {
		return false
	}
	s.trying = true
	return true
}

// leave takes note of whether any way to the store gave an answer.
func (s *Store) leave(answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trying = false
	s.down = time.Time{}
	if !answered {
		s.down = time.Now()
	}
}
