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

// schedule measures each worker, applies the remedies, makes a plan and applies it to the fake workers.
func (s *sim) schedule(second int) {
	for _, w := range s.workers {
		if !w.lost {
			s.measure(w, second)
		}
	}
	workers := s.snapshotWorkers()
	snapshot := scheduling.NewSnapshot(s.clock(), s.rows, workers, scheduling.FullShare()).
		WithEstimates(s.sizes).WithModel(s.model).WithNotBefore(s.notBefore).WithOptions(s.variant.options)
	if s.variant.placer == scheduler {
		plan := scheduling.Make(s.document, snapshot)
		for _, run := range plan.Evict() {
			s.evict(run)
		}
	} else {
		s.planBaseline(snapshot, workers)
	}
	s.apply()
}

// snapshotWorkers describes the workers as a leader does.
func (s *sim) snapshotWorkers() []scheduling.Worker {
	workers := make([]scheduling.Worker, 0, len(s.workers))
	for _, w := range s.workers {
		worker := scheduling.NewWorker(w.instance(), s.capacityOf(w), 1+w.number/3).WithBatchBlocked(w.remedy.BlocksBatch()).WithTolerance(remedy.DefaultPolicy().Tolerance(w.ratio))
		if w.replica != nil {
			worker = worker.WithBands(map[string]interference.Band{s.day.Service.Name: w.band})
		}
		switch {
		case w.lost:
			worker = worker.WithClosed(placement.WorkerLeaving)
		case !s.variant.noProbation && !workerProbation.Allows(&w.health, s.clock()):
			worker = worker.WithClosed(placement.WorkerProbation)
		}
		workers = append(workers, worker)
	}
	return workers
}

const minSamples = 5

// measure reads the latency of a worker's replica and applies the remedies there, as an agent does.
func (s *sim) measure(w *fakeWorker, second int) {
	if w.replica == nil {
		return
	}
	r := w.replica
	neighbors := s.neighbors(w)
	if n := r.window.TotalCount(); n >= minSamples {
		w.ratio = float64(r.window.ValueAtQuantile(99)) / (s.day.Service.TargetMs * 1000)
		w.band = interference.BandOf(r.loadSum / float64(max(r.offered, 1)))
		mean := r.totalRuntime / time.Duration(n)
		w.slowdown = w.model.Observe(s.day.Service.Name, w.band, neighbors, mean, n, s.clock())
		s.reportLatency(w.band, neighbors, mean, n, second)
	}
	r.window.Reset()
	r.loadSum, r.offered, r.totalRuntime = 0, 0, 0
	in := remedy.Input{Now: s.clock(), LatencyRatio: w.ratio, Slowdown: w.slowdown, Loads: s.loads(w)}
	evicts := remedy.DefaultPolicy().Step(&w.remedy, in)
	switch {
	case s.variant.evictOnViolation && w.ratio >= 1:
		s.evictOne(w, false)
	case evicts && !s.variant.noEvict && !s.variant.evictOnViolation:
		s.evictOne(w, true)
	}
}

// loads returns the batch workloads on a worker with the slowdown that the worker's model attributes to each at full speed.
func (s *sim) loads(w *fakeWorker) []remedy.Load {
	shares := s.shares(w, false)
	loads := make([]remedy.Load, 0, len(shares))
	for _, n := range shares {
		slowdown := w.model.MeanSlowdown(s.day.Service.Name, n.Workload(), w.band, s.clock()) * n.Share()
		loads = append(loads, remedy.NewLoad(n.Workload(), slowdown, s.workloads[n.Workload()].Weight))
	}
	return loads
}

// reportLatency sends a latency measurement to the cell's model, where it arrives after the current report delay.
func (s *sim) reportLatency(band interference.Band, neighbors []interference.Neighbor, mean time.Duration, n int64, second int) {
	service, at := s.day.Service.Name, s.clock()
	s.reports = append(s.reports, delayedReport{arrivesAt: s.now + s.day.lag(second), apply: func() {
		s.model.Observe(service, band, neighbors, mean, n, at)
	}})
}

func (s *sim) neighbors(w *fakeWorker) []interference.Neighbor { return s.shares(w, true) }

