package crash

import "time"

const (
	// Soon is how long a run must live to have outlived its start: many times as long as work that fails as it starts takes, and
	// short, since a suspect holds a worker up for that long.
	Soon = 200 * time.Millisecond
	// Long is how long a run must be seen to live for what was held against its task by name to be dropped: longer than a worker
	// takes to come back after a crash.
	Long = 5 * time.Second
	// enoughAlone is how many crashes give a task up where the last had no other explanation. The platform allows two; a
	// bystander of the first is given up only if another crash strikes within Soon of its start alone.
	enoughAlone = 2
	// enough is how many crashes give a task up, whatever else may explain them: the platform allows five starts of work that
	// crashes its workers, and one more start may be on its way when the fourth crash is known.
	enough = 4
	// doubtsToSuspect is how many crashes that a task may have caused make it a suspect; one may be chance.
	doubtsToSuspect = 2
)

// Suspicion is what is held against a task, since a run of it last lived for long.
type Suspicion struct {
	crashes int
	doubts  int
	losses  Losses
}

// NewSuspicion returns the suspicion after so many crashes of which the task is a likely cause, and so many of which it is a
// possible one.
func NewSuspicion(crashes, doubts int) Suspicion { return Suspicion{crashes: crashes, doubts: doubts} }

// With returns the suspicion with losses in place of its own.
func (s Suspicion) With(l Losses) Suspicion {
	s.losses = l
	return s
}

// Crashes returns how many crashes the task is a likely cause of.
func (s Suspicion) Crashes() int { return s.crashes }

// Doubts returns how many crashes the task is a possible cause of.
func (s Suspicion) Doubts() int { return s.doubts }

// Losses returns the runs that were lost with their workers, whoever is held responsible.
func (s Suspicion) Losses() Losses { return s.losses }

// Suspect reports whether the task is to start alone, so that what follows tells.
func (s Suspicion) Suspect() bool { return s.crashes > 0 || s.doubts >= doubtsToSuspect }

// Weight tells suspicions apart; the task with the highest is the likeliest cause.
func (s Suspicion) Weight() int { return s.crashes + s.doubts }

// After returns the suspicion after one more crash.
func (s Suspicion) After(f Finding) Suspicion {
	switch f.blame {
	case Likely:
		s.crashes++
	case Possible:
		s.doubts++
	case Cleared:
	}
	return s
}

// Outlived returns what is left of the suspicion once a run was seen to live for a time.
func (s Suspicion) Outlived(age time.Duration) Suspicion {
	switch {
	case age >= s.losses.forgivenAfter():
		return Suspicion{}
	case age >= Long:
		return Suspicion{losses: s.losses}
	case age >= Soon:
		return Suspicion{doubts: s.doubts, losses: s.losses}
	}
	return s
}

// GivesUp reports whether the task is given up by a finding, which the suspicion counts already.
func (s Suspicion) GivesUp(f Finding) bool {
	switch {
	case f.blame == Cleared:
		return false
	case f.alone && s.crashes >= enoughAlone:
		return true
	}
	return s.crashes+s.doubts >= enough
}
