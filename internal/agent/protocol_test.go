package agent

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/lead"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/proptest"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// protocolTable is the table of the property: services, batch tasks, and what they take.
const protocolTable = `workload,kind,team,processors,memory_mb,replicas,target_ms,runtime_s,evictions,concurrency,attempts
lookups,service,t,2,100,2,100,,,,
mailing,batch,t,3,100,,,1,100,100,100
`

// world is the leads, agents and workers of a cell, and the messages on their way.
type world struct {
	t        *rapid.T
	ctx      context.Context
	store    *fakeStore
	leads    []*lead.Lead
	agents   []*Agent
	workers  []*fakeWorker
	late     []lateMessage
	finished map[task.ID]int
	starts   map[task.Run]int
	jobs     []string
	canceled map[string]bool
	boots    int
	// scaled says that the replicas were edited, after which a replica may be wanted again before its stop is known.
	scaled bool
}

type lateMessage struct {
	agent   int
	desired control.Desired
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, ctx: context.Background(), store: &fakeStore{records: make(map[string]store.Record)},
		finished: make(map[task.ID]int), starts: make(map[task.Run]int), canceled: make(map[string]bool),
	}
	w.edit(table.Table{}, protocolTable)
	for i := range 3 {
		w.workers = append(w.workers, &fakeWorker{instance: fmt.Sprint("vm-", i), runs: make(map[task.Run]worker.Status), world: w})
		w.agents = append(w.agents, w.newAgent(i))
	}
	w.takeOver()
	return w
}

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatalf("%v", err)
	}
}

// began checks a start against the promises, by the books of all workers.
func (w *world) began(on *fakeWorker, order worker.Order) {
	used := order.Size()
	for _, f := range w.workers {
		for r, s := range f.runs {
			if s.State().IsFinal() || f.dead {
				continue
			}
			if r.ID() == order.Run().ID() {
				w.t.Fatalf("task %s starts as %d on %s while it runs as %d on %s", r.ID(), order.Run().Incarnation(), on.instance, r.Incarnation(), f.instance)
			}
			if f == on {
				used = used.Add(s.Size())
			}
		}
	}
	if !used.Fits(resource.New(8000, 1000, 0)) {
		w.t.Fatalf("%s is committed to %s", on.instance, used)
	}
	if w.finished[order.Run().ID()] > 0 && !order.IsService() {
		w.t.Fatalf("task %s starts after it finished", order.Run().ID())
	}
	w.starts[order.Run()]++
	if w.starts[order.Run()] > 1 {
		w.t.Fatalf("run %v starts twice", order.Run())
	}
}

func (w *world) newAgent(i int) *Agent {
	w.boots++
	clock := timeline.NewClock(time.Now)
	a := New(Config{
		ID: fmt.Sprint("agent-", i), Boot: fmt.Sprint("boot-", w.boots), Hall: "h", Rack: 1, Worker: w.workers[i],
		Logger: logging.Discard(), Clock: clock, Recorder: timeline.NewRecorder(clock, "x", 1),
		Timing: Timing{Drain: time.Second, TaskLease: time.Second},
	})
	w.must(a.tryAdopt(w.ctx))
	return a
}

const leaseTime = 2 * time.Second

func (w *world) takeOver() {
	clock := timeline.NewClock(time.Now)
	l := lead.New(lead.Config{
		Cell: "h-0", Agent: fmt.Sprint("lead-", len(w.leads)), Store: w.store, Logger: logging.Discard(),
		Recorder: timeline.NewRecorder(clock, "x", 1),
		Address:  fmt.Sprint("address-", len(w.leads)),
		Timing:   lead.Timing{Lease: leaseTime, Heartbeat: time.Second, CommitRate: 1 << 20},
	})
	// The leases of the leads before have lapsed by then, though they may not have noticed.
	time.Sleep(leaseTime + time.Millisecond)
	asked := time.Now()
	lease, err := w.store.Acquire(w.ctx, "lead", l.Address, leaseTime)
	w.must(err)
	w.must(l.Begin(w.ctx, lease, asked))
	w.must(l.LoadTable(w.ctx))
	w.leads = append(w.leads, l)
	w.list(l)
}

func (w *world) list(l *lead.Lead) {
	var vms []vmlist.VM
	for _, f := range w.workers {
		state := vmlist.Live
		if f.dead {
			state = vmlist.Gone
		}
		vms = append(vms, vmlist.NewVM(f.instance, "h", 1, state))
	}
	l.TakeList(vms)
}

