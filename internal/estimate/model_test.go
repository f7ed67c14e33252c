package estimate

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawModel returns a model with ends of any times, and the evidence of one of its steps.
func drawModel(t *rapid.T) (*Model, Step) {
	m, step := NewModel(), Step{}
	for range rapid.IntRange(0, 60).Draw(t, "ends") {
		if rapid.Bool().Draw(t, "new step") {
			step = Step{}
		}
		m.ObserveStep(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "queue"), &step, drawTime(t), drawTime(t))
	}
	return m, step
}

// drawTime returns any duration, among them negative ones, mostly one of some seconds.
func drawTime(t *rapid.T) time.Duration {
	if rapid.IntRange(0, 4).Draw(t, "odd") == 0 {
		return time.Duration(rapid.Int64().Draw(t, "nanoseconds"))
	}
	return time.Duration(rapid.IntRange(1, 60_000).Draw(t, "milliseconds")) * time.Millisecond
}

// TestPredictionsArePositiveAndFinite guards against a prediction that makes a slack or a backlog meaningless.
func TestPredictionsArePositiveAndFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, step := drawModel(t)
		for _, p := range []Prediction{m.Predict("a", drawTime(t)), m.Predict("b", drawTime(t)).With(step), m.Predict("none", drawTime(t))} {
			if p.Median() < minTime || p.Median() > maxTime || !(p.Deviation() > 0) || math.IsInf(p.Deviation(), 0) {
				t.Fatalf("median %s, deviation %f", p.Median(), p.Deviation())
			}
		}
	})
}

// TestStepEvidenceNeverIncreasesDeviation guards against predictions that get less certain with each end of their step.
func TestStepEvidenceNeverIncreasesDeviation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := drawModel(t)
		p, step := m.Predict("a", drawTime(t)), Step{}
		last := p.Deviation()
		for range 10 {
			step.Observe(drawTime(t))
			deviation := p.With(step).Deviation()
			if deviation > last*(1+roundingMargin) {
				t.Fatalf("the deviation rises from %f to %f", last, deviation)
			}
			last = deviation
		}
	})
}

// TestConfirmedEstimatesNeverIncreaseDeviation guards against a queue whose predictions get less certain while its estimates are right.
func TestConfirmedEstimatesNeverIncreaseDeviation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		last := m.Predict("a", time.Second).Deviation()
		for range 400 {
			estimate := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "milliseconds")) * time.Millisecond
			m.Observe("a", estimate, estimate)
			p := m.Predict("a", estimate)
			if p.Deviation() > last*(1+roundingMargin) || math.Abs(float64(p.Median()-estimate)) > roundingMargin*float64(estimate) {
				t.Fatalf("the deviation changes from %f to %f, and %s is predicted for %s", last, p.Deviation(), p.Median(), estimate)
			}
			last = p.Deviation()
		}
	})
}

// TestUnknownQueueTrustsEstimate guards against a new leader whose slacks differ from the estimates before any task has ended.
func TestUnknownQueueTrustsEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := time.Duration(rapid.Int64Range(1, 1e9).Draw(t, "milliseconds")) * time.Millisecond
		if p := NewModel().Predict("a", estimate); p.Median() != estimate {
			t.Fatalf("%s instead of %s", p.Median(), estimate)
		}
	})
}

// TestEndsOfOneStepCountAsFew guards against one step with many tasks that replaces what all other steps of the queue have shown.
func TestEndsOfOneStepCountAsFew(t *testing.T) {
	m := NewModel()
	for range 50 {
		m.Observe("a", 4*time.Second, 4*time.Second)
	}
	var step Step
	for range 1000 {
		m.ObserveStep("a", &step, 4*time.Second, 40*time.Second)
	}
	assert.Assert(t, m.Predict("a", 4*time.Second).Median() < 6*time.Second)
	assert.Assert(t, m.Predict("a", 4*time.Second).With(step).Median() > 30*time.Second)
}

