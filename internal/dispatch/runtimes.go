package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/estimate"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
)

// runTimesLogInterval is the time between two log lines about the learned run times of a queue.
const runTimesLogInterval = 10 * time.Second

// runTimes holds the learned run times of a term.
type runTimes struct {
	model    *estimate.Model
	loggedAt time.Time
}

// newRunTimes returns run times without evidence, or nil if they are not to be learned.
func newRunTimes(features Features) *runTimes {
	if !features.RunTimes {
		return nil
	}
	return &runTimes{model: estimate.NewModel(), loggedAt: time.Now()}
}

// runTiming records whether the run time of a run is known and shows how long its task takes.
type runTiming struct {
	// placedHere reports whether this leader placed the run, so that it knows all orders of its start.
	placedHere bool
	startedAt  time.Time
	// partial reports whether the run resumed from a checkpoint, slowed whether its pace was ever below full.
	partial bool
	slowed  bool
	// repeated reports whether the start was ordered more than once: it is unknown which order the worker followed.
	repeated bool
}

// recordStart records an order of the run's start.
func (r *runTiming) recordStart(now time.Time, checkpoint string) {
	r.repeated = !r.startedAt.IsZero()
	r.startedAt = now
	r.partial = r.partial || checkpoint != ""
}

// recordPace records a pace in percent.
func (r *runTiming) recordPace(pace int) { r.slowed = r.slowed || pace < pacing.Full }

// took returns the run time of a run that has ended as done, false if it is no evidence. A report that is late makes the run time
// unknown: lastSeen is when the worker last reported that the task runs.
func (r *runTiming) took(now, lastSeen time.Time) (time.Duration, bool) {
	if !r.placedHere || r.startedAt.IsZero() || r.partial || r.slowed || r.repeated {
		return 0, false
	}
	if lastSeen.Before(r.startedAt) {
		lastSeen = r.startedAt
	}
	return now.Sub(r.startedAt), now.Sub(lastSeen) <= maxReportAge
}

// observeRunTime learns from a run that has ended as done; it is nil if it was given up before.
func (t *term) observeRunTime(tracked *trackedJob, id job.TaskID, p *placedRun) {
	if t.runTimes == nil || p == nil || p.stopping || p.step.LongRunning {
		return
	}
	took, known := p.timing.took(time.Now(), p.reportedAt)
	if !known {
		return
	}
	t.runTimes.model.ObserveStep(tracked.job.Queue().Name, tracked.endedTasksOf(id), p.step.Estimate, took)
	t.dispatcher.config.Metrics.Counter("lead.run_time_ends").Inc(1)
}

// endedTasksOf returns the evidence from the ended tasks of the step of a task.
func (j *trackedJob) endedTasksOf(id job.TaskID) *estimate.Step {
	key := stepID{id.Job, id.Iteration, id.Step}
	if j.endedTasks[key] == nil {
		if j.endedTasks == nil {
			j.endedTasks = make(map[stepID]*estimate.Step)
		}
		j.endedTasks[key] = &estimate.Step{}
	}
	return j.endedTasks[key]
}

// forecast is what one iteration of a job still needs. All its parts use the same durations, so that an error common to all of them
// does not make every job late.
type forecast struct {
	// duration returns the run time of the tasks of a step.
	duration             func(step int) time.Duration
	objective, remaining time.Duration
	// work is in core seconds.
	work float64
}

// forecast returns the forecast of an iteration of a job.
func (t *term) forecast(tracked *trackedJob, iteration int) *forecast {
	duration := tracked.job.Spec().Estimate
	if t.runTimes != nil {
		durations := t.runTimes.durations(tracked, iteration)
		duration = func(step int) time.Duration { return durations[step] }
	}
	return &forecast{
		duration: duration, objective: tracked.job.ObjectiveBy(duration),
		remaining: tracked.job.RemainingTime(iteration, duration), work: tracked.job.RemainingWork(iteration, duration),
	}
}

// durations returns the predicted run times of the steps of an iteration. Steps that are long-running or have no estimate keep what the
// job says.
func (r *runTimes) durations(tracked *trackedJob, iteration int) []time.Duration {
	steps := tracked.job.Spec().Steps
	durations := make([]time.Duration, len(steps))
	for n, step := range steps {
		durations[n] = step.Estimate
		if step.LongRunning || step.Estimate <= 0 {
			continue
		}
		prediction := r.model.Predict(tracked.job.Queue().Name, step.Estimate)
		if ended := tracked.endedTasks[stepID{tracked.job.ID(), iteration, n}]; ended != nil {
			prediction = prediction.With(*ended)
		}
		durations[n] = prediction.Median()
	}
	return durations
}

// logRunTimes logs what was learned about each queue, at most once in runTimesLogInterval.
func (t *term) logRunTimes() {
	if t.runTimes == nil || time.Since(t.runTimes.loggedAt) < runTimesLogInterval {
		return
	}
	t.runTimes.loggedAt = time.Now()
	for _, s := range t.runTimes.model.Summaries() {
		t.logger.Info("run times learned; queue=%s ends=%d slope=%.2f factor=%.2f deviation=%.2f", s.Queue, s.Ends, s.Slope, s.Factor, s.Deviation)
	}
}
