package crash

import "time"

const (
	// StartupTime is how long a run must live to have outlived its start: many times as long as work that fails as it starts takes, and
	// short, since a suspect holds a worker up for that long.
	StartupTime = 200 * time.Millisecond
	// StableAge is how long a run must be seen to live for what was held against its task by name to be dropped: longer than a worker
	// takes to come back after a crash.
	StableAge = 5 * time.Second
	// enoughAlone is how many crashes give a task up where the last had no other explanation. The platform allows two; a
	// bystander of the first is given up only if another crash strikes within Soon of its start alone.
	enoughAlone = 2
	// enough is how many crashes give a task up, whatever else may explain them: the platform allows five starts of work that
	// crashes its workers, and one more start may be on its way when the fourth crash is known.
	enough = 4
	// doubtsToSuspect is how many crashes that a task may have caused make it a suspect; one may be chance.
	doubtsToSuspect = 2
)

// History is what is held against a task, since a run of it last lived for long.
type History struct {
	crashes int
	doubts  int
	losses  Losses
}

// NewHistory returns the suspicion after so many crashes of which the task is a likely cause, and so many of which it is a
// possible one.
func NewHistory(crashes, doubts int) History { return History{crashes: crashes, doubts: doubts} }

// WithLosses returns the suspicion with losses in place of its own.
func (s History) WithLosses(l Losses) History {
	s.losses = l
	return s
}

// LikelyCrashes returns how many crashes the task is a likely cause of.
func (s History) LikelyCrashes() int { return s.crashes }

// PossibleCrashes returns how many crashes the task is a possible cause of.
func (s History) PossibleCrashes() int { return s.doubts }

// Losses returns the runs that were lost with their workers, whoever is held responsible.
func (s History) Losses() Losses { return s.losses }

// Suspect reports whether the task is to start alone, so that what follows tells.
func (s History) Suspect() bool { return s.crashes > 0 || s.doubts >= doubtsToSuspect }

// Score tells suspicions apart; the task with the highest is the likeliest cause.
func (s History) Score() int { return s.crashes + s.doubts }

// After returns the suspicion after one more crash.
func (s History) After(f Finding) History {
	switch f.blame {
	case LikelyCause:
		s.crashes++
	case PossibleCause:
		s.doubts++
	case NotCause:
	}
	return s
}

// Survived returns what is left of the suspicion once a run was seen to live for a time.
func (s History) Survived(age time.Duration) History {
	switch {
	case age >= s.losses.forgivenAfter():
		return History{}
	case age >= StableAge:
		return History{losses: s.losses}
	case age >= StartupTime:
		return History{doubts: s.doubts, losses: s.losses}
	}
	return s
}

// GivesUp reports whether the task is given up by a finding, which the suspicion counts already.
func (s History) GivesUp(f Finding) bool {
	switch {
	case f.blame == NotCause:
		return false
	case f.alone && s.crashes >= enoughAlone:
		return true
	}
	return s.crashes+s.doubts >= enough
}
