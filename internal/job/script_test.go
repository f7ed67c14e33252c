package job

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// TestScripts applies scripted events to jobs: each archive defines the steps of one job, one per line, and the events with their
// expected results.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		parts := make(map[string]string)
		for _, f := range archive.Files {
			parts[f.Name] = string(f.Data)
		}
		spec, attempts := parseSpec(t, parts["job"])
		j := New("00000000000000aa", spec, Queue{Attempts: attempts, Stretch: 2}, time.Unix(1000, 0))
		for n, line := range strings.Split(strings.TrimSpace(parts["script"]), "\n") {
			runLine(t, j, strings.Fields(line), fmt.Sprintf("line %d: %s", n+1, line))
			j = reload(t, j)
		}
	})
}

// reload encodes and decodes the job, which must not change it.
func reload(t *testing.T, j *Job) *Job {
	t.Helper()
	accepted, err := Encode(j.spec, j.queue, j.accepted)
	assert.NilError(t, err)
	progress, _, err := j.EncodeProgress(MaxStoredCheckpoints, settledHost)
	assert.NilError(t, err)
	decoded, err := Decode(j.id, accepted)
	assert.NilError(t, err)
	assert.NilError(t, decoded.ApplyProgress(progress))
	assert.Equal(t, decoded.State(), j.State())
	return decoded
}

// parseSpec parses lines like "times 2", "attempts 3" and "step 3 after=0,1 gang lasting saves", and returns the spec and the attempts.
func parseSpec(t *testing.T, text string) (spec Spec, attempts int) {
	t.Helper()
	attempts = 2
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		words := strings.Fields(line)
		count, err := strconv.Atoi(words[1])
		assert.NilError(t, err, line)
		if words[0] == "times" {
			spec.Iterations, spec.Start, spec.Interval = count, time.Unix(2000, 0), time.Minute
			continue
		}
		if words[0] == "attempts" {
			attempts = count
			continue
		}
		step := Step{Count: count, Estimate: time.Second, Size: Size{CPU: 1000}}
		for _, word := range words[2:] {
			name, value, _ := strings.Cut(word, "=")
			switch name {
			case "after":
				for _, d := range strings.Split(value, ",") {
					n, err := strconv.Atoi(d)
					assert.NilError(t, err, line)
					step.DependsOn = append(step.DependsOn, n)
				}
			case "gang":
				step.Gang = true
			case "lasting":
				step.LongRunning = true
			case "saves":
				step.Checkpoints = true
			default:
				t.Fatalf("%s: unknown option %s", line, name)
			}
		}
		spec.Steps = append(spec.Steps, step)
	}
	assert.NilError(t, spec.Check())
	return spec, attempts
}

func runLine(t *testing.T, j *Job, words []string, line string) {
	t.Helper()
	task := func() TaskID {
		id, ok := ParseTaskID(string(j.id) + "." + words[1])
		assert.Assert(t, ok, line)
		return id
	}
	number := func(n int) int {
		value, err := strconv.Atoi(words[n])
		assert.NilError(t, err, line)
		return value
	}
	isYes := func(n int) bool { return words[n] == "yes" }
	switch words[0] {
	case "place":
		assert.Equal(t, j.Place(task(), Host{VM: words[2], Incarnation: incarnation.New(words[2]+"-1", 0)}, 0), number(3), line)
	case "end":
		checkpoint := ""
		if len(words) > 5 {
			checkpoint = words[5]
		}
		assert.Equal(t, j.RecordEnd(task(), number(2), parseEnd(t, words[3]), checkpoint), isYes(4), line)
	case "unplace":
		assert.Equal(t, j.Unplace(task(), number(2)), isYes(3), line)
	case "cancel":
		assert.Equal(t, j.Cancel(), isYes(1), line)
	case "state":
		assert.Equal(t, j.State().String(), words[1], line)
	case "crash":
		attribution := map[string]crash.Attribution{"cleared": crash.NotCause, "possible": crash.PossibleCause, "likely": crash.LikelyCause}[words[3]]
		assert.Equal(t, j.RecordCrash(task(), number(2), crash.NewFinding(attribution, words[4] == "alone")), isYes(5), line)
	case "lost":
		assert.Equal(t, j.RecordLoss(task(), number(2), parseLoss(words[3], time.Duration(number(4))*time.Millisecond)), isYes(5), line)
	case "settled":
		assert.Equal(t, j.ResolveLoss(task(), number(2), words[3] == "crashed"), isYes(4), line)
	case "outlived":
		assert.Equal(t, j.RecordRunAge(task(), number(2), time.Duration(number(3))*time.Millisecond), isYes(4), line)
	case "starts":
		j.RecordStarted(task(), number(2))
	case "begun":
		assert.Equal(t, j.Begun(), isYes(1), line)
	case "failures":
		assert.Equal(t, j.Failures(task()), number(2), line)
	case "last":
		assert.Equal(t, j.OnLastAttempt(task()), isYes(2), line)
	case "open":
		assert.Equal(t, j.DependenciesDone(number(1), number(2)), isYes(3), line)
	case "phase":
		assert.Equal(t, j.Task(task()).Phase().String(), words[2], line)
	case "checkpoint":
		assert.Equal(t, j.Task(task()).Checkpoint(), words[2], line)
	case "remaining":
		assert.Equal(t, j.RemainingTime(number(1), j.spec.Estimate), time.Duration(number(2))*time.Second, line)
	case "due":
		assert.Equal(t, j.Due(number(1)).Unix(), int64(number(2)), line)
	default:
		t.Fatalf("%s: unknown event", line)
	}
}

func parseLoss(name string, lifetime time.Duration) crash.Loss {
	switch name {
	case "told":
		return crash.ReportedLoss(lifetime, false)
	case "untold":
		return crash.UnreportedLoss()
	}
	return crash.UnreachableLoss()
}

func parseEnd(t *testing.T, name string) End {
	t.Helper()
	for e := EndDone; e <= EndGangIncomplete; e++ {
		if e.String() == name {
			return e
		}
	}
	t.Fatalf("unknown end %s", name)
	return EndDone
}
