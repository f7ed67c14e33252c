package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/remedy"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

const fewSamples = 5

// measureLoop looks at latency and usage, and throttles the batch tasks when a service nears its target.
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
		a.Logger.Debug("the worker's usage cannot be read: %v", err)
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

func (a *Agent) measureLatency(ctx context.Context, now time.Time) {
	worst := 0.0
	a.mu.Lock()
	for _, m := range a.gate.Measure() {
		if m.Samples() < fewSamples {
			continue
		}
		worst = max(worst, m.Ratio())
		a.latency[m.Service()] = control.Latency{
			Service: m.Service(), Load: m.Load(), Ratio: m.Ratio(), Samples: m.Samples(),
		}
	}
	action := remedy.DefaultPolicy().Step(&a.remedies, worst, now)
	changed := action.Throttle() != a.throttle
	news := action.IsPressed() != a.pressed || action.Evicts()
	a.throttle, a.pressed = action.Throttle(), action.IsPressed()
	a.evict = a.evict || action.Evicts()
	a.mu.Unlock()
	if news {
		a.beatSoon()
	}
	if changed {
		a.throttleBatch(ctx, action.Throttle())
	}
}

// throttleNew throttles a batch task that starts while the others are throttled.
func (a *Agent) throttleNew(ctx context.Context, r *run) {
	a.mu.Lock()
	percent := a.throttle
	a.mu.Unlock()
	if percent == remedy.Full || r.desired.Service {
		return
	}
	if err := a.Worker.Throttle(ctx, r.status.Run(), percent); err != nil {
		a.Logger.Warn("cannot throttle task %s: %v", r.status.Run().ID(), err)
	}
}

func (a *Agent) throttleBatch(ctx context.Context, percent int) {
	for _, r := range a.pick(func(r *run) bool { return r.started && !r.hasEnded() && r.status.Address() == "" }) {
		if err := a.Worker.Throttle(ctx, r.status.Run(), percent); err != nil {
			a.Logger.Warn("cannot throttle task %s: %v", r.status.Run().ID(), err)
			continue
		}
		a.record(timeline.TaskThrottled, r.status.Run(), "may use "+strconv.Itoa(percent)+" percent of its processors")
	}
}
