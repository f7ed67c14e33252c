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

// day is a serving task whose own headroom swings, beside what fills; the figures are in whole milliseconds.
type day struct {
	now    time.Time
	phase  float64
	period float64
	load   string
}

const targetMillis = 18

// own returns the headroom without neighbors.
func (d *day) own() float64 {
	at := float64(d.now.UnixMilli()) / 1000
	return 2.6 + 0.9*math.Sin(2*math.Pi*(at/d.period+d.phase))
}

// figure returns the headroom that is shown where neighbors lower it.
func (d *day) figure(pressed float64) float64 {
	tail := math.Round(targetMillis / max(d.own()-pressed, 0.02))
	return Headroom(tail, targetMillis)
}

func (d *day) observe(m *Model, use map[string]float64, pressed float64) {
	d.now = d.now.Add(500 * time.Millisecond)
	shown := d.figure(pressed)
	m.Observe(d.now, Sample{Image: "web", Load: d.load, Headrooms: []float64{shown}, TargetMillis: targetMillis}, use)
}

func newDay(phase float64) *day {
	return &day{now: time.Unix(1000, 0), phase: phase, period: 10, load: fmt.Sprintf("load %.3f", phase)}
}

func TestModelTellsPairsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, d := NewModel(), newDay(rapid.Float64Range(0, 1).Draw(t, "phase"))
		for range 60 {
			harmful := rapid.Float64Range(0.03, 0.15).Draw(t, "harmful")
			harmless := rapid.Float64Range(0, 0.3).Draw(t, "harmless")
			for range 4 {
				d.observe(m, map[string]float64{"mail": harmful, "scan": harmless}, 10*harmful+harmless)
			}
		}
		mail, _ := m.Weight("web", "mail")
		scan, _ := m.Weight("web", "scan")
		if math.Abs(mail-10) > 3 || scan > 3 {
			t.Fatalf("mail is taken to do %.1f, which does 10, and scan %.1f, which does 1", mail, scan)
		}
	})
}

// TestSharedLoadTellsPairsApart: tasks of one load on two workers, of which one has a neighbor all the time, tell within
// seconds what the neighbor does; a task that is followed alone cannot tell it from a load that has grown.
func TestSharedLoadTellsPairsApart(t *testing.T) {
	m, d := NewModel(), newDay(0)
	for range 8 {
		d.observe(m, nil, 0)
		d.now = d.now.Add(-500 * time.Millisecond)
		d.observe(m, map[string]float64{"mail": 0.12}, 0.12*8)
	}
	weight, deviation := m.Weight("web", "mail")
	assert.Assert(t, math.Abs(weight-8) < 2, "%.1f", weight)
	assert.Assert(t, deviation < 2, "%.1f", deviation)
}

// TestRiseOfOneTaskIsNotThatOfItsLoad: of three tasks one rises alone.
func TestRiseOfOneTaskIsNotThatOfItsLoad(t *testing.T) {
	m, now := NewModel(), time.Unix(1000, 0)
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		expected := m.Observe(now, Sample{Image: "web", Load: "a", Headrooms: []float64{2.5, 1, 2.5}, TargetMillis: targetMillis}, nil)
		assert.Assert(t, math.Abs(expected-2.5) < 0.2, "%.2f", expected)
	}
	headroom, _ := m.Predict("web", "a", now)
	assert.Assert(t, math.Abs(headroom-2.5) < 0.2, "%.2f", headroom)
}

