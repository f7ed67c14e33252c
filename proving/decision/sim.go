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

// sim is one day under one column.
type sim struct {
	day      *Day
	column   Column
	random   *rand.Rand
	began    time.Time
	now      time.Duration
	rows     table.Table
	document *cell.Document
	workers  []*fakeWorker
	replicas []*fakeReplica
	events   requestHeap
	reports  []lateReport
	model    *interference.Model
	sizes    map[string]*sizing.Estimate
	before   map[task.ID]time.Time
	load     map[string]*BatchLoad
	result   Result
	window   *hdrhistogram.Histogram
	nextID   int
	jobs     map[string]time.Duration
}

// fakeWorker is a worker with the runs that it really runs.
type fakeWorker struct {
	number   int
	lost     bool
	runs     map[task.Run]*fakeRun
	remedy   remedy.State
	model    *interference.Model
	health   probation.Record
	replica  *fakeReplica
	slow     float64
	ratio    float64
	slowdown float64
	band     interference.Band
}

type fakeRun struct {
	load     *BatchLoad
	size     resource.Vector
	progress float64
	started  time.Duration
}

// fakeReplica is the replica of the service on a worker.
type fakeReplica struct {
	worker  *fakeWorker
	limiter *admission.Limiter
	queue   []request
	window  *hdrhistogram.Histogram
	busy    float64
	offers  int
	ran     time.Duration
}

type request struct {
	arrived time.Duration
	replica *fakeReplica
	began   time.Duration
	ends    time.Duration
}

// requestHeap orders running requests by their ends.
type requestHeap []request

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool { return h[i].ends < h[j].ends }

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

// Run plays a day under a column with a seed.
func Run(day *Day, column Column, seed uint64) (Result, error) {
	s := &sim{
		day: day, column: column, random: rand.New(rand.NewPCG(seed, 1)), began: time.Unix(1_700_000_000, 0),
		document: cell.New(), model: interference.New(), sizes: make(map[string]*sizing.Estimate),
		before: make(map[task.ID]time.Time), load: make(map[string]*BatchLoad), jobs: make(map[string]time.Duration),
		window: hdrhistogram.New(1, 60_000_000, 3),
	}
	rows, err := s.makeTable()
	if err != nil {
		return Result{}, err
	}
	s.rows = rows
	for i := range day.Workers {
		s.workers = append(s.workers, &fakeWorker{number: i, runs: make(map[task.Run]*fakeRun), model: interference.New(), slow: 1})
	}
	for second := range day.Seconds {
		s.second(second)
	}
	s.finish()
	return s.result, nil
}

func (s *sim) makeTable() (table.Table, error) {
	text := "workload,kind,team,weight,processors,memory_mb,replicas,target_ms,runtime_s,evictions,deadline_min,urgent,concurrency,accelerators\n"
	v := s.day.Service
	text += fmt.Sprintf("%s,service,%s,100,%d,%d,%d,%d,,,,,8,0\n", v.Name, s.day.Name, v.Processors, v.Memory, s.serving(), int(v.TargetMs))
	for i := range s.day.Batch {
		b := &s.day.Batch[i]
		s.load[b.Name] = b
		text += fmt.Sprintf("%s,batch,%s,%d,%d,%d,,,%d,%d,%d,no,4096,%d\n", b.Name, b.Team, b.Weight, b.Processors, b.Memory, b.RuntimeS, b.Evictions, b.DeadlineM, b.Accelerators)
	}
	rows, err := table.Parse([]byte(text))
	if err != nil {
		return table.Table{}, err
	}
	return table.Table{}.Apply(table.NewEdit(0, rows, "bench", "bench"), s.began)
}

// serving is how many workers the service runs on.
func (s *sim) serving() int {
	if s.column.separate {
		return s.day.Reserved
	}
	return s.day.Workers
}

func (s *sim) clock() time.Time { return s.began.Add(s.now) }

// second plays one second: the decisions first, then the requests of the second.
func (s *sim) second(second int) {
	s.now = time.Duration(second) * time.Second
	s.loseWorkers(second)
	s.submit(second)
	s.progress(second)
	s.takeReports()
	s.decide(second)
	s.slowDown(second)
	s.requests(second)
}

