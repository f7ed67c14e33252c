package pressure

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulatedTask is a serving task with a periodic load beside best-effort tasks; its latencies are in whole
// milliseconds.
type simulatedTask struct {
	now    time.Time
	phase  float64
	period float64
	load   string
}

const targetMillis = 18

// headroom returns the headroom without neighbors.
func (s *simulatedTask) headroom() float64 {
	at := float64(s.now.UnixMilli()) / 1000
	return 2.6 + 0.9*math.Sin(2*math.Pi*(at/s.period+s.phase))
}

// measure returns the measured headroom with a loss by neighbors.
func (s *simulatedTask) measure(loss float64) float64 {
	tail := math.Round(targetMillis / max(s.headroom()-loss, 0.02))
	return Headroom(tail, targetMillis)
}

func (s *simulatedTask) observe(m *Model, use map[string]float64, loss float64) {
	s.now = s.now.Add(500 * time.Millisecond)
	measured := s.measure(loss)
	m.Observe(s.now, Sample{Image: "web", Load: s.load, Headrooms: []float64{measured}, TargetMillis: targetMillis}, use)
}

func newSimulatedTask(phase float64) *simulatedTask {
	return &simulatedTask{now: time.Unix(1000, 0), phase: phase, period: 10, load: fmt.Sprintf("load %.3f", phase)}
}

func TestModelDistinguishesPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, s := NewModel(), newSimulatedTask(rapid.Float64Range(0, 1).Draw(t, "phase"))
		for range 60 {
			mailShare := rapid.Float64Range(0.03, 0.15).Draw(t, "harmful")
			scanShare := rapid.Float64Range(0, 0.3).Draw(t, "harmless")
			for range 4 {
				s.observe(m, map[string]float64{"mail": mailShare, "scan": scanShare}, 10*mailShare+scanShare)
			}
		}
		mail, _ := m.Weight("web", "mail")
		scan, _ := m.Weight("web", "scan")
		if math.Abs(mail-10) > 3 || scan > 3 {
			t.Fatalf("mail has weight %.1f instead of 10, and scan %.1f instead of 1", mail, scan)
		}
	})
}

// TestSharedLoadDistinguishesPairs checks that tasks of one load on two workers, one of them with a constant neighbor,
// show the neighbor's weight within seconds. With a single task it cannot be distinguished from a higher load.
func TestSharedLoadDistinguishesPairs(t *testing.T) {
	m, s := NewModel(), newSimulatedTask(0)
	for range 8 {
		s.observe(m, nil, 0)
		s.now = s.now.Add(-500 * time.Millisecond)
		s.observe(m, map[string]float64{"mail": 0.12}, 0.12*8)
	}
	weight, deviation := m.Weight("web", "mail")
	assert.Assert(t, math.Abs(weight-8) < 2, "%.1f", weight)
	assert.Assert(t, deviation < 2, "%.1f", deviation)
}

// TestSpikeOfOneTaskLeavesLoadUnchanged checks that a latency spike of one of three tasks does not change the estimated
// load.
func TestSpikeOfOneTaskLeavesLoadUnchanged(t *testing.T) {
	m, now := NewModel(), time.Unix(1000, 0)
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		expected := m.Observe(now, Sample{Image: "web", Load: "a", Headrooms: []float64{2.5, 1, 2.5}, TargetMillis: targetMillis}, nil)
		assert.Assert(t, math.Abs(expected-2.5) < 0.2, "%.2f", expected)
	}
	headroom, _ := m.Predict("web", "a", now)
	assert.Assert(t, math.Abs(headroom-2.5) < 0.2, "%.2f", headroom)
}

