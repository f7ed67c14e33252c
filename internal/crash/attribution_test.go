package crash

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// TestScripts plays crashes: each file of an archive is one crash, each line a run that the worker had, as "answered AGE CRASHES
// DOUBTS -> BLAME [alone] [given-up]". One with "together" in its name struck several workers at one moment.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) {
				playCrash(t, strings.Split(strings.TrimSpace(string(f.Data)), "\n"), strings.Contains(f.Name, "together"))
			})
		}
	})
}

func playCrash(t *testing.T, lines []string, together bool) {
	t.Helper()
	runs := make([]Run, 0, len(lines))
	for _, line := range lines {
		words := strings.Fields(line)
		age, err := time.ParseDuration(words[1])
		assert.NilError(t, err, line)
		crashes, err := strconv.Atoi(words[2])
		assert.NilError(t, err, line)
		doubts, err := strconv.Atoi(words[3])
		assert.NilError(t, err, line)
		runs = append(runs, NewRun(words[0] == "answered", age, NewHistory(crashes, doubts)))
	}
	for i, f := range Attribute(runs, together) {
		got := f.Attribution().String()
		if f.Sole() {
			got += " alone"
		}
		if runs[i].before.After(f).GivesUp(f) {
			got += " given-up"
		}
		_, expected, _ := strings.Cut(lines[i], "-> ")
		assert.Equal(t, got, expected, fmt.Sprintf("line %d", i+1))
	}
}

// TestEachCrashIsHeldAgainstSomeRun, so that what is repeated for ever is counted for ever.
func TestEachCrashIsHeldAgainstSomeRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := false
		for _, f := range Attribute(drawRuns(t), false) {
			held = held || f.Attribution() != NotCause
		}
		if !held {
			t.Fatal("nobody is held responsible")
		}
	})
}

// TestWorkThatCrashesItsWorkersIsGivenUpInTime: its fourth start is the last, with or without answers, however long it takes
// to crash its worker, and whatever had just begun beside it before it was suspected.
func TestWorkThatCrashesItsWorkersIsGivenUpInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var held History
		age := time.Duration(rapid.IntRange(0, int((StableAge-1)/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		for range 4 {
			held = held.Survived(age)
			runs := []Run{NewRun(rapid.Bool().Draw(t, "answered"), age, held)}
			if age < StartupTime && !held.Suspect() {
				runs = append(runs, NewRun(true, 0, History{}), NewRun(false, 0, History{}), NewRun(true, StableAge, History{}))
			}
			f := Attribute(runs, age < StartupTime && rapid.Bool().Draw(t, "together"))[0]
			if held = held.After(f); held.GivesUp(f) {
				return
			}
		}
		t.Fatalf("started four times: %+v", held)
	})
}

func drawRuns(t *rapid.T) []Run {
	runs := make([]Run, rapid.IntRange(1, 5).Draw(t, "runs"))
	for i := range runs {
		age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
		before := NewHistory(rapid.IntRange(0, 2).Draw(t, "crashes"), rapid.IntRange(0, 2).Draw(t, "doubts"))
		runs[i] = NewRun(rapid.Bool().Draw(t, "answered"), age, before)
	}
	return runs
}

// TestSuspicionIsDroppedByWhatARunOutlives: a start for the likely cause, a long life for all.
func TestSuspicionIsDroppedByWhatARunOutlives(t *testing.T) {
	held := NewHistory(1, 1)
	assert.Equal(t, held.Survived(StartupTime-1), held)
	assert.Equal(t, held.Survived(StartupTime), NewHistory(0, 1))
	assert.Equal(t, held.Survived(StableAge), History{})
	assert.Assert(t, !NewHistory(0, 1).Suspect())
	assert.Assert(t, NewHistory(0, 2).Suspect())
}
