package crash

import "time"

const (
	// StartupTime is the age at which a run has survived startup: many times the time until work that fails on startup
	// fails, and short, since a suspect blocks other starts on its worker until then.
	StartupTime = 200 * time.Millisecond
	// StableAge is the reported age of a run at which the crashes attributed to its task are cleared: longer than a
	// worker takes to restart after a crash.
	StableAge = 5 * time.Second
	// maxSoleCrashes is the number of crashes after which a task is given up if the last one has no other possible
	// cause. The platform allows two; a task that ran beside the cause of the first one is given up only if another
	// crash occurs within StartupTime of its start alone.
	maxSoleCrashes = 2
	// maxCrashes is the number of crashes after which a task is given up unless the last one occurred after its startup
	// and beside other runs: the platform allows five starts of work that crashes its workers, and another start may be
	// under way when the fourth crash is reported.
	maxCrashes = 4
	// suspectThreshold is the number of crashes with the task as a possible cause that make it a suspect; a single one
	// may be a coincidence.
	suspectThreshold = 2
)

// History is the crash history of a task since a run of it last reached a stable age.
type History struct {
	likely   int
	possible int
	losses   Losses
}

// NewHistory returns a history with the numbers of crashes of which the task is a likely and a possible cause.
func NewHistory(likely, possible int) History { return History{likely: likely, possible: possible} }

// WithLosses returns the history with other losses.
func (h History) WithLosses(l Losses) History {
	h.losses = l
	return h
}

// LikelyCrashes returns the number of crashes of which the task is a likely cause.
func (h History) LikelyCrashes() int { return h.likely }

// PossibleCrashes returns the number of crashes of which the task is a possible cause.
func (h History) PossibleCrashes() int { return h.possible }

// Losses returns the runs that were lost with their workers, whatever the cause.
func (h History) Losses() Losses { return h.losses }

// Suspect reports whether the task must start alone, so that the next crash can be attributed.
func (h History) Suspect() bool { return h.likely > 0 || h.possible >= suspectThreshold }

// Score ranks histories; the task with the highest score is the most likely cause.
func (h History) Score() int { return h.likely + h.possible }

// After returns the history after one more crash.
func (h History) After(f Finding) History {
	switch f.attribution {
	case LikelyCause:
		h.likely++
	case PossibleCause:
		h.possible++
	case NotCause:
	}
	return h
}

// Survived returns the history once a run has reached an age.
func (h History) Survived(age time.Duration) History {
	switch {
	case age >= h.losses.clearedAfter():
		return History{}
	case age >= StableAge:
		return History{losses: h.losses}
	case age >= StartupTime:
		return History{possible: h.possible, losses: h.losses}
	}
	return h
}

// GivesUp reports whether the task is given up after a finding that the history already includes.
func (h History) GivesUp(f Finding) bool {
	switch {
	case f.attribution == NotCause:
		return false
	case f.sole && h.likely >= maxSoleCrashes:
		return true
	case f.afterStartup && !f.sole:
		// Each of the other runs may have caused the crash; the losses bound the starts.
		return false
	}
	return h.likely+h.possible >= maxCrashes
}