// TestLoadIsPredicted checks that a load is predicted two seconds ahead after two periods.
func TestLoadIsPredicted(t *testing.T) {
	m, s := NewModel(), newSimulatedTask(0)
	for range 40 {
		s.observe(m, nil, 0)
	}
	at := s.now.Add(2 * time.Second)
	headroom, deviation := m.Predict("web", s.load, at)
	load, known := m.Load("web", s.load, s.now)
	assert.Assert(t, known)
	assert.Assert(t, math.Abs(load.Predict(at, m.LoadFrequency())-headroom) < 1e-9)
	_, known = m.Load("web", "none", s.now)
	assert.Assert(t, !known)
	s.now = at
	assert.Assert(t, math.Abs(headroom-s.headroom()) < 0.4, "predicted %.2f, measured %.2f", headroom, s.headroom())
	assert.Assert(t, deviation < UnknownDeviation)
	headroom, deviation = m.Predict("web", s.load, at.Add(time.Minute))
	assert.Equal(t, headroom, UnknownHeadroom)
	assert.Equal(t, deviation, UnknownDeviation)
}

// TestResidualDecays checks that half of an offset is gone within a second, and nearly all within five.
func TestResidualDecays(t *testing.T) {
	var residual Residual
	now := time.Unix(1, 0)
	assert.Equal(t, residual.Predict(now), 0.0)
	residual.Observe(now, -1)
	assert.Equal(t, residual.Predict(now), -1.0)
	assert.Assert(t, residual.Predict(now.Add(time.Second)) > -0.5)
	assert.Assert(t, residual.Predict(now.Add(5*time.Second)) > -0.05)
}

// TestSaturatedTailsKeepWeightBounded guards against weights derived from tail latencies far over the target, which
// only show that there is no headroom left.
func TestSaturatedTailsKeepWeightBounded(t *testing.T) {
	m, s := NewModel(), newSimulatedTask(0)
	for range 100 {
		s.observe(m, map[string]float64{"mail": 0.5}, 5)
	}
	weight, _ := m.Weight("web", "mail")
	assert.Assert(t, weight > 3, "%.1f", weight)
	assert.Assert(t, weight < 30, "%.1f", weight)
}

func TestLoadFrequencyIsLearned(t *testing.T) {
	for _, period := range []float64{6, 10, 20} {
		m := NewModel()
		for task := range 12 {
			s := newSimulatedTask(float64(task) / 12)
			s.period = period
			for range 60 {
				s.observe(m, nil, 0)
			}
		}
		want := 2 * math.Pi / period
		assert.Assert(t, math.Abs(m.LoadFrequency()-want) < 0.2*want, "period %.0f: %.3f instead of %.3f", period, m.LoadFrequency(), want)
	}
}

func TestTrackerPredictsHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedTask(rapid.Float64Range(0, 1).Draw(t, "phase"))
		var tracker Tracker
		tracker.SetFrequency(2 * math.Pi / s.period)
		for range 80 {
			s.now = s.now.Add(500 * time.Millisecond)
			measured := s.measure(0)
			tracker.Observe(s.now, measured, MeasurementVariance(measured, targetMillis))
		}
		at := s.now.Add(time.Second)
		predicted, deviation := tracker.Predict(at)
		s.now = at
		if math.Abs(predicted-s.headroom()) > 0.5 || deviation > UnknownDeviation {
			t.Fatalf("predicted %.2f with a deviation of %.2f, measured %.2f", predicted, deviation, s.headroom())
		}
	})
}

func TestTrackerExpiresOldMeasurements(t *testing.T) {
	var tracker Tracker
	headroom, deviation := tracker.Predict(time.Unix(1, 0))
	assert.Equal(t, headroom, UnknownHeadroom)
	assert.Equal(t, deviation, UnknownDeviation)
	tracker.Observe(time.Unix(1, 0), 1, 0.01)
	headroom, _ = tracker.Predict(time.Unix(1, 1e8))
	assert.Assert(t, headroom < 1.5)
	headroom, _ = tracker.Predict(time.Unix(60, 0))
	assert.Equal(t, headroom, UnknownHeadroom)
}

func TestUnknownPairHasPriorWeight(t *testing.T) {
	weight, deviation := NewModel().Weight("web", "mail")
	assert.Equal(t, weight, PriorWeight)
	assert.Assert(t, deviation > 1)
}