// TestLoadLooksAhead: after two swings what a load will be in two seconds is known.
func TestLoadLooksAhead(t *testing.T) {
	m, d := NewModel(), newDay(0)
	for range 40 {
		d.observe(m, nil, 0)
	}
	at := d.now.Add(2 * time.Second)
	headroom, deviation := m.Predict("web", d.load, at)
	load, known := m.Load("web", d.load, d.now)
	assert.Assert(t, known)
	assert.Assert(t, math.Abs(load.Predict(at, m.LoadFrequency())-headroom) < 1e-9)
	_, known = m.Load("web", "none", d.now)
	assert.Assert(t, !known)
	d.now = at
	assert.Assert(t, math.Abs(headroom-d.own()) < 0.4, "%.2f is foretold, and %.2f came", headroom, d.own())
	assert.Assert(t, deviation < UnknownDeviation)
	headroom, deviation = m.Predict("web", d.load, at.Add(time.Minute))
	assert.Equal(t, headroom, UnknownHeadroom)
	assert.Equal(t, deviation, UnknownDeviation)
}

// TestOwnRiseFades: what a task is off its load is half gone within a second and nearly gone in five.
func TestOwnRiseFades(t *testing.T) {
	var own Residual
	now := time.Unix(1, 0)
	assert.Equal(t, own.Predict(now), 0.0)
	own.Observe(now, -1)
	assert.Equal(t, own.Predict(now), -1.0)
	assert.Assert(t, own.Predict(now.Add(time.Second)) > -0.5)
	assert.Assert(t, own.Predict(now.Add(5*time.Second)) > -0.05)
}

// TestSaturatedTailsTeachNothingWrong: a tail far over its target says only that there is no headroom left.
func TestSaturatedTailsTeachNothingWrong(t *testing.T) {
	m, d := NewModel(), newDay(0)
	for range 100 {
		d.observe(m, map[string]float64{"mail": 0.5}, 5)
	}
	weight, _ := m.Weight("web", "mail")
	assert.Assert(t, weight > 3, "%.1f", weight)
	assert.Assert(t, weight < 30, "%.1f", weight)
}

func TestSwingIsLearned(t *testing.T) {
	for _, period := range []float64{6, 10, 20} {
		m := NewModel()
		for task := range 12 {
			d := newDay(float64(task) / 12)
			d.period = period
			for range 60 {
				d.observe(m, nil, 0)
			}
		}
		want := 2 * math.Pi / period
		assert.Assert(t, math.Abs(m.LoadFrequency()-want) < 0.2*want, "period %.0f: %.3f in place of %.3f", period, m.LoadFrequency(), want)
	}
}

func TestTrackLooksAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDay(rapid.Float64Range(0, 1).Draw(t, "phase"))
		var track Tracker
		track.SetFrequency(2 * math.Pi / d.period)
		for range 80 {
			d.now = d.now.Add(500 * time.Millisecond)
			shown := d.figure(0)
			track.Observe(d.now, shown, MeasurementVariance(shown, targetMillis))
		}
		at := d.now.Add(time.Second)
		ahead, deviation := track.Predict(at)
		d.now = at
		if math.Abs(ahead-d.own()) > 0.5 || deviation > UnknownDeviation {
			t.Fatalf("%.2f is foretold with a deviation of %.2f, and %.2f came", ahead, deviation, d.own())
		}
	})
}

func TestTrackForgetsWhatIsOld(t *testing.T) {
	var track Tracker
	headroom, deviation := track.Predict(time.Unix(1, 0))
	assert.Equal(t, headroom, UnknownHeadroom)
	assert.Equal(t, deviation, UnknownDeviation)
	track.Observe(time.Unix(1, 0), 1, 0.01)
	headroom, _ = track.Predict(time.Unix(1, 1e8))
	assert.Assert(t, headroom < 1.5)
	headroom, _ = track.Predict(time.Unix(60, 0))
	assert.Equal(t, headroom, UnknownHeadroom)
}

func TestUnknownPairIsTakenWithCare(t *testing.T) {
	weight, deviation := NewModel().Weight("web", "mail")
	assert.Equal(t, weight, PriorWeight)
	assert.Assert(t, deviation > 1)
}

func TestHeadroomAndChance(t *testing.T) {
	assert.Equal(t, Headroom(18, 18), 1.0)
	assert.Equal(t, Headroom(0, 18), float64(MaxHeadroom))
	assert.Equal(t, Headroom(18, 0), 0.0)
	assert.Equal(t, ViolationProbability(1, 0.3), 0.5)
	assert.Assert(t, ViolationProbability(2, 0.3) < 0.01 && ViolationProbability(0, 0.3) > 0.99)
	assert.Assert(t, ViolationProbability(1.1, 0) > 0, "nothing is taken as certain")
}

