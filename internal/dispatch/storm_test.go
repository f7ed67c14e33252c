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
	// stormStep is how often the agents of a storm report, stormWork how long a task works there.
	stormStep = 50 * time.Millisecond
	stormWork = time.Second
	// stormCrash is how long after its start a task crashes its worker, stormDown how long that is away then.
	stormCrash = 10 * time.Millisecond
	stormDown  = 3 * time.Second
	stormTasks = 6
	// stormLongest is how long a task works at the most; it gets on for as long.
	stormLongest = 20 * time.Second
	stormBurst   = 4 * time.Second
)

// storm is a load in which some tasks crash each worker that starts them, and some workers crash by themselves.
type storm struct {
	t       *testing.T
	store   *kvtest.Store
	lead    *term
	workers []*stormWorker
	random  *rand.Rand
	jobs    []job.ID
	// unanswered is the share of starts whose answer is lost, strikes how many workers a second crash by themselves.
	unanswered float64
	strikes    float64
	// burst is how many workers crash together every stormBurst.
	burst  int
	burst0 time.Time
	// crashAfter is how long after its start a task crashes its worker.
	crashAfter time.Duration
	// untold says that each agent ends with its worker, so that nobody tells of crashes.
	untold   bool
	crashing map[job.ID]bool
	starts   map[string]int
	crashes  int
	slowest  time.Duration
}

// stormWorker is a worker with its agent.
type stormWorker struct {
	agent   *fakeAgent
	lives   int
	running map[link.Run]*stormRun
	ended   []link.Ended
	// rejected are told once.
	rejected []link.Rejected
	last     uint64
	told     []link.Crash
	number   uint64
	broken   time.Time
	back     time.Time
}

type stormRun struct {
	began    time.Time
	answered bool
}

func newStorm(t *testing.T, seed uint64, workers int) *storm {
	t.Helper()
	s := &storm{
		t: t, store: kvtest.New(), random: rand.New(rand.NewPCG(seed, 1)), crashing: make(map[job.ID]bool), starts: make(map[string]int),
		crashAfter: stormCrash,
	}
	s.elect("e0")
	for i := range workers {
		s.workers = append(s.workers, &stormWorker{agent: &fakeAgent{vm: fmt.Sprintf("vm%02d", i)}, running: make(map[link.Run]*stormRun)})
	}
	return s
}

// elect lets another process lead.
func (s *storm) elect(name string) {
	s.store.Revoke()
	lead, err := entryOf(name, s.store).stand(s.t.Context())
	assert.NilError(s.t, err)
	assert.NilError(s.t, lead.load(s.t.Context()))
	s.lead = lead
}

// submit hands in a job, of which the first task may crash its workers.
func (s *storm) submit(crashes bool) {
	id := s.handIn(job.Step{Count: stormTasks, Size: job.Size{CPU: 500, Memory: 100}, Estimate: stormWork})
	s.crashing[id] = crashes
}

// handIn hands in a job of one step.
func (s *storm) handIn(step job.Step) job.ID {
	id := job.ID(fmt.Sprintf("%016x", len(s.jobs)+1))
	value, err := job.Encode(job.Spec{Text: "x", Steps: []job.Step{step}}, job.Queue{Service: testService, Attempts: 2, Stretch: 2}, time.Now())
	assert.NilError(s.t, err)
	_, err = s.store.Commit(s.t.Context(), kv.Txn{Puts: []kv.Put{{Key: record.JobKey(id), Value: value}}})
	assert.NilError(s.t, err)
	s.jobs = append(s.jobs, id)
	_, err = s.lead.inputsFollower().Next(s.t.Context(), 0)
	assert.NilError(s.t, err)
	return id
}

// step lets each worker and its agent work, and the lead answer them.
func (s *storm) step() {
	assert.NilError(s.t, s.lead.closures.Load(s.t.Context()))
	s.strikeTogether()
	for _, w := range s.workers {
		s.advance(w)
		if time.Now().Before(w.back) {
			s.reportDown(w)
			continue
		}
		s.report(w)
		s.deliver(w)
	}
	time.Sleep(stormStep)
}

