package decision

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/sizing"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// restoreSeconds is the work in seconds that a task repeats when it resumes from a checkpoint.
const restoreSeconds = 3.0

// delayedReport is a usage or latency report that has not arrived yet.
type delayedReport struct {
	arrivesAt time.Duration
	apply     func()
}

func (s *sim) submit(second int) {
	if s.variant.noBatch {
		return
	}
	for _, j := range s.day.Jobs {
		repeats := j.Every > 0 && second > j.At && second <= j.Until && (second-j.At)%j.Every == 0
		if second == j.At || repeats {
			s.addJob(j.Workload, j.Tasks)
		}
	}
	for _, c := range s.day.Cancel {
		if second != c.At {
			continue
		}
		for range c.Jobs {
			_ = s.document.Cancel(s.addJob(c.Workload, 1))
		}
	}
}

func (s *sim) addJob(workload string, tasks int) string {
	s.nextID++
	id := "job-" + strconv.Itoa(1_000_000+s.nextID)
	s.document.Submit(cell.NewJob(id, workload, "", tasks, s.clock()))
	return id
}

func (s *sim) loseWorkers(second int) {
	for _, w := range s.workers {
		if w.lost || !isAffected(s.day.Lost, w.number, second) {
			continue
		}
		w.lost = true
		for _, r := range w.runs {
			s.result.workLost += r.progress * float64(r.workload.RuntimeS)
		}
		w.runs = make(map[task.Run]*fakeRun)
		s.document.LoseInstance(w.instance())
		s.dropReplica(w)
	}
}

func (s *sim) dropReplica(w *fakeWorker) {
	if w.replica == nil {
		return
	}
	for i, r := range s.replicas {
		if r == w.replica {
			s.replicas = append(s.replicas[:i], s.replicas[i+1:]...)
			break
		}
	}
	s.result.refused += len(w.replica.queue)
	w.replica.queue = nil
	w.replica = nil
}

func (w *fakeWorker) instance() string { return "vm-" + strconv.Itoa(100+w.number) }

// progress advances the runs by a second and ends those that are done.
func (s *sim) progress(second int) {
	for _, w := range s.workers {
		s.checkCommitment(w)
		if second%5 == 0 {
			s.reportUsage(w, second)
		}
		s.killForMemory(w)
		for _, run := range w.sortedRuns() {
			r := w.runs[run]
			if isAffected(s.day.Failing, w.number, second) {
				s.endRun(w, run, task.Failed)
				continue
			}
			contention := w.contention(s)
			r.progress += float64(s.throttle(w, r)) / 100 / contention / float64(r.workload.RuntimeS)
			if r.progress >= 1 {
				s.result.workDone += float64(r.workload.Processors) * float64(r.workload.RuntimeS)
				s.endRun(w, run, task.Finished)
			}
		}
	}
}

// sortedRuns returns the runs of the worker in a fixed order, so that a seed reproduces its results.
func (w *fakeWorker) sortedRuns() []task.Run {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b task.Run) int {
		return cmp.Or(strings.Compare(a.ID().Job(), b.ID().Job()), cmp.Compare(a.ID().Index(), b.ID().Index()))
	})
}

// killForMemory fails the youngest tasks while the tasks use more memory than the VM has, as the VM's kernel does.
func (s *sim) killForMemory(w *fakeWorker) {
	used := float64(s.day.Service.Memory)
	for _, r := range w.runs {
		used += float64(r.workload.Memory) * r.workload.MemoryFactor
	}
	runs := w.sortedRuns()
	slices.SortStableFunc(runs, func(a, b task.Run) int { return cmp.Compare(w.runs[b].startedAt, w.runs[a].startedAt) })
	for _, run := range runs {
		if used <= float64(s.day.Memory) {
			return
		}
		r := w.runs[run]
		used -= float64(r.workload.Memory) * r.workload.MemoryFactor
		s.result.workLost += r.progress * float64(r.workload.RuntimeS)
		s.endRun(w, run, task.Failed)
	}
}

// contention returns the factor by which tasks run slower when they use more processors than the VM has.
func (w *fakeWorker) contention(s *sim) float64 {
	used := 0.0
	for _, r := range w.runs {
		used += float64(r.workload.Processors) * r.workload.CPUFactor * float64(s.throttle(w, r)) / 100
	}
	if w.replica != nil {
		used += float64(s.day.Service.Processors)
	}
	return max(used/float64(s.day.Processors), 1)
}

// checkCommitment counts an overcommitment of a worker.
func (s *sim) checkCommitment(w *fakeWorker) {
	var used resource.Vector
	for _, r := range w.runs {
		used = used.Add(r.size)
	}
	if w.replica != nil {
		used = used.Add(resource.New(s.day.Service.Processors*1000, s.day.Service.Memory, 0))
	}
	if !used.Fits(s.capacityOf(w)) {
		s.result.overcommitted++
	}
}

func (s *sim) capacityOf(w *fakeWorker) resource.Vector {
	accelerators := int64(0)
	if w.number < s.day.Accelerated {
		accelerators = s.day.Accelerators
	}
	return resource.New(s.day.Processors*1000, s.day.Memory, accelerators)
}

// endRun ends a run and updates the document, as a report of an agent does.
func (s *sim) endRun(w *fakeWorker, run task.Run, state task.State) {
	r := w.runs[run]
	delete(w.runs, run)
	previous, _ := s.document.Task(run.ID())
	checkpoint := ""
	if state == task.Checkpointed {
		checkpoint = strconv.FormatFloat(r.progress, 'f', 6, 64)
		s.result.evictions++
		s.result.workLost += restoreSeconds
	}
	if !s.document.Report(cell.NewReport(run, state, checkpoint), 5) {
		return
	}
	switch state {
	case task.Finished:
		s.estimate(r.workload.Name).ObserveRuntime(s.now - r.startedAt)
		workerProbation.Succeed(&w.health)
	case task.Failed:
		s.result.failures++
		s.notBefore[run.ID()] = s.clock().Add(time.Second)
		if previous.Failures() == 0 {
			workerProbation.Fail(&w.health, s.clock())
		}
	}
}

func (s *sim) estimate(workload string) *sizing.Estimate {
	e, ok := s.sizes[workload]
	if !ok {
		e = &sizing.Estimate{}
		s.sizes[workload] = e
	}
	return e
}

// reportUsage sends the usage of a worker's runs, which arrives after the current report delay.
func (s *sim) reportUsage(w *fakeWorker, second int) {
	for _, run := range w.sortedRuns() {
		r := w.runs[run]
		use := r.workload.CPUFactor * (0.9 + 0.2*s.random.Float64())
		used := resource.New(int64(float64(r.workload.Processors)*1000*use), int64(float64(r.workload.Memory)*r.workload.MemoryFactor), 0)
		workload := r.workload.Name
		s.reports = append(s.reports, delayedReport{
			arrivesAt: s.now + s.day.lag(second), apply: func() { s.estimate(workload).Observe(used) },
		})
	}
}

func (s *sim) applyReports() {
	pending := s.reports[:0]
	for _, r := range s.reports {
		if r.arrivesAt <= s.now {
			r.apply()
			continue
		}
		pending = append(pending, r)
	}
	s.reports = pending
}
