package decision

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/saffronpulley/saffronpulley/internal/admission"
	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/probation"
	"github.com/saffronpulley/saffronpulley/internal/remedy"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

var workerProbation = probation.Policy{Failures: 3, Wait: 10 * time.Second}

// decide measures each worker, applies the remedies, plans, and brings the fake workers to the plan.
func (s *sim) decide(second int) {
	for _, w := range s.workers {
		if !w.lost {
			s.measure(w, second)
		}
	}
	workers := s.snapshotWorkers()
	snapshot := scheduling.NewSnapshot(s.clock(), s.rows, workers, scheduling.FullShare()).
		WithEstimates(s.sizes).WithModel(s.model).WithNotBefore(s.before).WithOptions(s.column.options)
	if s.column.placer == planned {
		plan := scheduling.Make(s.document, snapshot)
		for _, run := range plan.Evict() {
			s.evict(run)
		}
	} else {
		s.planSimply(snapshot, workers)
	}
	s.apply()
}

// snapshotWorkers describes the workers as a lead would.
func (s *sim) snapshotWorkers() []scheduling.Worker {
	workers := make([]scheduling.Worker, 0, len(s.workers))
	for _, w := range s.workers {
		described := scheduling.NewWorker(w.instance(), s.capacityOf(w), 1+w.number/3).WithBatchBlocked(w.remedy.BlocksBatch()).WithTolerance(remedy.DefaultPolicy().Tolerance(w.ratio))
		if w.replica != nil {
			described = described.WithBands(map[string]interference.Band{s.day.Service.Name: w.band})
		}
		switch {
		case w.lost:
			described = described.WithClosed(placement.WorkerLeaving)
		case !s.column.noProbation && !workerProbation.Allows(&w.health, s.clock()):
			described = described.WithClosed(placement.WorkerProbation)
		}
		workers = append(workers, described)
	}
	return workers
}

const fewSamples = 5

// measure looks at the latency of a worker's replica and applies the remedies there, as an agent does.
func (s *sim) measure(w *fakeWorker, second int) {
	if w.replica == nil {
		return
	}
	r := w.replica
	neighbors := s.neighbors(w)
	if n := r.window.TotalCount(); n >= fewSamples {
		w.ratio = float64(r.window.ValueAtQuantile(99)) / (s.day.Service.TargetMs * 1000)
		w.band = interference.BandOf(r.busy / float64(max(r.offers, 1)))
		mean := r.ran / time.Duration(n)
		w.slowdown = w.model.Observe(s.day.Service.Name, w.band, neighbors, mean, n, s.clock())
		s.observe(w.band, neighbors, mean, n, second)
	}
	r.window.Reset()
	r.busy, r.offers, r.ran = 0, 0, 0
	in := remedy.Input{Now: s.clock(), LatencyRatio: w.ratio, Slowdown: w.slowdown, Loads: s.loads(w)}
	evicts := remedy.DefaultPolicy().Step(&w.remedy, in)
	switch {
	case s.column.evictBreach && w.ratio >= 1:
		s.evictOne(w, false)
	case evicts && !s.column.noEvict && !s.column.evictBreach:
		s.evictOne(w, true)
	}
}

// loads are the batch workloads on a worker with what they are believed to harm at full speed.
func (s *sim) loads(w *fakeWorker) []remedy.Load {
	shares := s.shares(w, false)
	loads := make([]remedy.Load, 0, len(shares))
	for _, n := range shares {
		harm := w.model.MeanSlowdown(s.day.Service.Name, n.Workload(), w.band, s.clock()) * n.Share()
		loads = append(loads, remedy.NewLoad(n.Workload(), harm, s.load[n.Workload()].Weight))
	}
	return loads
}

// observe sends what was measured on its late way to the cell's model.
func (s *sim) observe(band interference.Band, neighbors []interference.Neighbor, mean time.Duration, n int64, second int) {
	service, at := s.day.Service.Name, s.clock()
	s.reports = append(s.reports, lateReport{arrives: s.now + s.day.lag(second), take: func() {
		s.model.Observe(service, band, neighbors, mean, n, at)
	}})
}

func (s *sim) neighbors(w *fakeWorker) []interference.Neighbor { return s.shares(w, true) }

// shares are the shares of the processors that the workloads on a worker were given, throttled or at full speed.
func (s *sim) shares(w *fakeWorker, throttled bool) []interference.Neighbor {
	shares := make(map[string]float64)
	for _, r := range w.runs {
		share := float64(r.size.Processors()) / float64(s.day.Processors*1000)
		if throttled {
			share *= float64(s.throttle(w, r)) / remedy.Unthrottled
		}
		shares[r.load.Name] += share
	}
	names := slices.Sorted(maps.Keys(shares))
	neighbors := make([]interference.Neighbor, 0, len(names))
	for _, name := range names {
		neighbors = append(neighbors, interference.NewNeighbor(name, shares[name]))
	}
	return neighbors
}

