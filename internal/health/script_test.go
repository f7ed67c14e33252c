package health

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// fleet is a Fleet with one service; schedulable is the number of its workers.
type fleet struct{ schedulable int }

func (f *fleet) Service(job.Host) string { return "s" }
func (f *fleet) Schedulable(string) int  { return f.schedulable }

// script plays the events of an archive and writes down the changes.
type script struct {
	t       *testing.T
	fleet   *fleet
	tracker *Tracker
	start   time.Time
	lines   []string
}

// TestScripts guards against ejections without cause and failing workers that stay in use: it plays the events in the archives and compares the
// changes and the statuses.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		s := &script{t: t, fleet: &fleet{}, start: time.Unix(1000, 0)}
		s.tracker = NewTracker(s.fleet)
		want := ""
		for _, f := range archive.Files {
			switch f.Name {
			case "events":
				for _, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
					s.play(strings.Fields(line))
				}
			case "changes":
				want = strings.TrimSpace(string(f.Data))
			}
		}
		assert.Equal(t, strings.Join(s.lines, "\n"), want)
	})
}

func testHost(name string) job.Host { return job.Host{VM: name} }

// testTask parses a task like "j1.4".
func testTask(text string) job.TaskID {
	id, index, _ := strings.Cut(text, ".")
	n, _ := strconv.Atoi(index)
	return job.TaskID{Job: job.ID(id), Index: n}
}

// at returns the time that is some seconds after the start.
func (s *script) at(text string) time.Time {
	s.t.Helper()
	seconds, err := strconv.ParseFloat(text, 64)
	assert.NilError(s.t, err)
	return s.start.Add(time.Duration(seconds * float64(time.Second)))
}

// play handles a line like "1.25 failed a j1.4", "0 workers 12", "3 status a b" or "4 done a j1.4 2.5", where 1.25 is a time in
// seconds and 2.5 the time of the placement, which is otherwise that of the event.
func (s *script) play(words []string) {
	var err error
	now, args := s.at(words[0]), words[2:]
	switch words[1] {
	case "workers":
		s.fleet.schedulable, err = strconv.Atoi(args[0])
		assert.NilError(s.t, err)
		s.tracker.Update(now)
	case "update":
		s.tracker.Update(now)
	case "done":
		placed := now
		if len(args) > 2 {
			placed = s.at(args[2])
		}
		s.tracker.Done(testHost(args[0]), placed, now)
	case "failed":
		s.tracker.Failed(testHost(args[0]), testTask(args[1]), now)
	case "stalled":
		s.tracker.Stalled(testHost(args[0]), testTask(args[1]), now)
	case "refused":
		s.tracker.Refused(testHost(args[0]), now)
	case "started":
		s.tracker.Started(testHost(args[0]))
	case "forget":
		s.tracker.Forget(testHost(args[0]))
	case "series":
		s.series(now, args)
	case "status":
		for _, name := range args {
			status := s.tracker.Status(testHost(name), now)
			s.lines = append(s.lines, fmt.Sprintf("%s %s %s trial=%t", words[0], name, status.State(), status.AllowsTrial(false)))
		}
	default:
		s.t.Fatalf("unknown event %s", words[1])
	}
	for _, c := range s.tracker.Changes() {
		if c.Ejected {
			s.lines = append(s.lines, fmt.Sprintf("%s %s ejected failures=%d refusals=%d jobs=%d for=%v", words[0], c.Worker.VM, c.Failures, c.Refusals, c.Jobs, c.Pause))
			continue
		}
		s.lines = append(s.lines, fmt.Sprintf("%s %s readmitted after=%v", words[0], c.Worker.VM, c.After))
	}
}

// series records ends of runs of different jobs on the named workers in turn, 100 ms apart; every nth run fails: "series 400 20 a b".
func (s *script) series(now time.Time, args []string) {
	count, err := strconv.Atoi(args[0])
	assert.NilError(s.t, err)
	every, err := strconv.Atoi(args[1])
	assert.NilError(s.t, err)
	for n := range count {
		worker, task := testHost(args[2+n%len(args[2:])]), job.TaskID{Job: job.ID(strconv.Itoa(n))}
		now = now.Add(100 * time.Millisecond)
		if n%every == every-1 {
			s.tracker.Failed(worker, task, now)
			continue
		}
		s.tracker.Done(worker, now, now)
	}
}
