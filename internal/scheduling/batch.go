package scheduling

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/queueing"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// waitingJob is a job with tasks to place.
type waitingJob struct {
	job    cell.Job
	row    table.Row
	size   resource.Vector
	entry  queueing.Entry
	resume []cell.Task
	next   int
	passed bool
}

func (p *planner) placeBatch() {
	capacity := p.capacity()
	teams := p.teams()
	running := p.runningByWorkload()
	jobs := p.waitingJobs(teams)
	for !p.full() {
		i := queueing.Next(jobs, func(w *waitingJob) *queueing.Entry { return &w.entry },
			func(w *waitingJob) bool { return w.passed }, p.now, capacity)
		if i < 0 {
			return
		}
		p.placeNext(&jobs[i], running)
	}
}

func (p *planner) capacity() resource.Vector {
	var total resource.Vector
	for _, w := range p.workers {
		total = total.Add(w.capacity)
	}
	return total
}

// teams returns what each team uses in the cell, by the dominant share of which they are served.
func (p *planner) teams() map[string]*queueing.Team {
	teams := make(map[string]*queueing.Team)
	for _, r := range p.table.Rows() {
		if r.Kind() == table.Team {
			teams[r.Workload()] = queueing.NewTeam(resource.Vector{}, p.share.Quota(r.Size()), r.Weight())
		}
	}
	for _, r := range p.table.Rows() {
		if _, ok := teams[r.Team()]; !ok {
			teams[r.Team()] = queueing.NewTeam(resource.Vector{}, resource.Vector{}, 1)
		}
	}
	for _, t := range p.tasks {
		if r, ok := p.table.Row(t.Workload()); ok && t.IsPlaced() && !t.IsService() {
			teams[r.Team()].Allocate(t.Size())
		}
	}
	return teams
}

func (p *planner) runningByWorkload() map[string]int {
	running := make(map[string]int)
	for _, t := range p.tasks {
		if t.IsPlaced() && !t.IsService() {
			running[t.Workload()]++
		}
	}
	return running
}

func (p *planner) waitingJobs(teams map[string]*queueing.Team) []waitingJob {
	resume := make(map[string][]cell.Task)
	for _, t := range p.tasks {
		if !t.IsService() && !t.IsPlaced() && !p.now.Before(p.notBefore[t.ID()]) {
			resume[t.ID().Job()] = append(resume[t.ID().Job()], t)
		}
	}
	var jobs []waitingJob
	for _, j := range p.document.Jobs() {
		r, ok := p.table.Row(j.Workload())
		if !ok || r.Kind() != table.Batch || j.State() == cell.JobCanceled {
			continue
		}
		if j.Unstarted() == 0 && len(resume[j.ID()]) == 0 {
			continue
		}
		jobs = append(jobs, p.waitingJob(j, r, teams[r.Team()], resume[j.ID()]))
	}
	return jobs
}

func (p *planner) waitingJob(j cell.Job, r table.Row, team *queueing.Team, resume []cell.Task) waitingJob {
	w := waitingJob{job: j, row: r, size: p.Size(r), resume: resume, next: j.Tasks() - j.Unstarted()}
	if p.options.NoFairness {
		team = queueing.NewTeam(resource.Vector{}, resource.Vector{}, 1)
	}
	runtime := r.Runtime()
	if e, ok := p.estimates[r.Workload()]; ok {
		runtime = e.Runtime(runtime)
	}
	rounds := (j.Unstarted() + len(resume) + r.Concurrency() - 1) / r.Concurrency()
	work := time.Duration(rounds) * runtime
	w.entry = queueing.NewEntry(team, r.IsUrgent(), r.Weight(), j.Submitted(), j.Submitted().Add(r.Deadline()), work)
	return w
}

// placeNext places one task of a job, or passes the job over for the rest of the plan.
func (p *planner) placeNext(w *waitingJob, running map[string]int) {
	id, ok := w.nextTask()
	if !ok {
		w.passed = true
		return
	}
	if running[w.row.Workload()] >= w.row.Concurrency() {
		p.pass(w, Waiting{limit: true})
		return
	}
	if !w.entry.Team().Allows(w.size) {
		p.pass(w, Waiting{quota: true})
		return
	}
	p.setHarm(w.row, w.size)
	verdict := placement.Choose(placement.NewRequest(w.size, false), p.nodes, p.weights)
	if verdict.Index() < 0 || !p.assign(id, verdict.Index(), w.size) {
		p.pass(w, Waiting{reason: verdict.MainReason(), never: !FitsEmptyWorker(w.size, p.workers)})
		p.reserve(w)
		return
	}
	p.addHarm(verdict.Index(), w.row.Workload(), w.size)
	running[w.row.Workload()]++
	w.entry.Team().Allocate(w.size)
	w.took()
}

func (p *planner) pass(w *waitingJob, why Waiting) {
	w.passed = true
	p.plan.waiting[w.job.ID()] = why
}

func (w *waitingJob) nextTask() (task.ID, bool) {
	if len(w.resume) > 0 {
		return w.resume[0].ID(), true
	}
	if w.next < w.job.Tasks() {
		return task.NewID(w.job.ID(), w.next), true
	}
	return task.ID{}, false
}

func (w *waitingJob) took() {
	if len(w.resume) > 0 {
		w.resume = w.resume[1:]
		return
	}
	w.next++
}

// buildHarms works out what the batch tasks of each worker are believed to slow its services by.
func (p *planner) buildHarms() {
	p.harms = make([]map[string]float64, len(p.workers))
	for i := range p.workers {
		p.harms[i] = make(map[string]float64)
	}
	for _, t := range p.tasks {
		if i, ok := p.places[t.Instance()]; ok && t.IsPlaced() && !t.IsService() {
			p.addHarm(i, t.Workload(), t.Size())
		}
	}
}

func (p *planner) addHarm(node int, workload string, size resource.Vector) {
	w := p.workers[node]
	for service, band := range w.bands {
		p.harms[node][service] += p.model.MeanSlowdown(service, workload, band, p.now) * shareOf(size, w.capacity)
	}
}

// setHarm tells each node how much its services would be slowed in all, with the task by an upper bound.
func (p *planner) setHarm(r table.Row, size resource.Vector) {
	for i, w := range p.workers {
		harm := 0.0
		for service, band := range w.bands {
			if !p.options.NoInterference {
				more := p.model.SlowdownBound(service, r.Workload(), band, shareOf(size, w.capacity), p.now)
				harm = max(harm, p.harms[i][service]+more)
			}
		}
		p.nodes[i].SetInterference(harm / w.bears)
	}
}

func shareOf(size, capacity resource.Vector) float64 {
	return float64(size.Processors()) / float64(max(capacity.Processors(), 1))
}

// reserve keeps the node with the most room free for a task that has waited too long.
func (p *planner) reserve(w *waitingJob) {
	if !w.entry.Starved(p.now) {
		return
	}
	best, room := -1, 0.0
	for i, n := range p.workers {
		if n.closed != placement.Chosen || n.pressed || !w.size.Fits(n.capacity) {
			continue
		}
		free := p.nodes[i].Free()
		if share := free.DominantShare(n.capacity); best < 0 || share > room {
			best, room = i, share
		}
	}
	if best >= 0 {
		p.nodes[best].Close(placement.WorkerReserved)
	}
}
