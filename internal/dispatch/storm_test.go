package dispatch

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// stormReportInterval is how often the agents of a storm report, stormWork how long a task works there.
	stormReportInterval = 50 * time.Millisecond
	stormTaskTime       = time.Second
	// stormCrashDelay is how long after its start a task crashes its worker, stormDown how long that is away then.
	stormCrashDelay = 10 * time.Millisecond
	stormDowntime   = 3 * time.Second
	stormTasks      = 6
	// stormProgressTime is how long a task works at the most; it gets on for as long.
	stormProgressTime  = 20 * time.Second
	stormBurstInterval = 4 * time.Second
)

// crashStorm is a load in which some tasks crash each worker that starts them, and some workers crash by themselves.
type crashStorm struct {
	t       *testing.T
	store   *kvtest.Store
	leader  *term
	workers []*stormWorker
	random  *rand.Rand
	jobs    []job.ID
	// lostAnswers is the share of starts whose answer is lost, strikes how many workers a second crash by themselves.
	lostAnswers   float64
	randomCrashes float64
	// burstSize is how many workers crash together every stormBurst.
	burstSize int
	lastBurst time.Time
	// crashAfter is how long after its start a task crashes its worker.
	crashAfter time.Duration
	// unreported says that each agent ends with its worker, so that nobody tells of crashes.
	unreported bool
	crashing   map[job.ID]bool
	starts     map[string]int
	crashes    int
	drainTime  time.Duration
}

// stormWorker is a worker with its agent.
type stormWorker struct {
	agent        *fakeAgent
	incarnations int
	running      map[link.Run]*stormRun
	ended        []link.Ended
	// rejected are told once.
	rejected     []link.Rejected
	lastEnd      uint64
	crashReports []link.Crash
	lastCrash    uint64
	crashedAt    time.Time
	upAt         time.Time
}

type stormRun struct {
	startedAt time.Time
	answered  bool
}

func newCrashStorm(t *testing.T, seed uint64, workers int) *crashStorm {
	t.Helper()
	s := &crashStorm{
		t: t, store: kvtest.New(), random: rand.New(rand.NewPCG(seed, 1)), crashing: make(map[job.ID]bool), starts: make(map[string]int),
		crashAfter: stormCrashDelay,
	}
	s.elect("e0")
	for i := range workers {
		s.workers = append(s.workers, &stormWorker{agent: &fakeAgent{vm: fmt.Sprintf("vm%02d", i)}, running: make(map[link.Run]*stormRun)})
	}
	return s
}

// elect lets another process lead.
func (s *crashStorm) elect(name string) {
	s.store.Revoke()
	lead, err := newTestEntry(name, s.store).tryAcquire(s.t.Context())
	assert.NilError(s.t, err)
	assert.NilError(s.t, lead.load(s.t.Context()))
	s.leader = lead
}

// submit hands in a job, of which the first task may crash its workers.
func (s *crashStorm) submit(crashes bool) {
	id := s.submitStep(job.Step{Count: stormTasks, Size: job.Size{CPU: 500, Memory: 100}, Estimate: stormTaskTime})
	s.crashing[id] = crashes
}

// submitStep hands in a job of one step.
func (s *crashStorm) submitStep(step job.Step) job.ID {
	id := job.ID(fmt.Sprintf("%016x", len(s.jobs)+1))
	value, err := job.Encode(job.Spec{Text: "x", Steps: []job.Step{step}}, job.Queue{Service: testService, Attempts: 2, Stretch: 2}, time.Now())
	assert.NilError(s.t, err)
	_, err = s.store.Commit(s.t.Context(), kv.Txn{Puts: []kv.Put{{Key: record.JobKey(id), Value: value}}})
	assert.NilError(s.t, err)
	s.jobs = append(s.jobs, id)
	_, err = s.leader.inputsFollower().Next(s.t.Context(), 0)
	assert.NilError(s.t, err)
	return id
}

// step lets each worker and its agent work, and the lead answer them.
func (s *crashStorm) step() {
	assert.NilError(s.t, s.leader.closures.Load(s.t.Context()))
	s.crashBurst()
	for _, w := range s.workers {
		s.advance(w)
		if time.Now().Before(w.upAt) {
			s.reportDown(w)
			continue
		}
		s.report(w)
		s.deliver(w)
	}
	time.Sleep(stormReportInterval)
}

// crashBurst lets some workers crash at one moment, now and then.
func (s *crashStorm) crashBurst() {
	if s.burstSize == 0 || time.Since(s.lastBurst) < stormBurstInterval {
		return
	}
	s.lastBurst = time.Now()
	for _, n := range s.random.Perm(len(s.workers))[:s.burstSize] {
		if w := s.workers[n]; !time.Now().Before(w.upAt) {
			s.crash(w)
		}
	}
}