// slowDown works out how much slower requests and tasks run on each worker, from what its tasks really do.
func (s *sim) slowDown(second int) {
	for _, w := range s.workers {
		used, harm := 0.0, 0.0
		band := interference.BandOf(s.day.load(float64(second)) * float64(s.day.Workers) / float64(max(len(s.replicas), 1)))
		for _, r := range w.runs {
			share := float64(r.load.Processors) * r.load.Uses * float64(s.throttle(w, r)) / 100 / float64(s.day.Processors)
			used += share
			harm += share * r.load.Harm[band] * s.day.noise(second, r.load.Name)
		}
		if w.replica != nil {
			used += float64(s.day.Service.Processors) / float64(s.day.Processors)
		}
		w.slow = (1 + harm) * max(used, 1)
	}
}

// throttle is what a run may use of its processors, in percent.
func (s *sim) throttle(w *fakeWorker, r *fakeRun) int {
	if s.column.noThrottle {
		return remedy.Unthrottled
	}
	return w.remedy.Throttle(r.load.Name)
}

// requests plays the requests of a second: each goes to the better of two replicas, waits and runs there.
func (s *sim) requests(second int) {
	end := s.now + time.Second
	perSecond := s.day.load(float64(second)) * float64(s.day.Workers*s.day.Service.Slots) / (s.day.Service.MeanMs / 1000)
	next := s.now + s.gap(perSecond)
	for {
		if len(s.events) > 0 && s.events[0].ends < min(next, end) {
			s.complete()
			continue
		}
		if next >= end {
			break
		}
		s.now = next
		s.arrive()
		next += s.gap(perSecond)
	}
	s.now = end
}

func (s *sim) gap(perSecond float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
}

const requestDeadline = 500 * time.Millisecond

func (s *sim) arrive() {
	s.result.requests++
	for range 2 {
		if s.offer(request{arrived: s.now}) {
			return
		}
	}
	s.result.refused++
}

// offer routes a request as entries do, and admits it as agents do.
func (s *sim) offer(r request) bool {
	i := s.route()
	if i < 0 {
		return false
	}
	replica := s.replicas[i]
	r.replica = replica
	replica.offers++
	replica.busy += replica.limiter.Load()
	if s.column.noAdmission {
		return s.admitAll(r)
	}
	switch replica.limiter.Offer(requestDeadline) {
	case admission.Run:
		s.begin(r)
	case admission.Wait:
		replica.queue = append(replica.queue, r)
	default:
		return false
	}
	return true
}

// admitAll queues without a limit.
func (s *sim) admitAll(r request) bool {
	if r.replica.limiter.Offer(time.Hour) == admission.Run {
		s.begin(r)
		return true
	}
	r.replica.queue = append(r.replica.queue, r)
	return true
}

func (s *sim) route() int {
	if len(s.replicas) == 0 {
		return -1
	}
	if s.column.noBalance {
		return s.random.IntN(len(s.replicas))
	}
	return routing.Choose(s.replicas, func(r **fakeReplica) routing.Candidate {
		return routing.NewCandidate((*r).limiter.Running()+(*r).limiter.Waiting(), s.day.Service.Slots, false, false)
	}, s.random.Uint64())
}

func (s *sim) begin(r request) {
	v := s.day.Service
	mean := v.MeanMs * r.replica.worker.slow
	millis := mean * math.Exp(v.Sigma*s.random.NormFloat64()-v.Sigma*v.Sigma/2)
	r.began = s.now
	r.ends = s.now + time.Duration(millis*float64(time.Millisecond))
	heap.Push(&s.events, r)
}

func (s *sim) complete() {
	r := heap.Pop(&s.events).(request)
	s.now = r.ends
	replica := r.replica
	replica.limiter.Finish(r.ends - r.began)
	replica.ran += r.ends - r.began
	latency := (r.ends - r.arrived).Microseconds()
	_ = replica.window.RecordValue(latency)
	_ = s.window.RecordValue(latency)
	if float64(latency) > s.day.Service.TargetMs*1000 {
		s.result.late++
	}
	for len(replica.queue) > 0 && replica.limiter.Promote() {
		waiting := replica.queue[0]
		replica.queue = replica.queue[1:]
		s.begin(waiting)
	}
}
