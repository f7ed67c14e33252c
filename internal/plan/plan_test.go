package plan

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// pairs is a PressureModel with weights by "serving/best-effort" and conflicts by "a|b".
type pairs map[string]float64

// Weight implements PressureModel.
func (p pairs) Weight(serving, other string) (float64, float64) { return p[serving+"/"+other], 0 }

// Conflict implements PressureModel; pairs that are not listed have the default of 0.5.
func (p pairs) Conflict(a, b string) float64 {
	if a == b {
		return 0
	}
	if conflict, known := p[a+"|"+b]; known {
		return conflict
	}
	return 0.5
}

// TestScripts compares the placements for the inputs in the archives; an archive may play several plans.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		s := &script{weights: make(pairs)}
		for _, f := range archive.Files {
			lines := strings.Split(strings.TrimSpace(string(f.Data)), "\n")
			switch f.Name {
			case "workers":
				s.workers = parseWorkers(t, lines)
			case "groups":
				s.groups = append(s.groups, parseGroups(t, lines)...)
			case "pressure":
				for _, line := range lines {
					words := strings.Fields(line)
					s.weights[words[0]] = parseFloat(t, words[1])
				}
			case "reserve":
				s.setReserve(t, lines)
			case "events":
				s.apply(t, lines)
			case "placed":
				assert.Equal(t, s.plan(), strings.TrimSpace(string(f.Data)))
			case "unplaced":
				assert.Equal(t, describeWaiting(s.reserves["s"].Waiting), strings.TrimSpace(string(f.Data)))
			default:
				t.Fatalf("unknown file %s", f.Name)
			}
		}
		assert.Assert(t, s.plans > 0)
	})
}

