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
	job     cell.Job
	row     table.Row
	size    resource.Vector
	entry   queueing.Entry
	resume  []cell.Task
	next    int
	skipped bool
}

func (p *planner) placeBatch() {
	capacity := p.capacity()
	teams := p.teams()
	running := p.runningByWorkload()
	jobs := p.waitingJobs(teams)
	for !p.full() {
		i := queueing.Next(jobs, func(w *waitingJob) *queueing.Entry { return &w.entry },
			func(w *waitingJob) bool { return w.skipped }, p.now, capacity)
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

// teams returns the usage, quota and weight of each team in the cell, by team.
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

// placeNext places one task of a job, or skips the job for the rest of the plan.
func (p *planner) placeNext(w *waitingJob, running map[string]int) {
	id, ok := w.nextTask()
	if !ok {
		w.skipped = true
		return
	}
	if running[w.row.Workload()] >= w.row.Concurrency() {
		p.skip(w, Waiting{limit: true})
		return
	}
	if !w.entry.Team().Allows(w.size) {
		p.skip(w, Waiting{quota: true})
		return
	}
	p.setInterference(w.row, w.size)
	result := placement.Choose(placement.NewRequest(w.size, false), p.candidates, p.weights)
	if result.Index() < 0 || !p.assign(id, result.Index(), w.size) {
		p.skip(w, Waiting{reason: result.MainReason(), tooLarge: !FitsEmptyWorker(w.size, p.workers)})
		p.reserve(w)
		return
	}
	p.addSlowdown(result.Index(), w.row.Workload(), w.size)
	running[w.row.Workload()]++
	w.entry.Team().Allocate(w.size)
	w.advance()
}

func (p *planner) skip(w *waitingJob, reason Waiting) {
	w.skipped = true
	p.plan.waiting[w.job.ID()] = reason
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

func (w *waitingJob) advance() {
	if len(w.resume) > 0 {
		w.resume = w.resume[1:]
		return
	}
	w.next++
}

// buildSlowdowns computes the expected slowdown of the services on each worker by its batch tasks.
func (p *planner) buildSlowdowns() {
	p.slowdowns = make([]map[string]float64, len(p.workers))
	for i := range p.workers {
		p.slowdowns[i] = make(map[string]float64)
	}
	for _, t := range p.tasks {
		if i, ok := p.workerIndex[t.Instance()]; ok && t.IsPlaced() && !t.IsService() {
			p.addSlowdown(i, t.Workload(), t.Size())
		}
	}
}

func (p *planner) addSlowdown(worker int, workload string, size resource.Vector) {
	w := p.workers[worker]
	for service, band := range w.bands {
		p.slowdowns[worker][service] += p.model.MeanSlowdown(service, workload, band, p.now) * shareOf(size, w.capacity)
	}
}

// setInterference sets on each candidate the slowdown of its most affected service relative to the tolerance, with an
// upper bound for the part of the task.
func (p *planner) setInterference(r table.Row, size resource.Vector) {
	for i, w := range p.workers {
		slowdown := 0.0
		for service, band := range w.bands {
			if !p.options.NoInterference {
				added := p.model.SlowdownBound(service, r.Workload(), band, shareOf(size, w.capacity), p.now)
				slowdown = max(slowdown, p.slowdowns[i][service]+added)
			}
		}
		p.candidates[i].SetInterference(slowdown / w.tolerance)
	}
}

func shareOf(size, capacity resource.Vector) float64 {
	return float64(size.Processors()) / float64(max(capacity.Processors(), 1))
}

// reserve closes the worker with the most free capacity to other tasks, if the task is urgent or has waited too long.
func (p *planner) reserve(w *waitingJob) {
	if !w.entry.Starved(p.now) {
		return
	}
	best, freeShare := -1, 0.0
	for i, worker := range p.workers {
		if worker.closed != placement.Chosen || worker.batchBlocked || !w.size.Fits(worker.capacity) {
			continue
		}
		free := p.candidates[i].Free()
		if share := free.DominantShare(worker.capacity); best < 0 || share > freeShare {
			best, freeShare = i, share
		}
	}
	if best >= 0 {
		p.candidates[best].Close(placement.WorkerReserved)
	}
}