// beat sends a heartbeat; its answer arrives now, late, or never.
func (w *world) beat(agent int, l *lead.Lead, fate int) {
	a := w.agents[agent]
	if w.workers[agent].dead {
		return
	}
	message, sent := a.compose(true)
	answer, err := l.Beat(w.ctx, &rpc.Peer{}, message)
	if err != nil || fate == 0 || !answer.Known {
		return
	}
	if answer.Desired != nil {
		w.late = append(w.late, lateMessage{agent: agent, desired: *answer.Desired})
	}
	if fate == 2 {
		_ = a.takeAnswer(w.ctx, nil, answer, sent)
	}
}

func (w *world) anyRun() (*fakeWorker, task.Run, bool) {
	f := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(w.t, "worker")]
	runs := f.running()
	if f.dead || len(runs) == 0 {
		return nil, task.Run{}, false
	}
	// The order of a map is not the same each run, so the least is taken.
	least := runs[0]
	for _, r := range runs[1:] {
		if r.ID().String() < least.ID().String() {
			least = r
		}
	}
	return f, least, true
}

// settle lets everything come to rest with the latest lead.
func (w *world) settle() {
	last := w.leads[len(w.leads)-1]
	for range 60 {
		time.Sleep(time.Second)
		w.must(last.Renew(w.ctx))
		w.list(last)
		for i, a := range w.agents {
			if w.workers[i].dead {
				continue
			}
			w.beat(i, last, 2)
			a.reconcile(w.ctx)
			for _, r := range w.workers[i].running() {
				if r.ID().Job() != "lookups" {
					_ = w.workers[i].end(r, task.Finished)
				}
			}
			a.reconcile(w.ctx)
			w.beat(i, last, 2)
		}
		w.must(last.CommitOnce(w.ctx))
	}
	for _, id := range w.jobs {
		j, err := last.Job(w.ctx, nil, control.JobQuery{ID: id})
		if err != nil {
			w.t.Fatalf("job %s is lost: %v", id, err)
		}
		if !w.canceled[id] && (j.State != "finished" || j.Finished != j.Tasks) {
			w.t.Fatalf("job %s does not end: %+v", id, j)
		}
	}
}

var steps = flag.Int("protocol.steps", 150, "steps of a run of the protocol's property")

// tally counts what the property did, so that it can be seen to do something.
type tally struct{ worlds, starts, moves, finished int }

func (y *tally) add(w *world) {
	y.worlds++
	y.starts += len(w.starts)
	y.finished += len(w.finished)
	for r := range w.starts {
		if r.Incarnation() > 1 {
			y.moves++
		}
	}
}

func (y *tally) protocol(t *rapid.T) {
	w := newWorld(t)
	for range rapid.IntRange(1, *steps).Draw(t, "steps") {
		w.step()
	}
	w.settle()
	y.add(w)
}

// actions are what a step may be; what is named more often is done more often.
var actions = []string{
	"round", "round", "round", "beat", "beat", "reconcile", "commit", "commit", "late", "late", "late",
	"submit", "scale", "end", "end", "end", "restart", "restart", "takeover", "cancel", "die",
}

func (w *world) step() {
	action := rapid.SampledFrom(actions).Draw(w.t, "action")
	agent := rapid.IntRange(0, len(w.agents)-1).Draw(w.t, "agent")
	l := w.leads[rapid.IntRange(max(0, len(w.leads)-2), len(w.leads)-1).Draw(w.t, "lead")]
	if w.workers[agent].dead {
		// A dead VM's agent is dead too.
		return
	}
	switch action {
	case "round":
		w.beat(agent, l, 2)
		w.agents[agent].reconcile(w.ctx)
		w.beat(agent, l, 2)
		_ = l.CommitOnce(w.ctx)
	case "beat":
		w.beat(agent, l, rapid.IntRange(0, 2).Draw(w.t, "fate"))
	case "reconcile":
		w.agents[agent].reconcile(w.ctx)
	case "commit":
		w.store.fail = rapid.SampledFrom([]fault.Kind{fault.Internal, fault.Internal, fault.OutcomeUnknown, fault.Unavailable}).Draw(w.t, "store")
		_ = l.CommitOnce(w.ctx)
		w.store.fail = fault.Internal
	case "late":
		w.deliver()
	case "submit":
		w.submit(l)
	case "scale":
		w.scale()
	case "end":
		if f, r, ok := w.anyRun(); ok {
			_ = f.end(r, rapid.SampledFrom([]task.State{task.Finished, task.Failed, task.Stopped, task.Checkpointed}).Draw(w.t, "end"))
		}
	case "restart":
		w.agents[agent] = w.newAgent(agent)
	case "takeover":
		w.takeOver()
	case "cancel":
		w.workers[agent].lose = true
		w.cancel(l)
	case "die":
		w.die(agent)
	}
	_ = w.leads[len(w.leads)-1].Renew(w.ctx)
	time.Sleep(100 * time.Millisecond)
}

