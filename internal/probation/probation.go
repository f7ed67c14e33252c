package probation

import "time"

const maxDoublings = 6

// Policy says after how many failures in a row probation begins and how long its first wait is.
type Policy struct {
	Failures int
	Wait     time.Duration
}

// Record is what is remembered of one worker or endpoint; the zero value has a clean record.
type Record struct {
	failures int
	strikes  int
	until    time.Time
	trial    bool
}

// Fail takes note of a failure and reports whether probation begins or goes on with it.
func (p Policy) Fail(r *Record, now time.Time) bool {
	r.failures++
	if r.failures < p.Failures && !r.trial {
		return false
	}
	r.trial = false
	r.until = now.Add(p.Wait << min(r.strikes, maxDoublings))
	r.strikes++
	return true
}

// Succeed takes note of a success, which ends probation.
func (p Policy) Succeed(r *Record) { *r = Record{} }

// Allows reports whether work may be sent: always with a clean record, one trial at a time after each wait.
func (p Policy) Allows(r *Record, now time.Time) bool {
	if r.strikes == 0 {
		return true
	}
	return !r.trial && !now.Before(r.until)
}

// StartTrial takes note that work was sent; on probation it is the trial.
func (p Policy) StartTrial(r *Record) {
	if r.strikes > 0 {
		r.trial = true
	}
}

// CancelTrial takes note that a trial was not run after all.
func (p Policy) CancelTrial(r *Record) { r.trial = false }

// OnProbation reports whether the record is not clean.
func (r *Record) OnProbation() bool { return r.strikes > 0 }
