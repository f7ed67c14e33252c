package probation

import "time"

const maxDoublings = 6

// Policy is the number of consecutive failures after which probation begins, and its first wait.
type Policy struct {
	Failures int
	Wait     time.Duration
}

// Record is the failure record of one worker or endpoint; the zero value is a clean record.
type Record struct {
	failures int
	periods  int
	until    time.Time
	trial    bool
}

// Fail records a failure and reports whether probation begins or continues with it.
func (p Policy) Fail(r *Record, now time.Time) bool {
	r.failures++
	if r.failures < p.Failures && !r.trial {
		return false
	}
	r.trial = false
	r.until = now.Add(p.Wait << min(r.periods, maxDoublings))
	r.periods++
	return true
}

// Succeed records a success, which ends probation.
func (p Policy) Succeed(r *Record) { *r = Record{} }

// Allows reports whether work may be sent: always with a clean record, otherwise one trial at a time after each wait.
func (p Policy) Allows(r *Record, now time.Time) bool {
	if r.periods == 0 {
		return true
	}
	return !r.trial && !now.Before(r.until)
}

// StartTrial records that work was sent; on probation this is the trial.
func (p Policy) StartTrial(r *Record) {
	if r.periods > 0 {
		r.trial = true
	}
}

// CancelTrial records that a trial was not run after all.
func (p Policy) CancelTrial(r *Record) { r.trial = false }

// OnProbation reports whether the record is not clean.
func (r *Record) OnProbation() bool { return r.periods > 0 }