func describe(placed []Placement) string {
	var lines []string
	for _, p := range placed {
		line := fmt.Sprintf("%s.%d %s", strings.TrimLeft(string(p.Task.Job), "0"), p.Task.Index, p.Host.VM)
		if p.Run > 0 {
			line += fmt.Sprintf(" run=%d", p.Run)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func parseFloat(t *testing.T, text string) float64 {
	t.Helper()
	value, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return value
}

// parseWorkers reads lines like "a cpu=4000 memory=1000 labels=x,r1 serves=web:2.5 closed trials=1".
func parseWorkers(t *testing.T, lines []string) []*Worker {
	t.Helper()
	var workers []*Worker
	for _, line := range lines {
		words := strings.Fields(line)
		w := &Worker{Host: job.Host{VM: words[0], Incarnation: incarnation.New(words[0], 0)}, Service: "s", Schedulable: true, Trials: -1, Shares: map[string]float64{}}
		for _, word := range words[1:] {
			name, value, _ := strings.Cut(word, "=")
			switch name {
			case "cpu":
				w.Capacity.CPU = int(parseFloat(t, value))
			case "memory":
				w.Capacity.Memory = int(parseFloat(t, value))
			case "labels":
				w.Labels = strings.Split(value, ",")
			case "used":
				w.Used.CPU = int(parseFloat(t, value))
			case "serves":
				image, headroom, _ := strings.Cut(value, ":")
				w.ServingTasks = append(w.ServingTasks, ServingTask{Image: image, Headroom: parseFloat(t, headroom), Deviation: 0.3})
			case "pressed":
				w.BestEffortBlocked = true
			case "closed":
				w.Schedulable = false
			case "evacuated":
				w.HallClosed = true
			case "unproven":
				w.Starting = int(parseFloat(t, value))
			case "reserved":
				w.Starting, w.SuspectStarting = 1, true
			case "kept":
				w.ReservedForSuspect = true
			case "degraded":
				w.Health = health.Degraded
			case "ejected":
				w.Health = health.Ejected
			case "trials":
				w.Trials = int(parseFloat(t, value))
			case "lasting_trials":
				w.LongRunningTrials = int(parseFloat(t, value))
			default:
				t.Fatalf("%s: unknown word %s", line, name)
			}
		}
		workers = append(workers, w)
	}
	return workers
}

// parseGroups reads lines like "1 count=3 cpu=1000 memory=100 fills image=x slack=2 late=9".
func parseGroups(t *testing.T, lines []string) []*Group {
	t.Helper()
	var groups []*Group
	for _, line := range lines {
		words := strings.Fields(line)
		step := job.Step{Count: 1}
		g := &Group{Service: "s", TasksByWorker: map[job.Host]int{}, Slack: time.Second, CutoffSlack: time.Minute}
		for _, word := range words[1:] {
			name, value, _ := strings.Cut(word, "=")
			switch name {
			case "count":
				step.Count = int(parseFloat(t, value))
			case "cpu":
				step.Size.CPU = int(parseFloat(t, value))
			case "memory":
				step.Size.Memory = int(parseFloat(t, value))
			case "fills":
				step.BestEffort = true
			case "gang":
				step.Gang = true
			case "samerack":
				step.SameRack = true
			case "lasting":
				step.LongRunning = true
			case "target":
				step.Target = time.Duration(parseFloat(t, value) * float64(time.Millisecond))
			case "image":
				step.Image = value
			case "requires":
				step.Requires = value
			case "affinity":
				step.Affinity = value
			case "apart":
				step.AntiAffinity = int(parseFloat(t, value))
			case "slack":
				g.Slack = time.Duration(parseFloat(t, value) * float64(time.Second))
			case "late":
				g.CutoffSlack = time.Duration(parseFloat(t, value) * float64(time.Second))
			case "work":
				g.Work = parseFloat(t, value)
			case "priority":
				g.Priority = int(parseFloat(t, value))
			case "starved":
				g.NoneRunning = true
			case "last":
				g.LastAttempt = true
			case "waited":
				g.AcceptsEjected = true
			case "accepts":
				g.WorstHealth = map[string]health.State{"degraded": health.Degraded, "ejected": health.Ejected}[value]
			case "excluded":
				g.Excluded = map[job.Host]bool{{VM: value, Incarnation: incarnation.New(value, 0)}: true}
			case "suspect":
				g.SuspectScore = int(parseFloat(t, value))
			default:
				t.Fatalf("%s: unknown word %s", line, name)
			}
		}
		id := job.ID(strings.Repeat("0", 16-len(words[0])) + words[0])
		g.Job = job.New(id, job.Spec{Steps: []job.Step{step}}, job.Queue{Service: "s"}, time.Unix(1, 0))
		g.Step = &g.Job.Spec().Steps[0]
		for i := range step.Count {
			g.Indexes = append(g.Indexes, i)
		}
		groups = append(groups, g)
	}
	return groups
}

// drawInputs draws workers and waiting groups.
func drawInputs(t *rapid.T) ([]*Worker, []*Group) {
	var workers []*Worker
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		workers = append(workers, &Worker{
			Host: job.Host{VM: strconv.Itoa(i)}, Service: "s", Schedulable: true, Trials: -1, Labels: []string{"k", "r" + strconv.Itoa(i%2)},
			Capacity: job.Size{CPU: rapid.IntRange(0, 8).Draw(t, "cpu") * 1000, Memory: rapid.IntRange(0, 8).Draw(t, "memory") * 1000},
		})
	}
	var groups []*Group
	for i := range rapid.IntRange(1, 6).Draw(t, "groups") {
		step := job.Step{
			Count: rapid.IntRange(1, 6).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), BestEffort: rapid.Bool().Draw(t, "fills"),
			Size:         job.Size{CPU: rapid.IntRange(0, 4).Draw(t, "requested cpu") * 1000, Memory: rapid.IntRange(0, 4).Draw(t, "requested memory") * 1000},
			AntiAffinity: rapid.IntRange(0, 2).Draw(t, "apart"), SameRack: rapid.Bool().Draw(t, "same rack"),
		}
		j := job.New(job.ID(fmt.Sprintf("%016x", i)), job.Spec{Steps: []job.Step{step}}, job.Queue{}, time.Unix(1, 0))
		g := &Group{Job: j, Step: &j.Spec().Steps[0], Service: "s", TasksByWorker: map[job.Host]int{}}
		for n := range step.Count {
			g.Indexes = append(g.Indexes, n)
		}
		groups = append(groups, g)
	}
	return workers, groups
}

// TestUnschedulableWorkersChangeNoPlan guards against workers of another service, or unschedulable ones, that change a
// placement by their other fields.
func TestUnschedulableWorkersChangeNoPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, groups := drawInputs(t)
		var withUnrelated []*Worker
		for _, w := range workers {
			for range rapid.IntRange(0, 2).Draw(t, "strangers") {
				unrelated := &Worker{
					Host: job.Host{VM: fmt.Sprintf("%s-%d", w.Host.VM, len(withUnrelated))}, Trials: -1, Schedulable: rapid.Bool().Draw(t, "open"),
					Capacity: job.Size{CPU: rapid.IntRange(-9, 99).Draw(t, "unrelated cpu") * 1000, Memory: 99000},
				}
				if !unrelated.Schedulable {
					unrelated.Service = "s"
				}
				withUnrelated = append(withUnrelated, unrelated)
			}
			copied := *w
			withUnrelated = append(withUnrelated, &copied)
		}
		copies := make([]*Group, len(groups))
		for i, g := range groups {
			copied := *g
			copied.TasksByWorker = map[job.Host]int{}
			copies[i] = &copied
		}
		want := describe(New(workers, pairs{}).Place(copies))
		if got := describe(New(withUnrelated, pairs{}).Place(groups)); got != want {
			t.Fatalf("with unrelated workers\n%s\nwithout\n%s", got, want)
		}
	})
}

