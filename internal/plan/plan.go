package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// Group is the waiting tasks of one step of one time of a job.
type Group struct {
	Job     *job.Job
	Time    int
	Number  int
	Step    *job.Step
	Service string
	// Indexes are the tasks that wait; Held counts the step's tasks on each worker.
	Indexes []int
	Held    map[job.Host]int
	// Avoid names workers on which a task of the group failed or was rejected a moment ago.
	Avoid map[job.Host]bool
	// Starved says that nothing of the job runs; then one task is placed even where it presses on what serves.
	Starved bool
	// Priority 0 goes first. Slack is the time left before the objective is missed if all goes well from now on,
	// Late the same before nothing is earned at all.
	Priority int
	Slack    time.Duration
	Late     time.Duration
	// Work is what is left of the job's time, in core seconds by its estimates.
	Work float64
}

// Placement gives a task to a worker; Run is 0 for the task's next run, and the shared run of a gang.
type Placement struct {
	Task job.TaskID
	Step *job.Step
	Host job.Host
	Run  int
}

// Make places what waits, most urgent first, and returns the placements in that order.
func Make(workers []*Worker, groups []*Group, pressure Pressure) []Placement {
	p := planner{workers: workers, pressure: pressure}
	slices.SortStableFunc(groups, before)
	var placed []Placement
	for _, g := range groups {
		if g.Step.Gang {
			placed = append(placed, p.placeGang(g)...)
			continue
		}
		placed = append(placed, p.placeEach(g)...)
	}
	return placed
}

// urgency orders groups: short work, then lasting tasks and short work that is far too late, then batch that can still be
// in time, then batch that is late, and far too late.
func (g *Group) urgency() int {
	switch {
	case g.Step.Lasting:
		return 1
	case !g.Step.Fills && g.Late > 0:
		return 0
	case !g.Step.Fills:
		return 1
	case g.Late <= 0:
		return 4
	case g.Slack <= 0:
		return 3
	}
	return 2
}

// order puts the batch jobs with the least work left first: under more work than can be done in time, that is what most
// of them come in time by.
func (g *Group) order() float64 {
	if !g.Step.Fills {
		return 0
	}
	return g.Work
}

func before(a, b *Group) int {
	return cmp.Or(
		cmp.Compare(a.urgency(), b.urgency()),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.order(), b.order()),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Job.ID(), b.Job.ID()),
		cmp.Compare(a.Time, b.Time),
		cmp.Compare(a.Number, b.Number),
	)
}

// planner is one plan under way.
type planner struct {
	workers  []*Worker
	pressure Pressure
}

func (p planner) placeEach(g *Group) []Placement {
	var placed []Placement
	for _, i := range g.Indexes {
		w := p.best(p.workers, g)
		if w == nil {
			break
		}
		placed = append(placed, g.take(w, i, 0))
		g.Starved = false
	}
	return placed
}

func (g *Group) take(w *Worker, index, run int) Placement {
	w.Take(g.Step)
	if w.Trials > 0 {
		w.Trials--
	}
	g.Held[w.Host]++
	id := job.TaskID{Job: g.Job.ID(), Time: g.Time, Step: g.Number, Index: index}
	return Placement{Task: id, Step: g.Step, Host: w.Host, Run: run}
}

// placeGang places all tasks of a gang or none.
func (p planner) placeGang(g *Group) []Placement {
	if len(g.Indexes) < g.Step.Count {
		return nil
	}
	for _, candidates := range racks(p.workers, g.Step) {
		if placed := p.gangOn(candidates, g); placed != nil {
			return placed
		}
	}
	return nil
}

// racks returns the sets of workers to try for a gang: each rack by itself where that matters, then all.
func racks(workers []*Worker, step *job.Step) [][]*Worker {
	var sets [][]*Worker
	if step.SameRack {
		byRack := make(map[string][]*Worker)
		var names []string
		for _, w := range workers {
			rack := w.rack()
			if _, known := byRack[rack]; !known {
				names = append(names, rack)
			}
			byRack[rack] = append(byRack[rack], w)
		}
		slices.Sort(names)
		for _, name := range names {
			sets = append(sets, byRack[name])
		}
	}
	return append(sets, workers)
}

// rack returns the label that names the rack, which comes after the kind.
func (w *Worker) rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}

func (p planner) gangOn(workers []*Worker, g *Group) []Placement {
	run := g.Job.NextGangRun(g.Time, g.Number)
	var placed []Placement
	var taken []*Worker
	for _, i := range g.Indexes {
		w := p.best(workers, g)
		if w == nil {
			for _, t := range taken {
				t.Give(g.Step)
				g.Held[t.Host]--
			}
			return nil
		}
		taken = append(taken, w)
		placed = append(placed, g.take(w, i, run))
	}
	return placed
}

// best returns the worker that suits a task of the group best, nil where none may take it.
func (p planner) best(workers []*Worker, g *Group) *Worker {
	var chosen *Worker
	var lowest float64
	for _, w := range workers {
		if !w.admits(g) {
			continue
		}
		cost, ok := p.costOf(w, g)
		if ok && (chosen == nil || cost < lowest) {
			chosen, lowest = w, cost
		}
	}
	return chosen
}

// mostHarm is the part of the worth of a task's work that the harm to serving tasks may eat up where it is placed: what
// does more harm is paced down before long, and keeps its memory from others meanwhile.
const mostHarm = 0.2

// gain returns what a filling task is worth on a worker beyond the harm that it does there, and whether it suits.
func (p planner) gain(w *Worker, g *Group) (float64, bool) {
	worth := w.share(g.Step.Size.CPU) / pressure.WorthOfOver
	harm := w.press(g.Step, p.pressure)
	crowded := w.Spare() < g.Step.Size.CPU && w.Filling > 0
	return worth - harm, harm <= mostHarm*worth && !crowded
}

// Suits reports whether some worker that the group does not avoid would suit a task of it.
func Suits(workers []*Worker, g *Group, pressure Pressure) bool {
	p := planner{workers: workers, pressure: pressure}
	for _, w := range workers {
		if g.Avoid[w.Host] || !w.admits(g) {
			continue
		}
		if _, ok := p.gain(w, g); ok {
			return true
		}
	}
	return false
}

// Weights of a placement's cost, in shares of a worker's processors: what is avoided goes last of all, data that
// lies elsewhere costs more than any crowding, and the gain of a task that fills over the harm that it does goes before that.
// Serving tasks of one image suffer from the same neighbors, so they are kept together while the crowding is alike.
const (
	avoidedCost = 10.0
	farCost     = 2.0
	gainWeight  = 2.0
	strangeCost = 1.0
)

// costOf returns how crowded the worker would be, and whether the task would get anything at all there.
func (p planner) costOf(w *Worker, g *Group) (float64, bool) {
	if w.Capacity.CPU == 0 {
		return 0, false
	}
	var cost float64
	switch {
	case g.Step.Fills:
		gain, suits := p.gain(w, g)
		if !g.Starved && !suits {
			return 0, false
		}
		cost = 1 - w.share(w.Spare()) - gainWeight*gain
	case g.Step.Serves():
		cost = w.share(w.Used.CPU)
		if w.strange(g.Step.Image) {
			cost += strangeCost * float64(len(w.Images))
		}
	default:
		cost = w.share(w.Used.CPU) + w.share(w.Filling)/4
	}
	if g.Avoid[w.Host] {
		cost += avoidedCost
	}
	if g.Step.Affinity != "" && !slices.Contains(w.Labels, g.Step.Affinity) {
		cost += farCost
	}
	return cost, true
}
