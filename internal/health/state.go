package health

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
	// paused is set while an ejected worker takes no trial.
	paused bool
}

// State returns the state.
func (s Status) State() State { return s.state }

// AllowsTrial reports whether an ejected worker may take a finite task as a trial; busy is set if one runs there.
func (s Status) AllowsTrial(busy bool) bool { return s.state == Ejected && !s.paused && !busy }
