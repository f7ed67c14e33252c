package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = NewCandidate(resource.New(30000, 125000, 0), resource.New(int64(1000*(i%20)), 60000, 0), 1+i/3)
		list[i].SetInterference(float64(i%7) / 100)
	}
	return list
}

func TestChooseAllocatesNothing(t *testing.T) {
	list, request := candidates(32), NewRequest(resource.New(4000, 8000, 0), false)
	weights := DefaultWeights()
	assert.Equal(t, testing.AllocsPerRun(100, func() { Choose(request, list, weights) }), 0.0)
}

func TestCandidateWithoutInterferenceIsChosen(t *testing.T) {
	slowed := NewCandidate(resource.New(8000, 8000, 0), resource.New(6000, 6000, 0), 1)
	slowed.SetInterference(0.1)
	unaffected := NewCandidate(resource.New(8000, 8000, 0), resource.New(6000, 6000, 0), 1)
	result := Choose(NewRequest(resource.New(1000, 1000, 0), false), []Candidate{slowed, unaffected}, DefaultWeights())
	assert.Equal(t, result.Index(), 1)
}

func BenchmarkChoose(b *testing.B) {
	list, request := candidates(32), NewRequest(resource.New(4000, 8000, 0), false)
	weights := DefaultWeights()
	b.ReportAllocs()
	for b.Loop() {
		Choose(request, list, weights)
	}
}
