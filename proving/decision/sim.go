package decision

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/saffronpulley/saffronpulley/internal/admission"
	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/probation"
	"github.com/saffronpulley/saffronpulley/internal/remedy"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/routing"
	"github.com/saffronpulley/saffronpulley/internal/sizing"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// sim is the simulation of one day under one variant.
type sim struct {
	day       *Day
	variant   Variant
	random    *rand.Rand
	dayStart  time.Time
	now       time.Duration
	rows      table.Table
	document  *cell.Document
	workers   []*fakeWorker
	replicas  []*fakeReplica
	events    requestHeap
	reports   []delayedReport
	model     *interference.Model
	sizes     map[string]*sizing.Estimate
	notBefore map[task.ID]time.Time
	workloads map[string]*BatchLoad
	result    Result
	window    *hdrhistogram.Histogram
	nextID    int
	jobs      map[string]time.Duration
}

// fakeWorker is a worker with its actual runs.
type fakeWorker struct {
	number       int
	lost         bool
	runs         map[task.Run]*fakeRun
	remedy       remedy.State
	model        *interference.Model
	health       probation.Record
	replica      *fakeReplica
	trueSlowdown float64
	ratio        float64
	slowdown     float64
	band         interference.Band
}

type fakeRun struct {
	workload  *BatchLoad
	size      resource.Vector
	progress  float64
	startedAt time.Duration
}

// fakeReplica is the replica of the service on a worker.
type fakeReplica struct {
	worker       *fakeWorker
	limiter      *admission.Limiter
	queue        []request
	window       *hdrhistogram.Histogram
	loadSum      float64
	offered      int
	totalRuntime time.Duration
}

type request struct {
	arrivedAt time.Duration
	replica   *fakeReplica
	startedAt time.Duration
	endsAt    time.Duration
}

// requestHeap orders running requests by their ends.
type requestHeap []request

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }

// Swap implements heap.Interface.
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) { *h = append(*h, x.(request)) }

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Run simulates a day under a variant with a seed.
func Run(day *Day, variant Variant, seed uint64) (Result, error) {
	s := &sim{
		day: day, variant: variant, random: rand.New(rand.NewPCG(seed, 1)), dayStart: time.Unix(1_700_000_000, 0),
		document: cell.New(), model: interference.New(), sizes: make(map[string]*sizing.Estimate),
		notBefore: make(map[task.ID]time.Time), workloads: make(map[string]*BatchLoad), jobs: make(map[string]time.Duration),
		window: hdrhistogram.New(1, 60_000_000, 3),
	}
	rows, err := s.buildTable()
	if err != nil {
		return Result{}, err
	}
	s.rows = rows
	for i := range day.Workers {
		s.workers = append(s.workers, &fakeWorker{number: i, runs: make(map[task.Run]*fakeRun), model: interference.New(), trueSlowdown: 1})
	}
	for second := range day.Seconds {
		s.runSecond(second)
	}
	s.summarize()
	return s.result, nil
}

func (s *sim) buildTable() (table.Table, error) {
	text := "workload,kind,team,weight,processors,memory_mb,replicas,target_ms,runtime_s,evictions,deadline_min,urgent,concurrency,accelerators\n"
	v := s.day.Service
	text += fmt.Sprintf("%s,service,%s,100,%d,%d,%d,%d,,,,,8,0\n", v.Name, s.day.Name, v.Processors, v.Memory, s.serviceWorkers(), int(v.TargetMs))
	for i := range s.day.Batch {
		b := &s.day.Batch[i]
		s.workloads[b.Name] = b
		text += fmt.Sprintf("%s,batch,%s,%d,%d,%d,,,%d,%d,%d,no,4096,%d\n", b.Name, b.Team, b.Weight, b.Processors, b.Memory, b.RuntimeS, b.Evictions, b.DeadlineM, b.Accelerators)
	}
	rows, err := table.Parse([]byte(text))
	if err != nil {
		return table.Table{}, err
	}
	return table.Table{}.Apply(table.NewEdit(0, rows, "bench", "bench"), s.dayStart)
}

// serviceWorkers returns how many workers the service runs on.
func (s *sim) serviceWorkers() int {
	if s.variant.dedicated {
		return s.day.Reserved
	}
	return s.day.Workers
}

func (s *sim) clock() time.Time { return s.dayStart.Add(s.now) }

// runSecond simulates one second: the decisions first, then the requests.
func (s *sim) runSecond(second int) {
	s.now = time.Duration(second) * time.Second
	s.loseWorkers(second)
	s.submit(second)
	s.progress(second)
	s.applyReports()
	s.schedule(second)
	s.updateSlowdowns(second)
	s.runRequests(second)
}