// reportDown tells the lead of a worker that is away.
func (s *crashStorm) reportDown(w *stormWorker) {
	r := link.Report{
		VM: w.agent.vm, Epoch: s.leader.epoch, Instance: fmt.Sprintf("%s-%d", w.agent.vm, w.incarnations-1), Service: testService, CPU: 32000,
		Memory: 128000, Fenced: true, Silent: true, FirstFailureMillis: time.Since(w.crashedAt).Milliseconds(),
	}
	_, err := s.leader.report(fakeSession{w.agent}, r)
	assert.NilError(s.t, err)
}

// advance ends what is done, and crashes the worker where a task does or by chance.
func (s *crashStorm) advance(w *stormWorker) {
	crashes := s.random.Float64() < s.randomCrashes*stormReportInterval.Seconds()/float64(len(s.workers))
	for run, r := range w.running {
		id, _ := run.TaskID()
		crashes = crashes || s.crashing[id.Job] && id.Index == 0 && time.Since(r.startedAt) >= s.crashAfter
	}
	if crashes && !time.Now().Before(w.upAt) {
		s.crash(w)
		return
	}
	for run, r := range w.running {
		if time.Since(r.startedAt) >= stormTaskTime {
			w.lastEnd++
			w.ended = append(w.ended, link.Ended{Run: run, Sequence: w.lastEnd, End: int(job.EndDone)})
			delete(w.running, run)
		}
	}
}

// crash ends a life of the worker; its agent tells of it with the next one.
func (s *crashStorm) crash(w *stormWorker) {
	w.lastCrash++
	told := link.Crash{Number: w.lastCrash, Instance: w.instance()}
	for run, r := range w.running {
		told.Runs = append(told.Runs, link.CrashedRun{Run: run, Answered: r.answered, AgeMillis: (time.Since(r.startedAt) - stormReportInterval).Milliseconds()})
	}
	w.incarnations++
	w.running, w.ended, w.lastEnd, w.agent.pendingOrders = make(map[link.Run]*stormRun), nil, 0, nil
	w.crashedAt, w.upAt = time.Now(), time.Now().Add(stormDowntime)
	if !s.unreported {
		w.crashReports = append(w.crashReports, told)
	}
	s.crashes++
}

func (w *stormWorker) instance() string { return fmt.Sprintf("%s-%d", w.agent.vm, w.incarnations) }

// report tells the lead what the worker has.
func (s *crashStorm) report(w *stormWorker) {
	r := w.reportTo(s.leader)
	answered := make(chan link.ReportAnswer, 1)
	go func() {
		answer, _ := s.leader.report(fakeSession{w.agent}, r)
		answered <- answer
	}()
	synctest.Wait()
	runCycle(s.t, s.leader)
	answer := <-answered
	if answer.AcknowledgedEnds >= w.lastEnd {
		w.ended = nil
	}
	if answer.AcknowledgedCrashes == w.lastCrash {
		w.crashReports = nil
	}
}

// reportTo returns a report of what the worker has.
func (w *stormWorker) reportTo(lead *term) link.Report {
	r := link.Report{
		VM: w.agent.vm, Epoch: lead.epoch, Instance: w.instance(), Service: testService, CPU: 32000, Memory: 128000, Fenced: true,
		Ended: w.ended, Rejected: w.rejected,
	}
	w.rejected = nil
	for _, c := range w.crashReports {
		c.FirstFailureMillis = max(time.Since(w.crashedAt).Milliseconds(), 1)
		r.Crashes = append(r.Crashes, c)
	}
	for run, had := range w.running {
		lived := time.Since(had.startedAt)
		r.Running = append(r.Running, link.Running{
			Run: run, Pace: 100, Percent: int(100 * lived / stormProgressTime), Fresh: lived < crash.StartupTime,
		})
	}
	return r
}

// deliver starts what the lead ordered.
func (s *crashStorm) deliver(w *stormWorker) {
	for _, orders := range w.agent.pendingOrders {
		for _, start := range orders.Starts {
			if w.running[start.Run] == nil && orders.Instance == w.instance() {
				w.running[start.Run] = &stormRun{startedAt: time.Now(), answered: s.random.Float64() >= s.lostAnswers}
				s.starts[start.Task]++
			}
		}
	}
	w.agent.pendingOrders = nil
}

// jobCounts sums up what callers got: jobs given up rightly and wrongly, jobs done, and those not ended.
type jobCounts struct{ failedRightly, failedWrongly, done, open int }

