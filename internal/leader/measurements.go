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
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
)

// recordMeasurements adds the measurements of a heartbeat to the estimates and to the interference model; l.mu is held.
func (l *Leader) recordMeasurements(agent *agentView, heartbeat *control.Heartbeat, now time.Time) {
	for _, usage := range heartbeat.Usage {
		run := usage.Run.Decode()
		s, ok := agent.statuses[run]
		if !ok {
			continue
		}
		agent.usage[run] = usage.Used.Decode()
		l.estimate(s.workload).Observe(usage.Used.Decode())
	}
	for _, latency := range heartbeat.Latency {
		agent.latency[latency.Service] = latency
		neighbors := make([]interference.Neighbor, 0, len(latency.Neighbors))
		for _, n := range latency.Neighbors {
			neighbors = append(neighbors, interference.NewNeighbor(n.Workload, n.Share))
		}
		runtime := time.Duration(latency.MeanRunMicros) * time.Microsecond
		l.model.Observe(latency.Service, interference.BandOf(latency.Load), neighbors, runtime, latency.Samples, now)
	}
	for run := range agent.usage {
		if _, ok := agent.statuses[run]; !ok {
			delete(agent.usage, run)
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

// runEnded updates retry delays, estimates and worker probation after the end of a run was committed; l.mu is held.
func (l *Leader) runEnded(instance, workload string, run task.Run, state task.State, runtime time.Duration, failures int) {
	now := time.Now()
	delete(l.evicting, run)
	delete(l.notBefore, run.ID())
	agent, ok := l.agents[instance]
	switch state {
	case task.Finished:
		if runtime > 0 {
			l.estimate(workload).ObserveRuntime(runtime)
		}
		if ok {
			workerProbation.Succeed(&agent.probation)
		}
	case task.Failed:
		l.notBefore[run.ID()] = now.Add(jitter(min(minRetryDelay<<min(failures, 6), maxRetryDelay)))
		// A task that also failed elsewhere is more likely the cause than this worker.
		if ok && failures <= 1 && workerProbation.Fail(&agent.probation, now) {
			l.Recorder.Record(timeline.WorkerProbation, subjectOf(run, instance), "the worker is on probation and gets one trial task at a time")
		}
	case task.Refused:
		l.notBefore[run.ID()] = now.Add(jitter(minRetryDelay))
		if ok {
			workerProbation.CancelTrial(&agent.probation)
		}
	}
}