// updateSlowdowns computes the slowdown of requests and tasks on each worker from the actual usage and interference of its
// tasks.
func (s *sim) updateSlowdowns(second int) {
	for _, w := range s.workers {
		used, interferenceSum := 0.0, 0.0
		band := interference.BandOf(s.day.slotShare(float64(second)) * float64(s.day.Workers) / float64(max(len(s.replicas), 1)))
		for _, r := range w.runs {
			share := float64(r.workload.Processors) * r.workload.CPUFactor * float64(s.throttle(w, r)) / 100 / float64(s.day.Processors)
			used += share
			interferenceSum += share * r.workload.Interference[band] * s.day.interferenceFactor(second, r.workload.Name)
		}
		if w.replica != nil {
			used += float64(s.day.Service.Processors) / float64(s.day.Processors)
		}
		w.trueSlowdown = (1 + interferenceSum) * max(used, 1)
	}
}

// throttle returns the percentage of its processors that a run may use.
func (s *sim) throttle(w *fakeWorker, r *fakeRun) int {
	if s.variant.noThrottle {
		return remedy.Unthrottled
	}
	return w.remedy.Throttle(r.workload.Name)
}

// runRequests simulates the requests of a second: each is routed to the better of two replicas, waits and runs there.
func (s *sim) runRequests(second int) {
	end := s.now + time.Second
	perSecond := s.day.slotShare(float64(second)) * float64(s.day.Workers*s.day.Service.Slots) / (s.day.Service.MeanMs / 1000)
	next := s.now + s.interarrival(perSecond)
	for {
		if len(s.events) > 0 && s.events[0].endsAt < min(next, end) {
			s.completeNext()
			continue
		}
		if next >= end {
			break
		}
		s.now = next
		s.arrive()
		next += s.interarrival(perSecond)
	}
	s.now = end
}

func (s *sim) interarrival(perSecond float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
}

const requestDeadline = 500 * time.Millisecond

func (s *sim) arrive() {
	s.result.requests++
	for range 2 {
		if s.offer(request{arrivedAt: s.now}) {
			return
		}
	}
	s.result.refused++
}

// offer routes a request as an entry does and admits it as an agent does.
func (s *sim) offer(r request) bool {
	i := s.route()
	if i < 0 {
		return false
	}
	replica := s.replicas[i]
	r.replica = replica
	replica.offered++
	replica.loadSum += replica.limiter.Load()
	if s.variant.noAdmission {
		return s.queueUnbounded(r)
	}
	switch replica.limiter.Offer(requestDeadline) {
	case admission.Run:
		s.startRequest(r)
	case admission.Wait:
		replica.queue = append(replica.queue, r)
	default:
		return false
	}
	return true
}

// queueUnbounded admits a request to a queue without a limit.
func (s *sim) queueUnbounded(r request) bool {
	if r.replica.limiter.Offer(time.Hour) == admission.Run {
		s.startRequest(r)
		return true
	}
	r.replica.queue = append(r.replica.queue, r)
	return true
}

func (s *sim) route() int {
	if len(s.replicas) == 0 {
		return -1
	}
	if s.variant.noBalancing {
		return s.random.IntN(len(s.replicas))
	}
	return routing.Choose(s.replicas, func(r **fakeReplica) routing.Candidate {
		return routing.NewCandidate((*r).limiter.Running()+(*r).limiter.Waiting(), s.day.Service.Slots, false, false)
	}, s.random.Uint64())
}

func (s *sim) startRequest(r request) {
	v := s.day.Service
	mean := v.MeanMs * r.replica.worker.trueSlowdown
	millis := mean * math.Exp(v.Sigma*s.random.NormFloat64()-v.Sigma*v.Sigma/2)
	r.startedAt = s.now
	r.endsAt = s.now + time.Duration(millis*float64(time.Millisecond))
	heap.Push(&s.events, r)
}

func (s *sim) completeNext() {
	r := heap.Pop(&s.events).(request)
	s.now = r.endsAt
	replica := r.replica
	replica.limiter.Finish(r.endsAt - r.startedAt)
	replica.totalRuntime += r.endsAt - r.startedAt
	latency := (r.endsAt - r.arrivedAt).Microseconds()
	_ = replica.window.RecordValue(latency)
	_ = s.window.RecordValue(latency)
	if float64(latency) > s.day.Service.TargetMs*1000 {
		s.result.late++
	}
	for len(replica.queue) > 0 && replica.limiter.Promote() {
		waiting := replica.queue[0]
		replica.queue = replica.queue[1:]
		s.startRequest(waiting)
	}
}
