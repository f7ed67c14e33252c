package crash

import "time"

// Attribution is what a crash says of one of the runs that the worker had.
type Attribution int

//go:generate stringer -type=Attribution -linecomment -output=attribution_string.go

// What a crash says of a run.
const (
	NotCause      Attribution = iota // cleared
	PossibleCause                    // possible
	LikelyCause                      // likely
)

// Finding is what one crash says of one run.
type Finding struct {
	blame Attribution
	// alone says that nothing else explains the crash.
	alone bool
}

// NewFinding returns a finding.
func NewFinding(blame Attribution, alone bool) Finding { return Finding{blame: blame, alone: alone} }

// Attribution returns whether the run is a cause.
func (f Finding) Attribution() Attribution { return f.blame }

// Sole reports whether nothing else explains the crash.
func (f Finding) Sole() bool { return f.alone }

// Run is a run that a life of a worker had, or may have had, when it crashed.
type Run struct {
	// answered says that the worker surely had the run, age for how long it was seen to have it.
	answered bool
	age      time.Duration
	before   History
}

// NewRun returns a run with what was held against its task before.
func NewRun(answered bool, age time.Duration, before History) Run {
	return Run{answered: answered, age: age, before: before}
}

// fresh reports whether the worker crashed soon after the run began.
func (r Run) fresh() bool { return r.answered && r.age < StartupTime }

// Attribute returns what one crash says of each run, in their order.
//
// Work that crashes its worker does so as it starts, so runs that have just begun explain a crash, and of these the ones that
// are suspected most; what has run for a while beside them is cleared. Other runs that have just begun, and starts that got no
// answer, are possible causes: were they cleared, work that always starts beside worse suspects would start for ever. Where
// nothing has just begun, any run may be the cause.
//
// Workers that crash together, at one moment, have a cause in common, which is likely none of the runs: then what had just begun is
// a possible cause at the most.
func Attribute(runs []Run, together bool) []Finding {
	fresh, unanswered, worst := 0, 0, 0
	for _, r := range runs {
		switch {
		case r.fresh():
			fresh++
			worst = max(worst, r.before.Score())
		case !r.answered:
			unanswered++
		}
	}
	explained := fresh+unanswered > 0
	alone := fresh+unanswered == 1 || len(runs) == 1
	findings := make([]Finding, len(runs))
	for i, r := range runs {
		switch {
		case together && (r.fresh() || !r.answered):
			findings[i] = Finding{blame: PossibleCause}
		case together:
		case r.fresh() && r.before.Score() == worst:
			findings[i] = Finding{blame: LikelyCause, alone: alone}
		case r.fresh(), !r.answered, !explained:
			findings[i] = Finding{blame: PossibleCause, alone: alone}
		}
	}
	return findings
}
