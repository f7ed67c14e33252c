package agent

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/leader"
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
	leads    []*leader.Leader
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
	l := leader.New(leader.Config{
		Cell: "h-0", Agent: fmt.Sprint("lead-", len(w.leads)), Store: w.store, Logger: logging.Discard(),
		Recorder: timeline.NewRecorder(clock, "x", 1),
		Address:  fmt.Sprint("address-", len(w.leads)),
		Timing:   leader.Timing{Lease: leaseTime, Heartbeat: time.Second, CommitRate: 1 << 20},
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

func (w *world) list(l *leader.Leader) {
	var vms []vmlist.VM
	for _, f := range w.workers {
		state := vmlist.Live
		if f.dead {
			state = vmlist.Gone
		}
		vms = append(vms, vmlist.NewVM(f.instance, "h", 1, state))
	}
	l.UpdateVMs(vms)
}

// beat sends a heartbeat; its answer arrives now, late, or never.
func (w *world) beat(agent int, l *leader.Leader, fate int) {
	a := w.agents[agent]
	if w.workers[agent].dead {
		return
	}
	message, sent := a.compose(true)
	answer, err := l.Heartbeat(w.ctx, &rpc.Peer{}, message)
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

func TestMain(m *testing.M) {
	proptest.FixSeed()
	proptest.SetChecks("700")
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