func TestHeadroomAndViolationProbability(t *testing.T) {
	assert.Equal(t, Headroom(18, 18), 1.0)
	assert.Equal(t, Headroom(0, 18), float64(MaxHeadroom))
	assert.Equal(t, Headroom(18, 0), 0.0)
	assert.Equal(t, ViolationProbability(1, 0.3), 0.5)
	assert.Assert(t, ViolationProbability(2, 0.3) < 0.01 && ViolationProbability(0, 0.3) > 0.99)
	assert.Assert(t, ViolationProbability(1.1, 0) > 0, "no prediction is certain")
}

func TestMeanOfTwoMeasurements(t *testing.T) {
	mean := Mean(map[string]float64{"mail": 0.2, "gone": 0.4}, map[string]float64{"mail": 0.4, "new": 0.1})
	assert.DeepEqual(t, mean, map[string]float64{"mail": 0.30000000000000004, "gone": 0.2, "new": 0.05})
}

func TestModelIsRestored(t *testing.T) {
	m := NewModel()
	for task := range 12 {
		s := newSimulatedTask(float64(task) / 12)
		for i := range 60 {
			share := float64(i%5) / 50
			s.observe(m, map[string]float64{"mail": share}, 8*share)
		}
	}
	data, err := m.Encode()
	assert.NilError(t, err)
	restored := NewModel()
	assert.NilError(t, restored.Restore(data))
	for _, bestEffort := range []string{"mail", "never seen"} {
		before, _ := m.Weight("web", bestEffort)
		after, _ := restored.Weight("web", bestEffort)
		assert.Assert(t, math.Abs(before-after) < 1e-5)
	}
	assert.Equal(t, m.LoadFrequency(), restored.LoadFrequency())
	assert.Assert(t, restored.Restore([]byte("no model")) != nil)
	before, _ := m.Weight("web", "mail")
	after, _ := restored.Weight("web", "mail")
	assert.Assert(t, math.Abs(before-after) < 1e-5, "a model that cannot be decoded changes nothing")
}

func TestImagesSlowedByOthersConflict(t *testing.T) {
	m := NewModel()
	assert.Equal(t, m.Conflict("web", "chat"), unknownConflict)
	bestEffort := []string{"a", "b", "c", "d", "e", "f"}
	slowedBy := map[string]string{"web": "abc", "chat": "abc", "shop": "def"}
	for serving, slowing := range slowedBy {
		f := m.filter(serving)
		for _, image := range bestEffort {
			slot := f.weightSlot(m.column(image))
			f.variance[slot][slot] = 1
			f.mean[slot] = 1
			if strings.Contains(slowing, image) {
				f.mean[slot] = 9
			}
		}
	}
	assert.Equal(t, m.Conflict("web", "web"), 0.0)
	assert.Equal(t, m.Conflict("web", "chat"), 0.0)
	assert.Assert(t, m.Conflict("web", "shop") > 0.7)
	assert.Equal(t, m.Conflict("web", "shop"), m.Conflict("shop", "web"))
}

// TestManyImagesUseBoundedMemory guards against unbounded memory, since callers choose the names of images.
func TestManyImagesUseBoundedMemory(t *testing.T) {
	m, s := NewModel(), newSimulatedTask(0)
	for n := range 3 * maxServing {
		s.now = s.now.Add(time.Millisecond)
		bestEffort := fmt.Sprint("mail", n)
		m.Observe(s.now, Sample{
			Image: fmt.Sprint("web", n), Load: fmt.Sprint("load", n), Headrooms: []float64{2}, TargetMillis: targetMillis,
		}, map[string]float64{bestEffort: 0.1})
		m.Observe(s.now, Sample{
			Image: "web0", Load: fmt.Sprint("load", n), Headrooms: []float64{2}, TargetMillis: targetMillis,
		}, map[string]float64{bestEffort: 0.1})
	}
	assert.Assert(t, len(m.filters) <= maxServing+1, "%d filters", len(m.filters))
	assert.Assert(t, len(m.frequency.means) <= maxServing+1, "%d means", len(m.frequency.means))
	assert.Equal(t, len(m.columns), maxImages)
	for _, f := range m.filters {
		assert.Assert(t, len(f.weights) <= maxImages)
		assert.Assert(t, len(f.loads) <= maxLoads)
		assert.Assert(t, len(f.mean) <= maxImages+loadSlots*maxLoads)
	}
}