func TestMeanOfTwoFigures(t *testing.T) {
	mean := Mean(map[string]float64{"mail": 0.2, "gone": 0.4}, map[string]float64{"mail": 0.4, "new": 0.1})
	assert.DeepEqual(t, mean, map[string]float64{"mail": 0.30000000000000004, "gone": 0.2, "new": 0.05})
}

func TestModelIsRestored(t *testing.T) {
	m := NewModel()
	for task := range 12 {
		d := newDay(float64(task) / 12)
		for i := range 60 {
			share := float64(i%5) / 50
			d.observe(m, map[string]float64{"mail": share}, 8*share)
		}
	}
	data, err := m.Encode()
	assert.NilError(t, err)
	again := NewModel()
	assert.NilError(t, again.Restore(data))
	for _, filling := range []string{"mail", "never seen"} {
		was, _ := m.Weight("web", filling)
		is, _ := again.Weight("web", filling)
		assert.Assert(t, math.Abs(was-is) < 1e-5)
	}
	assert.Equal(t, m.LoadFrequency(), again.LoadFrequency())
	assert.Assert(t, again.Restore([]byte("no model")) != nil)
	was, _ := m.Weight("web", "mail")
	is, _ := again.Weight("web", "mail")
	assert.Assert(t, math.Abs(was-is) < 1e-5, "a model that cannot be read changes nothing")
}

func TestImagesClashWhereOthersSlowThem(t *testing.T) {
	m := NewModel()
	assert.Equal(t, m.Conflict("web", "chat"), unknownClash)
	fills := []string{"a", "b", "c", "d", "e", "f"}
	slowedBy := map[string]string{"web": "abc", "chat": "abc", "shop": "def"}
	for serving, slows := range slowedBy {
		f := m.filter(serving)
		for _, fill := range fills {
			slot := f.weightSlot(m.column(fill))
			f.variance[slot][slot] = 1
			f.mean[slot] = 1
			if strings.Contains(slows, fill) {
				f.mean[slot] = 9
			}
		}
	}
	assert.Equal(t, m.Conflict("web", "web"), 0.0)
	assert.Equal(t, m.Conflict("web", "chat"), 0.0)
	assert.Assert(t, m.Conflict("web", "shop") > 0.7)
	assert.Equal(t, m.Conflict("web", "shop"), m.Conflict("shop", "web"))
}

// TestManyImagesTakeNoMoreRoom: callers choose the names of images.
func TestManyImagesTakeNoMoreRoom(t *testing.T) {
	m, d := NewModel(), newDay(0)
	for n := range 3 * mostServing {
		d.now = d.now.Add(time.Millisecond)
		filling := fmt.Sprint("mail", n)
		m.Observe(d.now, Sample{
			Image: fmt.Sprint("web", n), Load: fmt.Sprint("load", n), Headrooms: []float64{2}, TargetMillis: targetMillis,
		}, map[string]float64{filling: 0.1})
		m.Observe(d.now, Sample{
			Image: "web0", Load: fmt.Sprint("load", n), Headrooms: []float64{2}, TargetMillis: targetMillis,
		}, map[string]float64{filling: 0.1})
	}
	assert.Assert(t, len(m.filters) <= mostServing+1, "%d filters", len(m.filters))
	assert.Assert(t, len(m.swing.means) <= mostServing+1, "%d means", len(m.swing.means))
	assert.Equal(t, len(m.columns), mostImages)
	for _, f := range m.filters {
		assert.Assert(t, len(f.weights) <= mostImages)
		assert.Assert(t, len(f.loads) <= mostLoads)
		assert.Assert(t, len(f.mean) <= mostImages+loadSlots*mostLoads)
	}
}
