package leader

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/sizing"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const (
	firstRetry = time.Second
	lastRetry  = time.Minute
)

// learn takes in the measurements of a beat; l.mu is held.
func (l *Leader) learn(a *agentView, beat *control.Beat, now time.Time) {
	for _, u := range beat.Usage {
		run := u.Run.Decode()
		s, ok := a.statuses[run]
		if !ok {
			continue
		}
		a.usage[run] = u.Used.Decode()
		l.estimate(s.workload).Observe(u.Used.Decode())
	}
	for _, y := range beat.Latency {
		a.latency[y.Service] = y
		neighbors := make([]interference.Neighbor, 0, len(y.Neighbors))
		for _, n := range y.Neighbors {
			neighbors = append(neighbors, interference.NewNeighbor(n.Workload, n.Share))
		}
		run := time.Duration(y.RunMicros) * time.Microsecond
		l.model.Observe(y.Service, interference.BandOf(y.Load), neighbors, run, y.Samples, now)
	}
	for run := range a.usage {
		if _, ok := a.statuses[run]; !ok {
			delete(a.usage, run)
		}
	}
}

func (l *Leader) estimate(workload string) *sizing.Estimate {
	e, ok := l.estimates[workload]
	if !ok {
		e = &sizing.Estimate{}
		l.estimates[workload] = e
	}
	return e
}

// ended takes note of a run whose end was committed; l.mu is held.
func (l *Leader) ended(instance, workload string, run task.Run, state task.State, ran time.Duration, failures int) {
	now := time.Now()
	delete(l.evicting, run)
	delete(l.notBefore, run.ID())
	a, ok := l.agents[instance]
	switch state {
	case task.Finished:
		if ran > 0 {
			l.estimate(workload).ObserveRuntime(ran)
		}
		if ok {
			workerProbation.Succeed(&a.health)
		}
	case task.Failed:
		l.notBefore[run.ID()] = now.Add(jitter(min(firstRetry<<min(failures, 6), lastRetry)))
		// A task that failed elsewhere before says more about itself than about this worker.
		if ok && failures <= 1 && workerProbation.Fail(&a.health, now) {
			l.Recorder.Record(timeline.WorkerProbation, subjectOf(run, instance), "the worker gets one trial at a time")
		}
	case task.Refused:
		l.notBefore[run.ID()] = now.Add(jitter(firstRetry))
		if ok {
			workerProbation.CancelTrial(&a.health)
		}
	}
}