// evictOne checkpoints a task: with a budget the evictable one of least weight, else any.
func (s *sim) evictOne(w *fakeWorker, budgeted bool) {
	best, found, weight := cell.Task{}, false, 0
	for _, t := range s.document.PlacedOn(w.instance()) {
		if t.IsService() || (budgeted && !scheduling.Evictable(t, s.rows)) {
			continue
		}
		if _, runs := w.runs[t.Run()]; !runs {
			continue
		}
		if of := s.load[t.Workload()].Weight; !found || of < weight {
			best, found, weight = t, true, of
		}
	}
	if found {
		s.endRun(w, best.Run(), task.Checkpointed)
	}
}

func (s *sim) evict(run task.Run) {
	for _, w := range s.workers {
		if _, ok := w.runs[run]; ok {
			s.endRun(w, run, task.Checkpointed)
			return
		}
	}
}

// apply brings the fake workers to what the document says, as agents would.
func (s *sim) apply() {
	for _, w := range s.workers {
		if w.lost {
			continue
		}
		for _, t := range s.document.PlacedOn(w.instance()) {
			s.start(w, t)
		}
		for _, run := range w.ordered() {
			if t, ok := s.document.Task(run.ID()); !ok || t.Run() != run || s.isCanceled(run) {
				s.endRun(w, run, task.Stopped)
			}
		}
	}
}

func (s *sim) isCanceled(run task.Run) bool {
	j, ok := s.document.Job(run.ID().Job())
	return ok && j.State() == cell.JobCanceled
}

func (s *sim) start(w *fakeWorker, t cell.Task) {
	if t.IsService() {
		s.startReplica(w)
		return
	}
	if _, ok := w.runs[t.Run()]; ok {
		return
	}
	progress, _ := strconv.ParseFloat(t.Checkpoint(), 64)
	load := s.load[t.Workload()]
	if t.Checkpoint() != "" {
		progress -= restore / float64(load.RuntimeS)
	}
	w.runs[t.Run()] = &fakeRun{load: load, size: t.Size(), progress: progress, started: s.now}
	workerProbation.StartTrial(&w.health)
}

func (s *sim) startReplica(w *fakeWorker) {
	if w.replica != nil {
		return
	}
	v := s.day.Service
	queue := v.Queue
	if s.column.noAdmission {
		queue = 1 << 30
	}
	w.replica = &fakeReplica{
		worker: w, limiter: admission.NewLimiter(v.Slots, queue, time.Duration(v.TargetMs*float64(time.Millisecond))),
		window: hdrhistogram.New(1, 60_000_000, 2),
	}
	s.replicas = append(s.replicas, w.replica)
}

// planSimply places services like ours, and batch tasks in their order by a simple rule on declared sizes.
func (s *sim) planSimply(snapshot scheduling.Snapshot, workers []scheduling.Worker) {
	services := snapshot.WithOptions(scheduling.Options{ServicesOnly: true})
	scheduling.Make(s.document, services)
	free := s.freeByWorker(workers)
	for _, j := range s.document.Jobs() {
		if j.State() == cell.JobCanceled {
			continue
		}
		size := snapshot.Size(s.row(j.Workload()))
		for _, id := range s.waitingTasks(j) {
			i := s.pickSimply(workers, free, size)
			if i < 0 {
				break
			}
			if _, err := s.document.Assign(id, workers[i].Instance(), size); err == nil {
				free[i] = free[i].Sub(size)
			}
		}
	}
}

func (s *sim) freeByWorker(workers []scheduling.Worker) []resource.Vector {
	free := make([]resource.Vector, len(workers))
	for i, w := range workers {
		free[i] = w.Capacity()
		for _, t := range s.document.PlacedOn(w.Instance()) {
			free[i] = free[i].Sub(t.Size())
		}
	}
	return free
}

func (s *sim) waitingTasks(j cell.Job) []task.ID {
	var ids []task.ID
	for _, t := range s.document.Tasks() {
		if t.ID().Job() == j.ID() && !t.IsPlaced() && !s.clock().Before(s.before[t.ID()]) {
			ids = append(ids, t.ID())
		}
	}
	for i := j.Tasks() - j.Unstarted(); i < j.Tasks(); i++ {
		ids = append(ids, task.NewID(j.ID(), i))
	}
	return ids
}

// pickSimply takes the first worker with room, or the one with the most; without colocation only those without a replica.
func (s *sim) pickSimply(workers []scheduling.Worker, free []resource.Vector, size resource.Vector) int {
	best := -1
	for i := range workers {
		w := s.workers[i]
		if w.lost || !size.Fits(free[i]) || (s.column.separate && w.replica != nil) {
			continue
		}
		if s.column.placer == firstFit {
			return i
		}
		if best < 0 || free[i].Processors() > free[best].Processors() {
			best = i
		}
	}
	return best
}