// TestOldEndsAreForgotten guards against a model that does not follow a change of the users' programs.
func TestOldEndsAreForgotten(t *testing.T) {
	m := NewModel()
	for range 5000 {
		m.Observe("a", 4*time.Second, 4*time.Second)
	}
	for range 1000 {
		m.Observe("a", 4*time.Second, 8*time.Second)
	}
	assert.Assert(t, m.Predict("a", 4*time.Second).Median() > 7*time.Second)
}

// TestManyQueuesUseBoundedMemory guards against a stored value that grows with each new queue.
func TestManyQueuesUseBoundedMemory(t *testing.T) {
	m := NewModel()
	for n := range 3 * maxQueues {
		m.Observe(fmt.Sprint("queue ", n), time.Second, 2*time.Second)
	}
	assert.Equal(t, len(m.queues), maxQueues)
	data, err := m.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 10_000, "%d bytes", len(data))
}

// TestModelIsRestored guards against a new leader that predicts otherwise than the previous one.
func TestModelIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, step := drawModel(t)
		data, err := m.Encode()
		assert.NilError(t, err)
		restored := NewModel()
		assert.NilError(t, restored.Restore(data))
		estimate := drawTime(t)
		for _, queue := range []string{"a", "b", "none"} {
			assert.Equal(t, m.Predict(queue, estimate).With(step), restored.Predict(queue, estimate).With(step))
		}
		assert.DeepEqual(t, m.Summaries(), restored.Summaries())
	})
}

// TestInvalidModelIsRejected guards against stored values that would make predictions odd: the model is then unchanged.
func TestInvalidModelIsRejected(t *testing.T) {
	m := NewModel()
	m.Observe("a", time.Second, 2*time.Second)
	before := m.Predict("a", time.Second)
	for name, change := range map[string]func(*storedQueue){
		"not a number":        func(q *storedQueue) { q.MeanTook = math.NaN() },
		"infinite":            func(q *storedQueue) { q.TookSquares = math.Inf(1) },
		"negative weight":     func(q *storedQueue) { q.Weight = -1e-9 },
		"negative squares":    func(q *storedQueue) { q.EstimateSquares = -1 },
		"too heavy":           func(q *storedQueue) { q.WithinWeight = 2 * memory },
		"mean out of range":   func(q *storedQueue) { q.MeanEstimate = 1e9 },
		"impossible products": func(q *storedQueue) { q.Products = 5 },
		"negative ends":       func(q *storedQueue) { q.Ends = -1 },
	} {
		q := storedQueue{Name: "a", Ends: 3, Weight: 3, EstimateSquares: 1, TookSquares: 1, Products: 1}
		data, err := cbor.Marshal(storedModel{Queues: []storedQueue{q}})
		assert.NilError(t, err)
		assert.NilError(t, NewModel().Restore(data))
		change(&q)
		data, err = cbor.Marshal(storedModel{Queues: []storedQueue{q}})
		assert.NilError(t, err)
		assert.Check(t, m.Restore(data) != nil, name)
		assert.Equal(t, m.Predict("a", time.Second), before, name)
	}
	repeated, err := cbor.Marshal(storedModel{Queues: []storedQueue{{Name: "a"}, {Name: "a"}}})
	assert.NilError(t, err)
	assert.Check(t, m.Restore(repeated) != nil)
	assert.Check(t, m.Restore([]byte("odd")) != nil)
	assert.Equal(t, m.Predict("a", time.Second), before)
}

// FuzzRestore checks that any stored value is either rejected or gives usable predictions, also after further ends.
func FuzzRestore(f *testing.F) {
	m := NewModel()
	m.Observe("a", time.Second, 2*time.Second)
	data, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("odd"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewModel()
		_ = m.Restore(data)
		m.Observe("a", time.Second, 2*time.Second)
		for _, s := range m.Summaries() {
			p := m.Predict(s.Queue, time.Second)
			if p.Median() < minTime || p.Median() > maxTime || !(p.Deviation() > 0) || math.IsInf(p.Deviation(), 0) {
				t.Fatalf("median %s, deviation %f", p.Median(), p.Deviation())
			}
		}
	})
}