// TestPlanRespectsCapacityAndGangs checks that no worker is given more than its capacity and that gangs are placed
// whole or not at all.
func TestPlanRespectsCapacityAndGangs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, groups := drawInputs(t)
		placed := New(workers, pairs{}).Place(groups)
		used, tasksByWorker, members := make(map[job.Host]job.Size), make(map[string]int), make(map[job.ID]int)
		for _, p := range placed {
			used[p.Host] = used[p.Host].Plus(p.Step.Reservation())
			tasksByWorker[p.Host.VM+string(p.Task.Job)]++
			members[p.Task.Job]++
			if p.Step.AntiAffinity > 0 && tasksByWorker[p.Host.VM+string(p.Task.Job)] > p.Step.AntiAffinity {
				t.Fatalf("%v exceeds its anti-affinity", p.Task)
			}
		}
		for _, w := range workers {
			if !used[w.Host].Fits(w.Capacity) {
				t.Fatalf("%v of %v is allocated", used[w.Host], w.Capacity)
			}
		}
		for _, g := range groups {
			if n := members[g.Job.ID()]; g.Step.Gang && n != 0 && n != g.Step.Count {
				t.Fatalf("%d of a gang of %d are placed", n, g.Step.Count)
			}
		}
	})
}

func TestPlanIsIndependentOfInputOrder(t *testing.T) {
	lines := []string{"1 cpu=1 slack=2", "2 fills cpu=1 image=x", "3 lasting cpu=1", "4 cpu=1 slack=1", "5 fills cpu=1 slack=-1", "6 fills cpu=1 late=-1"}
	workers := func() []*Worker { return parseWorkers(t, []string{"a cpu=1000 memory=10"}) }
	want := describe(New(workers(), pairs{}).Place(parseGroups(t, lines)))
	slices.Reverse(lines)
	assert.Equal(t, describe(New(workers(), pairs{}).Place(parseGroups(t, lines))), want)
	assert.Equal(t, want, "4.0 a\n1.0 a\n3.0 a\n2.0 a\n5.0 a\n6.0 a")
}

// TestUnplacedGangKeepsTrials guards against a gang that uses up a trial although it was not placed.
func TestUnplacedGangKeepsTrials(t *testing.T) {
	workers := parseWorkers(t, []string{"a cpu=4000 memory=1000 trials=1"})
	assert.Equal(t, len(New(workers, pairs{}).Place(parseGroups(t, []string{"1 gang count=2 cpu=1000"}))), 0)
	assert.Equal(t, workers[0].Trials, 1)
	assert.Equal(t, workers[0].Used, job.Size{})
}
