package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLosses replays the losses of a task: each file of the archive is one task, each line a lost run as "told AGE",
// "shared AGE", "untold" or "unseen", or the later outcome of an unseen one; then the resulting counts.
func TestLosses(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/losses/alike.txtar")
	assert.NilError(t, err)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			var l Losses
			for n, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
				event, expected, _ := strings.Cut(line, " -> ")
				l = applyLine(t, l, strings.Fields(event))
				got := fmt.Sprintf("all=%d over=%d alike=%d blind=%d", l.Total(), l.Crashed(), l.Similar(), l.UnknownLifetime())
				if l.Exhausted() {
					got += " spent"
				}
				assert.Equal(t, got, expected, "line %d", n+1)
			}
		})
	}
}

func applyLine(t *testing.T, l Losses, words []string) Losses {
	t.Helper()
	switch words[0] {
	case "untold":
		return l.Add(UnreportedLoss())
	case "unseen":
		return l.Add(UnreachableLoss())
	case "crashed", "spared":
		return l.Resolve(words[0] == "crashed")
	}
	age, err := time.ParseDuration(words[1])
	assert.NilError(t, err)
	return l.Add(ReportedLoss(age, words[0] == "shared"))
}

// TestTaskWithSimilarLifetimesStartsAtMostFiveTimes checks the bound for any mix of reported and unreported crashes,
// although each run reaches its age before the crash.
func TestTaskWithSimilarLifetimesStartsAtMostFiveTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lifetime := time.Duration(rapid.IntRange(0, int(maxClearedAfter/time.Millisecond/2)).Draw(t, "ms")) * time.Millisecond
		var history History
		for range maxSimilar {
			age := lifetime * time.Duration(rapid.IntRange(75, 125).Draw(t, "percent")) / 100
			history = history.Survived(age)
			loss := ReportedLoss(age, false)
			if rapid.Bool().Draw(t, "untold") {
				loss = UnreportedLoss()
			}
			history = history.WithLosses(history.Losses().Add(loss))
		}
		if !history.Losses().Exhausted() {
			t.Fatalf("started more than %d times: %+v", maxSimilar, history)
		}
	})
}

// TestLossesAreClearedByALongerRun checks the clearing by a clearly longer run, and by one that reaches
// maxClearedAfter.
func TestLossesAreClearedByALongerRun(t *testing.T) {
	reported := func(age time.Duration) History { return History{}.WithLosses(Losses{}.Add(ReportedLoss(age, false))) }
	assert.Equal(t, reported(0).Survived(StableAge), History{})
	assert.Equal(t, reported(4*time.Second).Survived(8*time.Second-1), reported(4*time.Second))
	assert.Equal(t, reported(4*time.Second).Survived(8*time.Second), History{})
	assert.Equal(t, reported(time.Hour).Survived(maxClearedAfter), History{})
	unknown := History{}.WithLosses(Losses{}.Add(UnreportedLoss()))
	assert.Equal(t, unknown.Survived(maxClearedAfter-1), unknown, "the lifetime is unknown")
	assert.Equal(t, unknown.Survived(maxClearedAfter), History{})
}