// strikeTogether lets some workers crash at one moment, now and then.
func (s *storm) strikeTogether() {
	if s.burst == 0 || time.Since(s.burst0) < stormBurst {
		return
	}
	s.burst0 = time.Now()
	for _, n := range s.random.Perm(len(s.workers))[:s.burst] {
		if w := s.workers[n]; !time.Now().Before(w.back) {
			s.crash(w)
		}
	}
}

// reportDown tells the lead of a worker that is away.
func (s *storm) reportDown(w *stormWorker) {
	r := link.Report{
		VM: w.agent.vm, Epoch: s.lead.epoch, Instance: fmt.Sprintf("%s-%d", w.agent.vm, w.lives-1), Service: testService, CPU: 32000,
		Memory: 128000, Fenced: true, Silent: true, BrokenMillis: time.Since(w.broken).Milliseconds(),
	}
	_, err := s.lead.report(mailbox{w.agent}, r)
	assert.NilError(s.t, err)
}

// advance ends what is done, and crashes the worker where a task does or by chance.
func (s *storm) advance(w *stormWorker) {
	crashes := s.random.Float64() < s.strikes*stormStep.Seconds()/float64(len(s.workers))
	for run, r := range w.running {
		id, _ := run.TaskID()
		crashes = crashes || s.crashing[id.Job] && id.Index == 0 && time.Since(r.began) >= s.crashAfter
	}
	if crashes && !time.Now().Before(w.back) {
		s.crash(w)
		return
	}
	for run, r := range w.running {
		if time.Since(r.began) >= stormWork {
			w.last++
			w.ended = append(w.ended, link.Ended{Run: run, Sequence: w.last, End: int(job.EndDone)})
			delete(w.running, run)
		}
	}
}

// crash ends a life of the worker; its agent tells of it with the next one.
func (s *storm) crash(w *stormWorker) {
	w.number++
	told := link.Crash{Number: w.number, Instance: w.instance()}
	for run, r := range w.running {
		told.Runs = append(told.Runs, link.CrashedRun{Run: run, Answered: r.answered, AgeMillis: (time.Since(r.began) - stormStep).Milliseconds()})
	}
	w.lives++
	w.running, w.ended, w.last, w.agent.mail = make(map[link.Run]*stormRun), nil, 0, nil
	w.broken, w.back = time.Now(), time.Now().Add(stormDown)
	if !s.untold {
		w.told = append(w.told, told)
	}
	s.crashes++
}

func (w *stormWorker) instance() string { return fmt.Sprintf("%s-%d", w.agent.vm, w.lives) }

// report tells the lead what the worker has.
func (s *storm) report(w *stormWorker) {
	r := w.reportTo(s.lead)
	answered := make(chan link.ReportAnswer, 1)
	go func() {
		answer, _ := s.lead.report(mailbox{w.agent}, r)
		answered <- answer
	}()
	synctest.Wait()
	work(s.t, s.lead)
	answer := <-answered
	if answer.Seen >= w.last {
		w.ended = nil
	}
	if answer.Crashes == w.number {
		w.told = nil
	}
}

// reportTo returns a report of what the worker has.
func (w *stormWorker) reportTo(lead *term) link.Report {
	r := link.Report{
		VM: w.agent.vm, Epoch: lead.epoch, Instance: w.instance(), Service: testService, CPU: 32000, Memory: 128000, Fenced: true,
		Ended: w.ended, Rejected: w.rejected,
	}
	w.rejected = nil
	for _, c := range w.told {
		c.BrokenMillis = max(time.Since(w.broken).Milliseconds(), 1)
		r.Crashes = append(r.Crashes, c)
	}
	for run, had := range w.running {
		lived := time.Since(had.began)
		r.Running = append(r.Running, link.Running{
			Run: run, Pace: 100, Percent: int(100 * lived / stormLongest), Fresh: lived < crash.Soon,
		})
	}
	return r
}

// deliver starts what the lead ordered.
func (s *storm) deliver(w *stormWorker) {
	for _, orders := range w.agent.mail {
		for _, start := range orders.Starts {
			if w.running[start.Run] == nil && orders.Instance == w.instance() {
				w.running[start.Run] = &stormRun{began: time.Now(), answered: s.random.Float64() >= s.unanswered}
				s.starts[start.Task]++
			}
		}
	}
	w.agent.mail = nil
}

