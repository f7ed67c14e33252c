package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func view(c *Candidate) Candidate { return *c }

func TestChoose(t *testing.T) {
	open, busy, closed := NewCandidate(0, 8, false, false), NewCandidate(20, 8, false, false), NewCandidate(0, 8, false, true)
	otherHall := NewCandidate(0, 8, true, false)
	cases := []struct {
		name string
		list []Candidate
		want int
	}{
		{"none", nil, -1},
		{"the only one", []Candidate{busy}, 0},
		{"all closed", []Candidate{closed, closed, closed}, -1},
		{"the only open one", []Candidate{closed, closed, closed, open, closed}, 3},
		{"the less busy", []Candidate{busy, open}, 1},
		{"the same hall", []Candidate{otherHall, open}, 1},
		{"another hall rather than a queue", []Candidate{busy, otherHall}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			for range 100 {
				assert.Equal(t, Choose(c.list, view, random.Uint64()), c.want)
			}
		})
	}
}

func TestChooseSpreadsOverAll(t *testing.T) {
	list := make([]Candidate, 11)
	for i := range list {
		list[i] = NewCandidate(0, 8, false, false)
	}
	counts := make([]int, len(list))
	random := rand.New(rand.NewPCG(1, 1))
	for range 11000 {
		counts[Choose(list, view, random.Uint64())]++
	}
	for i, n := range counts {
		assert.Assert(t, n > 700 && n < 1300, "%d was chosen %d times of 1000", i, n)
	}
}

func TestBudget(t *testing.T) {
	var b RetryBudget
	spent := 0
	for b.Spend() {
		spent++
	}
	assert.Equal(t, spent, budgetBurst)
	// Ten requests add one retry; the eleventh compensates for the rounding of a tenth in binary.
	for range 11 {
		b.AddRequest(10)
	}
	assert.Assert(t, b.Spend())
	assert.Assert(t, !b.Spend())
}

func BenchmarkChoose(b *testing.B) {
	list := make([]*Candidate, 600)
	for i := range list {
		c := NewCandidate(i%9, 8, i%3 == 0, i%50 == 0)
		list[i] = &c
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(list, func(c **Candidate) Candidate { return **c }, rand.Uint64())
	}
}
