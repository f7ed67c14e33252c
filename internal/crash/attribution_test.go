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

// TestScripts attributes crashes: each file of an archive is one crash, each line a run of the worker as "answered AGE
// LIKELY POSSIBLE -> ATTRIBUTION [alone] [given-up]", with the crashes of its task so far. A file with "together" in its
// name is a simultaneous crash of several workers.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		for _, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) {
				checkCrash(t, strings.Split(strings.TrimSpace(string(f.Data)), "\n"), strings.Contains(f.Name, "together"))
			})
		}
	})
}

func checkCrash(t *testing.T, lines []string, simultaneous bool) {
	t.Helper()
	runs := make([]Run, 0, len(lines))
	for _, line := range lines {
		words := strings.Fields(line)
		age, err := time.ParseDuration(words[1])
		assert.NilError(t, err, line)
		likely, err := strconv.Atoi(words[2])
		assert.NilError(t, err, line)
		possible, err := strconv.Atoi(words[3])
		assert.NilError(t, err, line)
		runs = append(runs, NewRun(words[0] == "answered", age, NewHistory(likely, possible)))
	}
	for i, f := range Attribute(runs, simultaneous) {
		got := f.Attribution().String()
		if f.Sole() {
			got += " alone"
		}
		if runs[i].history.After(f).GivesUp(f) {
			got += " given-up"
		}
		_, expected, _ := strings.Cut(lines[i], "-> ")
		assert.Equal(t, got, expected, fmt.Sprintf("line %d", i+1))
	}
}

// TestEachCrashIsAttributedToSomeRun guards against crashes that repeat without being counted for any run.
func TestEachCrashIsAttributedToSomeRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attributed := false
		for _, f := range Attribute(drawRuns(t), false) {
			attributed = attributed || f.Attribution() != NotCause
		}
		if !attributed {
			t.Fatal("the crash is attributed to no run")
		}
	})
}

// TestTaskThatCrashesWorkersIsGivenUpInTime checks that the fourth start is the last, with or without
// acknowledgements, for any time until the crash, and with any other starting runs until the task is a suspect.
func TestTaskThatCrashesWorkersIsGivenUpInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history History
		age := time.Duration(rapid.IntRange(0, int((StableAge-1)/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
		for range 4 {
			history = history.Survived(age)
			runs := []Run{NewRun(rapid.Bool().Draw(t, "answered"), age, history)}
			if age < StartupTime && !history.Suspect() {
				runs = append(runs, NewRun(true, 0, History{}), NewRun(false, 0, History{}), NewRun(true, StableAge, History{}))
			}
			f := Attribute(runs, age < StartupTime && rapid.Bool().Draw(t, "together"))[0]
			if history = history.After(f); history.GivesUp(f) {
				return
			}
		}
		t.Fatalf("started four times: %+v", history)
	})
}

func drawRuns(t *rapid.T) []Run {
	runs := make([]Run, rapid.IntRange(1, 5).Draw(t, "runs"))
	for i := range runs {
		age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
		history := NewHistory(rapid.IntRange(0, 2).Draw(t, "crashes"), rapid.IntRange(0, 2).Draw(t, "doubts"))
		runs[i] = NewRun(rapid.Bool().Draw(t, "answered"), age, history)
	}
	return runs
}

// TestHistoryIsClearedByRunAge checks that a survived startup clears the likely crashes, and a stable age all crashes.
func TestHistoryIsClearedByRunAge(t *testing.T) {
	history := NewHistory(1, 1)
	assert.Equal(t, history.Survived(StartupTime-1), history)
	assert.Equal(t, history.Survived(StartupTime), NewHistory(0, 1))
	assert.Equal(t, history.Survived(StableAge), History{})
	assert.Assert(t, !NewHistory(0, 1).Suspect())
	assert.Assert(t, NewHistory(0, 2).Suspect())
}
