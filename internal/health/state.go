package health

import "time"

// State is how far a worker is trusted with new tasks.
type State int

//go:generate stringer -type=State -linecomment -output=state_string.go

// The states of a worker, from the best to the worst.
const (
	Healthy  State = iota // healthy
	Degraded              // degraded
	Ejected               // ejected
)

// Status is the state of a worker at one time.
type Status struct {
	state State
	// paused is set while an ejected worker takes no trial, ejectedAt is the time of its ejection.
	paused    bool
	ejectedAt time.Time
}

// State returns the state.
func (s Status) State() State { return s.state }

// IsTrial reports whether a finite run that was placed at a time is a trial of an ejected worker, rather than a run from
// before its ejection.
func (s Status) IsTrial(placed time.Time) bool {
	return s.state == Ejected && placed.After(s.ejectedAt)
}

// AllowsTrial reports whether an ejected worker may take a finite task as a trial; running is set if a trial runs there.
func (s Status) AllowsTrial(running bool) bool { return s.state == Ejected && !s.paused && !running }