// figures sums up what callers got: jobs given up rightly and wrongly, jobs done, and those not ended.
type figures struct{ rightly, wrongly, done, open int }

func (s *storm) figures() figures {
	var f figures
	for _, id := range s.jobs {
		switch state := s.lead.jobs[id].job.State(); {
		case state == job.Failed && s.crashing[id]:
			f.rightly++
		case state == job.Failed:
			f.wrongly++
		case state == job.Completed:
			f.done++
		default:
			f.open++
		}
	}
	return f
}

// play hands jobs in for some seconds, some of which crash their workers, and lets the rest end.
func (s *storm) play(jobs, crashing, changes int) {
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
		if submitted == jobs && s.figures().open == 0 {
			break
		}
	}
	s.slowest = time.Since(began) - length
}

// stormLoad is a line of a file of storms, with how many jobs may be given up wrongly and how many workers may crash.
type stormLoad struct {
	workers, jobs, crashing, changes, burst int
	unanswered, strikes                     float64
	wrongly, crashes                        int
}

// eachLoad plays each line of a file as a test of its own, with three seeds.
func eachLoad(t *testing.T, name string, prepare func(*storm)) {
	t.Helper()
	file, err := os.Open(name)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var l stormLoad
		_, err := fmt.Sscanf(line, "workers=%d jobs=%d crashing=%d changes=%d unanswered=%f strikes=%f burst=%d -> wrongly<=%d crashes<=%d",
			&l.workers, &l.jobs, &l.crashing, &l.changes, &l.unanswered, &l.strikes, &l.burst, &l.wrongly, &l.crashes)
		assert.NilError(t, err, line)
		t.Run(strings.ReplaceAll(line, " ", "_"), func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) { l.play(t, seed, prepare) })
			}
		})
	}
}

// play plays a load and judges what callers get: jobs that crash their workers are given up, the others done, and no task that crashes
// its workers is started more often than the platform allows.
func (l stormLoad) play(t *testing.T, seed uint64, prepare func(*storm)) {
	t.Helper()
	s := newStorm(t, seed, l.workers)
	s.unanswered, s.strikes, s.burst, s.burst0 = l.unanswered, l.strikes, l.burst, time.Now()
	prepare(s)
	s.play(l.jobs, l.crashing, l.changes)
	f := s.figures()
	t.Logf("seed %d: %+v, %d crashes, ended %v after the last was handed in", seed, f, s.crashes, s.slowest)
	assert.Equal(t, f.open, 0)
	assert.Equal(t, f.rightly, l.crashing)
	assert.Assert(t, f.wrongly <= l.wrongly, "%d jobs were given up that crash no worker", f.wrongly)
	assert.Assert(t, s.crashes <= l.crashes, "%d workers crashed", s.crashes)
	for task, starts := range s.starts {
		id, _ := job.ParseTaskID(task)
		assert.Assert(t, !s.crashing[id.Job] || id.Index > 0 || starts <= 5, "%s was started %d times", task, starts)
	}
}

// TestStorms plays loads in which agents tell of crashes.
func TestStorms(t *testing.T) { eachLoad(t, "testdata/storms.txt", func(*storm) {}) }

// TestStormsOfWhichNobodyTells plays what callers saw where agents die with their workers: jobs that crash no worker were given up
// beside some that do.
//
// Order of events: a worker is lost with all that it ran; it begins anew, empty, and suits all of it best; so the same tasks lay
// beside the same cause five times in a row, on one VM.
//
// Cause: a loss of which nobody tells was counted alike against all that ran there, though the lead itself had seen for how long each did,
// and which had not outlived its start. Evidence: the lead's log, five runs of each on one VM, 16 ms after its new life.
func TestStormsOfWhichNobodyTells(t *testing.T) {
	for _, after := range []time.Duration{stormCrash, 400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			eachLoad(t, "testdata/untold.txt", func(s *storm) { s.untold, s.crashAfter = true, after })
		})
	}
}
