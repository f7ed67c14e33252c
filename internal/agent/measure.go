package agent

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/gate"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/remedy"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// minSamples is the number of requests below which a latency measurement is ignored.
const minSamples = 5

// measureLoop measures latency and usage, and throttles batch tasks when the latency of a service approaches its target.
func (a *Agent) measureLoop(ctx context.Context) error {
	ticker := time.NewTicker(a.Timing.Measure)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.measureUsage(ctx)
			a.measureLatency(ctx, time.Now())
		}
	}
}

func (a *Agent) measureUsage(ctx context.Context) {
	usages, err := a.Worker.Usage(ctx)
	if err != nil {
		a.Logger.Debug("cannot read the worker's usage: %v", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage = make(map[task.Run]worker.Usage, len(usages))
	for _, u := range usages {
		if r, ok := a.runs[u.Run()]; ok && !r.hasEnded() {
			a.usage[u.Run()] = u
		}
	}
}

// measureLatency updates the remedies by the latency of the services, and applies the throttles that changed.
func (a *Agent) measureLatency(ctx context.Context, now time.Time) {
	a.mu.Lock()
	before := a.throttles()
	changed := a.stepRemedies(now)
	after := a.throttles()
	a.mu.Unlock()
	if changed {
		a.heartbeatSoon()
	}
	for key, percent := range after {
		if before[key] != percent {
			a.throttle(ctx, key, percent)
		}
	}
}

// stepRemedies feeds the latest measurements to the interference model and the remedies, and reports whether the leader
// needs a heartbeat at once. a.mu is held.
func (a *Agent) stepRemedies(now time.Time) bool {
	in := remedy.Input{Now: now}
	neighbors := a.shares(true)
	bands := make(map[string]interference.Band)
	for _, m := range a.gate.Measure() {
		if m.Samples() < minSamples {
			continue
		}
		band := interference.BandOf(m.Load())
		bands[m.Service()] = band
		slowdown := a.model.Observe(m.Service(), band, neighbors, m.MeanRunTime(), m.Samples(), now)
		in.LatencyRatio, in.Slowdown = max(in.LatencyRatio, m.LatencyRatio()), max(in.Slowdown, slowdown)
		a.latency[m.Service()] = encodeLatency(m, neighbors)
	}
	in.Loads = a.loads(bands, now)
	blocked := a.remedies.BlocksBatch()
	if remedy.DefaultPolicy().Step(&a.remedies, in) {
		a.evictRequested = true
	}
	return a.evictRequested || blocked != a.remedies.BlocksBatch()
}

func encodeLatency(m gate.Measurement, neighbors []interference.Neighbor) control.Latency {
	wire := control.Latency{
		Service: m.Service(), Load: rounded(m.Load()), Ratio: rounded(m.LatencyRatio()), MeanRunMicros: m.MeanRunTime().Microseconds(), Samples: m.Samples(),
	}
	for _, n := range neighbors {
		wire.Neighbors = append(wire.Neighbors, control.Neighbor{Workload: n.Workload(), Share: rounded(n.Share())})
	}
	return wire
}

// rounded returns x with three decimals, which keeps heartbeats short.
func rounded(x float64) float64 { return math.Round(x*1000) / 1000 }

// forEachBatchRun calls visit for each batch run on the worker; a.mu is held.
func (a *Agent) forEachBatchRun(visit func(task.Run, *run)) {
	for key, r := range a.runs {
		if r.started && !r.hasEnded() && r.status.Address() == "" && !r.desired.Service {
			visit(key, r)
		}
	}
}

// shares returns the batch workloads with their shares of the VM's processors, as throttled or at full speed; a.mu is held.
func (a *Agent) shares(throttled bool) []interference.Neighbor {
	shares := make(map[string]float64)
	a.forEachBatchRun(func(_ task.Run, r *run) {
		share := float64(r.status.Size().Processors()) / float64(max(a.description.Capacity().Processors(), 1))
		if throttled {
			share *= float64(a.remedies.Throttle(r.status.Workload())) / remedy.Unthrottled
		}
		shares[r.status.Workload()] += share
	})
	neighbors := make([]interference.Neighbor, 0, len(shares))
	for _, workload := range slices.Sorted(maps.Keys(shares)) {
		neighbors = append(neighbors, interference.NewNeighbor(workload, shares[workload]))
	}
	return neighbors
}

// loads returns the batch workloads with the greatest slowdown of a service that the model predicts for each of them at
// full speed; a.mu is held.
func (a *Agent) loads(bands map[string]interference.Band, now time.Time) []remedy.Load {
	var loads []remedy.Load
	for _, n := range a.shares(false) {
		slowdown := 0.0
		for service, band := range bands {
			slowdown = max(slowdown, a.model.MeanSlowdown(service, n.Workload(), band, now)*n.Share())
		}
		loads = append(loads, remedy.NewLoad(n.Workload(), slowdown, a.weights[n.Workload()]))
	}
	return loads
}

// throttles returns the throttle of each batch run in percent; a.mu is held.
func (a *Agent) throttles() map[task.Run]int {
	throttles := make(map[task.Run]int)
	a.forEachBatchRun(func(key task.Run, r *run) { throttles[key] = a.remedies.Throttle(r.status.Workload()) })
	return throttles
}

// throttleNew throttles a new batch task if its workload is throttled.
func (a *Agent) throttleNew(ctx context.Context, r *run) {
	a.mu.Lock()
	percent := a.remedies.Throttle(r.status.Workload())
	a.mu.Unlock()
	if percent != remedy.Unthrottled && !r.desired.Service {
		a.throttle(ctx, r.status.Run(), percent)
	}
}

func (a *Agent) throttle(ctx context.Context, key task.Run, percent int) {
	if err := a.Worker.Throttle(ctx, key, percent); err != nil {
		a.Logger.Warn("cannot throttle task %s: %v", key.ID(), err)
		return
	}
	a.record(timeline.TaskThrottled, key, "may use "+strconv.Itoa(percent)+" percent of its processors")
}