// shares returns the share of the processors reserved by each workload on a worker, reduced by throttling if throttled is
// set.
func (s *sim) shares(w *fakeWorker, throttled bool) []interference.Neighbor {
	shares := make(map[string]float64)
	for _, r := range w.runs {
		share := float64(r.size.Processors()) / float64(s.day.Processors*1000)
		if throttled {
			share *= float64(s.throttle(w, r)) / remedy.Unthrottled
		}
		shares[r.workload.Name] += share
	}
	names := slices.Sorted(maps.Keys(shares))
	neighbors := make([]interference.Neighbor, 0, len(names))
	for _, name := range names {
		neighbors = append(neighbors, interference.NewNeighbor(name, shares[name]))
	}
	return neighbors
}

// evictOne checkpoints the batch task of the lowest weight; if budgeted is set, only among the evictable tasks.
func (s *sim) evictOne(w *fakeWorker, budgeted bool) {
	best, found, weight := cell.Task{}, false, 0
	for _, t := range s.document.PlacedOn(w.instance()) {
		if t.IsService() || (budgeted && !scheduling.Evictable(t, s.rows)) {
			continue
		}
		if _, running := w.runs[t.Run()]; !running {
			continue
		}
		if candidate := s.workloads[t.Workload()].Weight; !found || candidate < weight {
			best, found, weight = t, true, candidate
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

// apply starts and ends runs on the fake workers to match the document, as agents do.
func (s *sim) apply() {
	for _, w := range s.workers {
		if w.lost {
			continue
		}
		for _, t := range s.document.PlacedOn(w.instance()) {
			s.start(w, t)
		}
		for _, run := range w.sortedRuns() {
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
	load := s.workloads[t.Workload()]
	if t.Checkpoint() != "" {
		progress -= restoreSeconds / float64(load.RuntimeS)
	}
	w.runs[t.Run()] = &fakeRun{workload: load, size: t.Size(), progress: progress, startedAt: s.now}
	workerProbation.StartTrial(&w.health)
}

func (s *sim) startReplica(w *fakeWorker) {
	if w.replica != nil {
		return
	}
	v := s.day.Service
	queue := v.Queue
	if s.variant.noAdmission {
		queue = 1 << 30
	}
	w.replica = &fakeReplica{
		worker: w, limiter: admission.NewLimiter(v.Slots, queue, time.Duration(v.TargetMs*float64(time.Millisecond))),
		window: hdrhistogram.New(1, 60_000_000, 2),
	}
	s.replicas = append(s.replicas, w.replica)
}

// planBaseline places services with the scheduler, and batch tasks in job order by a simple rule on declared sizes.
func (s *sim) planBaseline(snapshot scheduling.Snapshot, workers []scheduling.Worker) {
	services := snapshot.WithOptions(scheduling.Options{ServicesOnly: true})
	scheduling.Make(s.document, services)
	free := s.freeByWorker(workers)
	for _, j := range s.document.Jobs() {
		if j.State() == cell.JobCanceled {
			continue
		}
		size := snapshot.Size(s.row(j.Workload()))
		for _, id := range s.waitingTasks(j) {
			i := s.pickBaseline(workers, free, size)
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
		if t.ID().Job() == j.ID() && !t.IsPlaced() && !s.clock().Before(s.notBefore[t.ID()]) {
			ids = append(ids, t.ID())
		}
	}
	for i := j.Tasks() - j.Unstarted(); i < j.Tasks(); i++ {
		ids = append(ids, task.NewID(j.ID(), i))
	}
	return ids
}

// pickBaseline returns the first fitting worker or the one with the most free processors, -1 if none fits. A dedicated
// variant excludes workers with a replica.
func (s *sim) pickBaseline(workers []scheduling.Worker, free []resource.Vector, size resource.Vector) int {
	best := -1
	for i := range workers {
		w := s.workers[i]
		if w.lost || !size.Fits(free[i]) || (s.variant.dedicated && w.replica != nil) {
			continue
		}
		if s.variant.placer == firstFit {
			return i
		}
		if best < 0 || free[i].Processors() > free[best].Processors() {
			best = i
		}
	}
	return best
}