func (s *crashStorm) countJobs() jobCounts {
	var f jobCounts
	for _, id := range s.jobs {
		switch state := s.leader.jobs[id].job.State(); {
		case state == job.Failed && s.crashing[id]:
			f.failedRightly++
		case state == job.Failed:
			f.failedWrongly++
		case state == job.Completed:
			f.done++
		default:
			f.open++
		}
	}
	return f
}

// run hands jobs in for some seconds, some of which crash their workers, and lets the rest end.
func (s *crashStorm) run(jobs, crashing, changes int) {
	const every, rest = 200 * time.Millisecond, 40 * time.Second
	length := time.Duration(jobs) * every
	began, submitted, elected := time.Now(), 0, 0
	for time.Since(began) < length+rest {
		for submitted < jobs && time.Since(began) >= time.Duration(submitted)*every {
			s.submit(crashing > 0 && submitted%max(jobs/crashing, 1) == 0)
			submitted++
		}
		if elected < changes && time.Since(began) >= time.Duration(elected+1)*length/time.Duration(changes+1) {
			elected++
			s.elect(fmt.Sprintf("e%d", elected))
		}
		s.step()
		if submitted == jobs && s.countJobs().open == 0 {
			break
		}
	}
	s.drainTime = time.Since(began) - length
}

// stormScenario is a line of a file of storms, with how many jobs may be given up wrongly and how many workers may crash.
type stormScenario struct {
	workers, jobs, crashing, leaderChanges, burstSize int
	lostAnswers, randomCrashes                        float64
	maxFailedWrongly, maxCrashes                      int
}

// runScenarios plays each line of a file as a test of its own, with three seeds.
func runScenarios(t *testing.T, name string, prepare func(*crashStorm)) {
	t.Helper()
	file, err := os.Open(name)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var l stormScenario
		_, err := fmt.Sscanf(line, "workers=%d jobs=%d crashing=%d changes=%d unanswered=%f strikes=%f burst=%d -> wrongly<=%d crashes<=%d",
			&l.workers, &l.jobs, &l.crashing, &l.leaderChanges, &l.lostAnswers, &l.randomCrashes, &l.burstSize, &l.maxFailedWrongly, &l.maxCrashes)
		assert.NilError(t, err, line)
		t.Run(strings.ReplaceAll(line, " ", "_"), func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) { l.run(t, seed, prepare) })
			}
		})
	}
}

// run plays a load and judges what callers get: jobs that crash their workers are given up, the others done, and no task that crashes
// its workers is started more often than the platform allows.
func (l stormScenario) run(t *testing.T, seed uint64, prepare func(*crashStorm)) {
	t.Helper()
	s := newCrashStorm(t, seed, l.workers)
	s.lostAnswers, s.randomCrashes, s.burstSize, s.lastBurst = l.lostAnswers, l.randomCrashes, l.burstSize, time.Now()
	prepare(s)
	s.run(l.jobs, l.crashing, l.leaderChanges)
	f := s.countJobs()
	t.Logf("seed %d: %+v, %d crashes, ended %v after the last was handed in", seed, f, s.crashes, s.drainTime)
	assert.Equal(t, f.open, 0)
	assert.Equal(t, f.failedRightly, l.crashing)
	assert.Assert(t, f.failedWrongly <= l.maxFailedWrongly, "%d jobs were given up that crash no worker", f.failedWrongly)
	assert.Assert(t, s.crashes <= l.maxCrashes, "%d workers crashed", s.crashes)
	for task, starts := range s.starts {
		id, _ := job.ParseTaskID(task)
		assert.Assert(t, !s.crashing[id.Job] || id.Index > 0 || starts <= 5, "%s was started %d times", task, starts)
	}
}

// TestCrashStorms plays loads in which agents tell of crashes.
func TestCrashStorms(t *testing.T) { runScenarios(t, "testdata/storms.txt", func(*crashStorm) {}) }

// TestCrashStormsWithoutReports plays what callers saw where agents die with their workers: jobs that crash no worker were given up
// beside some that do.
//
// Order of events: a worker is lost with all that it ran; it begins anew, empty, and suits all of it best; so the same tasks lay
// beside the same cause five times in a row, on one VM.
//
// Cause: a loss of which nobody tells was counted alike against all that ran there, though the lead itself had seen for how long each did,
// and which had not outlived its start. Evidence: the lead's log, five runs of each on one VM, 16 ms after its new life.
func TestCrashStormsWithoutReports(t *testing.T) {
	for _, after := range []time.Duration{stormCrashDelay, 400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runScenarios(t, "testdata/untold.txt", func(s *crashStorm) { s.unreported, s.crashAfter = true, after })
		})
	}
}
