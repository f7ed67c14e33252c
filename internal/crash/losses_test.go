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

// TestLosses plays what becomes of the runs of a task: each file of the archive is one task, each line a run that was lost, as "told AGE",
// "shared AGE", "untold" or "unseen", or what was learned of one that was unseen; then what is held against the task.
func TestLosses(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/losses/alike.txtar")
	assert.NilError(t, err)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			var l Losses
			for n, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
				what, expected, _ := strings.Cut(line, " -> ")
				l = afterLine(t, l, strings.Fields(what))
				got := fmt.Sprintf("all=%d over=%d alike=%d blind=%d", l.Total(), l.Crashed(), l.Similar(), l.UnknownLifetime())
				if l.Exhausted() {
					got += " spent"
				}
				assert.Equal(t, got, expected, "line %d", n+1)
			}
		})
	}
}

func afterLine(t *testing.T, l Losses, words []string) Losses {
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

// TestWorkThatTakesAsLongToCrashEachWorkerStartsFiveTimesAtTheMost, whichever of its crashes are told, and although each of its runs is
// seen to live until then.
func TestWorkThatTakesAsLongToCrashEachWorkerStartsFiveTimesAtTheMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := time.Duration(rapid.IntRange(0, int(longEnough/time.Millisecond/2)).Draw(t, "ms")) * time.Millisecond
		var held History
		for range mostAlike {
			age := usual * time.Duration(rapid.IntRange(75, 125).Draw(t, "percent")) / 100
			held = held.Survived(age)
			loss := ReportedLoss(age, false)
			if rapid.Bool().Draw(t, "untold") {
				loss = UnreportedLoss()
			}
			held = held.WithLosses(held.Losses().Add(loss))
		}
		if !held.Losses().Exhausted() {
			t.Fatalf("started more than %d times: %+v", mostAlike, held)
		}
	})
}

// TestLossesAreForgivenOnceARunLivesForClearlyLonger, or for long enough.
func TestLossesAreForgivenOnceARunLivesForClearlyLonger(t *testing.T) {
	told := func(age time.Duration) History { return History{}.WithLosses(Losses{}.Add(ReportedLoss(age, false))) }
	assert.Equal(t, told(0).Survived(StableAge), History{})
	assert.Equal(t, told(4*time.Second).Survived(8*time.Second-1), told(4*time.Second))
	assert.Equal(t, told(4*time.Second).Survived(8*time.Second), History{})
	assert.Equal(t, told(time.Hour).Survived(longEnough), History{})
	blind := History{}.WithLosses(Losses{}.Add(UnreportedLoss()))
	assert.Equal(t, blind.Survived(longEnough-1), blind, "how long it lived is not known")
	assert.Equal(t, blind.Survived(longEnough), History{})
}
