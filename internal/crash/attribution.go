package crash

import "time"

// Attribution is whether a run is a cause of a crash of its worker.
type Attribution int

//go:generate stringer -type=Attribution -linecomment -output=attribution_string.go

// The attributions of a crash to a run.
const (
	NotCause      Attribution = iota // cleared
	PossibleCause                    // possible
	LikelyCause                      // likely
)

// Finding is the result of attributing one crash to one run.
type Finding struct {
	attribution Attribution
	// sole is set if no other run can have caused the crash, afterStartup if the run had survived its startup.
	sole, afterStartup bool
}

// NewFinding returns a finding.
func NewFinding(a Attribution, sole bool) Finding { return Finding{attribution: a, sole: sole} }

// Attribution returns whether the run is a cause.
func (f Finding) Attribution() Attribution { return f.attribution }

// Sole reports whether no other run can have caused the crash.
func (f Finding) Sole() bool { return f.sole }

// Run is a run that an incarnation of a worker had, or may have had, when it crashed.
type Run struct {
	// acknowledged is set if the worker reported the run; age is how long the run is known to have lasted.
	acknowledged bool
	age          time.Duration
	history      History
}

// NewRun returns a run with the crash history of its task before the crash.
func NewRun(acknowledged bool, age time.Duration, history History) Run {
	return Run{acknowledged: acknowledged, age: age, history: history}
}

// starting reports whether the worker crashed during the run's startup.
func (r Run) starting() bool { return r.acknowledged && r.age < StartupTime }

// Attribute returns the finding of one crash for each run, in their order.
//
// Work that crashes its worker does so on startup, so the starting runs with the highest score are the likely causes,
// and runs beside them that have survived startup are not a cause. Other starting runs, and unacknowledged starts, are
// possible causes: if they were not, a task that always starts beside ones with a higher score would be restarted
// without bound. Without any starting run, each run is a possible cause.
//
// Workers that crash simultaneously have a common cause, which is probably none of the runs: then starting runs are at
// most possible causes.
func Attribute(runs []Run, simultaneous bool) []Finding {
	starting, unacknowledged, highestScore := 0, 0, 0
	for _, r := range runs {
		switch {
		case r.starting():
			starting++
			highestScore = max(highestScore, r.history.Score())
		case !r.acknowledged:
			unacknowledged++
		}
	}
	anyStarting := starting+unacknowledged > 0
	sole := starting+unacknowledged == 1 || len(runs) == 1
	findings := make([]Finding, len(runs))
	for i, r := range runs {
		switch {
		case simultaneous && (r.starting() || !r.acknowledged):
			findings[i] = Finding{attribution: PossibleCause}
		case simultaneous:
		case r.starting() && r.history.Score() == highestScore:
			findings[i] = Finding{attribution: LikelyCause, sole: sole}
		case r.starting(), !r.acknowledged:
			findings[i] = Finding{attribution: PossibleCause, sole: sole}
		case !anyStarting:
			findings[i] = Finding{attribution: PossibleCause, sole: sole, afterStartup: true}
		}
	}
	return findings
}
