package fleet

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// gangTimeout is how long the members of a gang wait for the others, as on the users' sites.
	gangTimeout = 3 * time.Second
	// failureDelay is the time from a start to the failure on a worker that fails what it starts.
	failureDelay = 30 * time.Millisecond
)

// gangKey identifies a run of a gang by its first member.
type gangKey struct {
	first job.TaskID
	run   int
}

// gangRun is a run of a gang: when its first member started, how many have, and whether a member has ended otherwise than done.
type gangRun struct {
	since   time.Time
	members map[int]bool
	broken  bool
}

// unit returns the task that failures are counted for: the first member of a gang, else the task itself; c.mu is held.
func (c *Checker) unit(id job.TaskID) job.TaskID {
	if j := c.jobs[id.Job]; j != nil && id.Step < len(j.spec.Steps) && j.spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	return id
}

// gang returns the run of the gang that a member belongs to; c.mu is held.
func (c *Checker) gang(member job.TaskID, run int) *gangRun {
	key := gangKey{c.unit(member), run}
	if c.gangs[key] == nil {
		c.gangs[key] = &gangRun{since: time.Now(), members: make(map[int]bool)}
	}
	return c.gangs[key]
}

// recordMemberStart records that a member of a gang was started.
func (c *Checker) recordMemberStart(member job.TaskID, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gang(member, run).members[member.Index] = true
}

// recordMemberEnd records that a member of a gang has ended otherwise than done, which ends the others.
func (c *Checker) recordMemberEnd(member job.TaskID, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gang(member, run).broken = true
}

// gangOutcome returns how a running member of a gang has to end now, false if it goes on, and whether it works: all members are present.
func (c *Checker) gangOutcome(member job.TaskID, r *run) (end job.End, ends, works bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gang(member, r.number)
	complete := len(g.members) == r.step.Count
	switch {
	case g.broken:
		return job.EndGangBroken, true, false
	case !complete && time.Since(g.since) > gangTimeout:
		return job.EndGangIncomplete, true, false
	}
	return job.EndDone, false, complete
}

// recordFailedRun records that a run has failed.
func (c *Checker) recordFailedRun(id job.TaskID, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unit := c.unit(id)
	if c.failedRuns[unit] == nil {
		c.failedRuns[unit] = make(map[int]bool)
	}
	c.failedRuns[unit][run] = true
}

// hasFailed reports whether a task of a job, or a gang, has failed as often as the queue allows; c.mu is held.
func (c *Checker) hasFailed(id job.ID) bool {
	for unit, runs := range c.failedRuns {
		if unit.Job == id && len(runs) >= queueAttempts {
			return true
		}
	}
	return false
}

// stepDone reports whether each task of a step was done at least once, or one member of its gang; c.mu is held.
func (c *Checker) stepDone(id job.ID, step int) bool {
	spec := c.jobs[id].spec.Steps[step]
	done := 0
	for i := range spec.Count {
		if c.task(job.TaskID{Job: id, Step: step, Index: i}).doneCount > 0 {
			done++
		}
	}
	return done == spec.Count || spec.Gang && done > 0
}
