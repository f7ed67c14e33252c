package pressure

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestModelTellsPairsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		share, load := rapid.Float64Range(0, 0.4), rapid.Float64Range(-0.2, 0.2)
		for range 200 {
			harmful, harmless := share.Draw(t, "harmful"), share.Draw(t, "harmless")
			m.Observe("web", map[string]float64{"mail": harmful, "scan": harmless}, -0.7+load.Draw(t, "load")+3*harmful)
		}
		mail, _ := m.Weight("web", "mail")
		scan, _ := m.Weight("web", "scan")
		if math.Abs(mail-3) > 1.2 || scan > 1.2 {
			t.Fatalf("mail is taken to do %.1f, which does 3, and scan %.1f, which does nothing", mail, scan)
		}
	})
}

func TestUnknownPairIsTakenWithCare(t *testing.T) {
	m := NewModel()
	weight, deviation := m.Weight("web", "mail")
	assert.Equal(t, weight, priorWeight)
	assert.Assert(t, deviation > 1)
	assert.Equal(t, m.Rise("web", map[string]float64{"mail": 0.5}), priorWeight/2)
}

func TestLevelAndChance(t *testing.T) {
	assert.Assert(t, math.Abs(Level(18, 18)) < 0.01)
	assert.Equal(t, Level(0, 0), lowest)
	assert.Equal(t, Level(1e9, 18), highest)
	assert.Equal(t, ChanceOver(0), 0.5)
	assert.Assert(t, ChanceOver(-1) < 0.01 && ChanceOver(1) > 0.99)
}

func TestModelIsRestored(t *testing.T) {
	m := NewModel()
	for i := range 50 {
		share := float64(i%5) / 10
		m.Observe("web", map[string]float64{"mail": share}, -0.7+3*share)
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
	assert.Assert(t, again.Restore([]byte("no model")) != nil)
	was, _ := m.Weight("web", "mail")
	is, _ := again.Weight("web", "mail")
	assert.Assert(t, math.Abs(was-is) < 1e-5, "a model that cannot be read changes nothing")
}