// deliver hands an agent a message that was on its way for long, and has it act on it.
func (w *world) deliver() {
	if len(w.late) == 0 {
		return
	}
	m := w.late[rapid.IntRange(0, len(w.late)-1).Draw(w.t, "message")]
	if w.workers[m.agent].dead {
		return
	}
	_, _ = w.agents[m.agent].takeDesired(w.ctx, nil, m.desired)
	w.agents[m.agent].reconcile(w.ctx)
}

// scale edits the replicas of the service.
func (w *world) scale() {
	w.scaled = true
	record := w.store.records[lead.TableKey]
	current, err := table.Decode(record.Value())
	w.must(err)
	text := strings.Replace(protocolTable, "100,2,100", fmt.Sprintf("100,%d,100", rapid.IntRange(1, 2).Draw(w.t, "replicas")), 1)
	w.edit(current, text)
	for _, l := range w.leads {
		w.must(l.LoadTable(w.ctx))
	}
}

// edit makes a text the table.
func (w *world) edit(current table.Table, text string) {
	rows, err := table.Parse([]byte(text))
	w.must(err)
	applied, err := current.Apply(table.NewEdit(current.Version(), rows, "x", fmt.Sprint(current.Version())), time.Now())
	w.must(err)
	value, err := table.Encode(applied)
	w.must(err)
	w.store.records[lead.TableKey] = store.NewRecord(store.Version(applied.Version()), value)
}

// submit hands a job to a lead, whose commit comes with a later step or is made here.
func (w *world) submit(l *lead.Lead) {
	if len(w.jobs) >= 4 {
		return
	}
	id := fmt.Sprint("job-", len(w.jobs))
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Submit(w.ctx, nil, control.Submit{ID: id, Workload: "mailing", Tasks: 3, Millis: time.Now().UnixMilli()})
		accepted <- err
	}()
	synctest.Wait()
	_ = l.CommitOnce(w.ctx)
	if err := <-accepted; err == nil {
		w.jobs = append(w.jobs, id)
	}
}

func (w *world) cancel(l *lead.Lead) {
	if len(w.jobs) == 0 || rapid.IntRange(0, 3).Draw(w.t, "cancel") > 0 {
		return
	}
	id := w.jobs[rapid.IntRange(0, len(w.jobs)-1).Draw(w.t, "job")]
	done := make(chan struct{})
	w.canceled[id] = true
	go func() {
		defer close(done)
		_, _ = l.Cancel(w.ctx, nil, control.JobQuery{ID: id})
	}()
	synctest.Wait()
	_ = l.CommitOnce(w.ctx)
	// A cancellation that is refused or in doubt may or may not end the job, and either is right.
	<-done
}

// die ends a VM for good, and the list says so; one is left at the least.
func (w *world) die(agent int) {
	last := w.leads[len(w.leads)-1]
	alive := 0
	for _, f := range w.workers {
		if !f.dead {
			alive++
		}
	}
	if alive > 2 {
		w.workers[agent].dead = true
		for r, s := range w.workers[agent].runs {
			if s.State() == task.Finished {
				// Nobody may know of it any more, so it may run again.
				w.finished[r.ID()]--
			}
		}
		for range 10 {
			time.Sleep(time.Second)
			_ = last.Renew(w.ctx)
		}
		w.list(last)
	}
}

func TestMain(m *testing.M) {
	proptest.FixSeed()
	proptest.Checks("700")
	os.Exit(m.Run())
}

// bubbled hides the deadline of a test, which may not be asked for in a bubble of fake time.
type bubbled struct{ rapid.TB }

func TestProtocolKeepsTheBooks(t *testing.T) {
	y := &tally{}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbled{t}, y.protocol)
	})
	t.Logf("%+v", *y)
	if y.moves == 0 || y.finished == 0 {
		t.Fatalf("the property moved or finished nothing: %+v", *y)
	}
}
