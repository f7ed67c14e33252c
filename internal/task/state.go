package task

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is the state of a run on its worker.
type State int

// The states of a run.
const (
	Absent        State = iota // absent
	Running                    // running
	Checkpointing              // checkpointing
	Checkpointed               // checkpointed
	Finished                   // finished
	Failed                     // failed
	Stopped                    // stopped
	Refused                    // refused
)

// IsFinal reports whether the run has ended.
func (s State) IsFinal() bool { return s >= Checkpointed }

// ParseState returns the state with the given name, or Absent for an unknown name.
func ParseState(name string) State {
	for s := Absent; s <= Refused; s++ {
		if s.String() == name {
			return s
		}
	}
	return Absent
}
