package dispatch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const testService = "desk"

// world is a store, leads of which only the latest is right, agents and workers.
type world struct {
	t       *rapid.T
	ctx     context.Context
	store   *kvtest.Store
	terms   []*term
	agents  []*fakeAgent
	specs   map[job.ID]job.Spec
	ids     []job.ID
	done    map[string]bool
	noted   map[string]bool
	failed  map[string]int
	trouble int
}

const testAttempts = 2

var testCapacity = job.Size{CPU: 4000, Memory: 8000}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, ctx: context.Background(), store: kvtest.New(), specs: make(map[job.ID]job.Spec),
		done: make(map[string]bool), noted: make(map[string]bool), failed: make(map[string]int),
	}
	for i := range 3 {
		a := &fakeAgent{vm: fmt.Sprintf("vm%d", i)}
		a.revive()
		w.agents = append(w.agents, a)
	}
	for len(w.terms) == 0 {
		w.elect()
	}
	return w
}

// elect takes the lead away, which no request shows, and lets another process win it.
func (w *world) elect() {
	w.store.Revoke()
	name := fmt.Sprintf("entry%d", len(w.terms))
	d := New(Config{
		Node: name, Boot: name, Address: name, Strength: 1, Store: w.store, Policies: noPolicies{},
		Lead: follow.New(w.store, record.LeadKey, record.DecodeLead, logging.Discard()), Logger: logging.Discard(),
	})
	t, err := d.stand(w.ctx)
	if err != nil || t.load(w.ctx) != nil {
		return
	}
	w.terms = append(w.terms, t)
}

func (w *world) newest() *term { return w.terms[len(w.terms)-1] }

// submit hands a job in.
func (w *world) submit() {
	id := job.ID(fmt.Sprintf("%016x", len(w.specs)+1))
	steps := []job.Step{w.step()}
	if rapid.Bool().Draw(w.t, "two steps") {
		second := w.step()
		second.DependsOn = []int{0}
		second.Lasting = false
		if !steps[0].Lasting {
			steps = append(steps, second)
		}
	}
	spec := job.Spec{Text: "x", Steps: steps}
	value, err := job.Encode(spec, job.Queue{Name: "q", Service: testService, Attempts: testAttempts, Stretch: 2}, time.Now())
	if err != nil {
		w.t.Fatal(err)
	}
	change := kv.Txn{
		Conditions: []kv.Condition{{Key: record.JobKey(id)}}, Puts: []kv.Put{{Key: record.JobKey(id), Value: value}},
	}
	w.specs[id] = spec
	if _, err := w.store.Commit(w.ctx, change); err == nil {
		w.ids = append(w.ids, id)
	}
}

func (w *world) step() job.Step {
	step := job.Step{
		Count: rapid.IntRange(1, 3).Draw(w.t, "count"), Size: job.Size{CPU: 1000, Memory: 1000}, Estimate: time.Second,
		Checkpoints: true, Image: "i",
	}
	switch rapid.IntRange(0, 4).Draw(w.t, "kind of step") {
	case 0:
		step.Lasting = true
	case 1:
		step.Fills = true
	case 2:
		step.Gang = true
	default:
	}
	return step
}

func (w *world) cancel() {
	if len(w.ids) > 0 {
		w.cancelJob(rapid.SampledFrom(w.ids).Draw(w.t, "canceled"))
	}
}

func (w *world) cancelJob(id job.ID) {
	_, _ = w.store.Commit(w.ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.CancelKey(id)}}, Puts: []kv.Put{{Key: record.CancelKey(id), Value: []byte{1}}},
	})
}

// lead lets one of the leads work; those of the past find out by the store.
func (w *world) lead(t *term) {
	if _, err := t.nextInputs(w.ctx, 0); err != nil {
		w.t.Fatal(err)
	}
	if err := cycle(w.ctx, t); err != nil && t == w.newest() {
		// An election that seemed to fail was done late; its winner does not know and stands again.
		for latest := t; latest == w.newest(); {
			w.elect()
		}
	}
	synctest.Wait()
}

// follow binds an agent to a lead, unless it has followed a later one.
func (w *world) follow(a *fakeAgent, t *term) bool {
	if t.epoch < a.epoch {
		return false
	}
	if t.epoch > a.epoch {
		a.epoch = t.epoch
		a.mail = nil
		a.rejected = nil
	}
	a.worker.fence = max(a.worker.fence, a.epoch)
	return true
}

// report tells a lead what the worker has and takes the permission.
func (w *world) report(a *fakeAgent, t *term) {
	if !w.follow(a, t) {
		return
	}
	a.worker.expire()
	sent := time.Now()
	r := link.Report{
		VM: a.vm, Epoch: a.epoch, Instance: a.worker.instance, Service: testService, CPU: testCapacity.CPU,
		Memory: testCapacity.Memory, Fenced: true, Rejected: a.rejected,
	}
	for _, name := range sortedKeys(a.worker.running) {
		r.Running = append(r.Running, link.Running{Run: link.Run{Task: name, Number: a.worker.running[name].number}, Pace: 100})
	}
	for _, e := range a.worker.ended {
		if e.Sequence > a.seen {
			r.Ended = append(r.Ended, e)
		}
	}
	for _, orders := range a.mail {
		if orders.Instance != a.worker.instance {
			continue
		}
		for _, s := range orders.Starts {
			r.Pending = append(r.Pending, s.Run)
		}
	}
	before := len(a.mail)
	answered := make(chan struct{})
	var answer link.ReportAnswer
	var err error
	go func() {
		defer close(answered)
		answer, err = t.report(mailbox{a}, r)
	}()
	synctest.Wait()
	if t == w.newest() {
		w.lead(t)
	}
	<-answered
	// The orders that the lead sends meanwhile are on a way of their own, so that the answer comes before or after them.
	synctest.Wait()
	var later []link.Orders
	if rapid.Bool().Draw(w.t, "answer before orders") {
		later = slices.Clone(a.mail[before:])
		a.mail = a.mail[:before]
	}
	if err == nil {
		w.take(a, r, answer, sent)
	}
	a.mail = append(a.mail, later...)
}

func (w *world) take(a *fakeAgent, r link.Report, answer link.ReportAnswer, sent time.Time) {
	if sent.After(a.permitted) && !a.permitted.IsZero() {
		a.forsake()
	}
	a.worker.expire()
	a.permitted = later(a.permitted, sent.Add(time.Duration(answer.PermissionMillis)*time.Millisecond))
	if r.Instance != a.worker.instance {
		return
	}
	a.rejected = nil
	a.seen = max(a.seen, answer.Seen)
	a.worker.held = a.permitted
	for _, e := range a.worker.ended {
		// What ended before the worker's time was over may have been given up, by the platform's own reckoning.
		if e.Sequence <= a.worker.lapsed {
			continue
		}
		if e.Sequence <= a.seen && job.End(e.End) == job.EndDone {
			w.noted[e.Task] = true
		}
		if e.Sequence <= a.seen && job.End(e.End) == job.EndFailed {
			w.failed[e.Task]++
		}
	}
	a.worker.ended = slices.DeleteFunc(a.worker.ended, func(e link.Ended) bool { return e.Sequence <= a.seen })
	for name, run := range a.worker.running {
		run.until = a.permitted
		a.worker.running[name] = run
	}
}

// deliver carries out one letter of an agent's mail, not always the oldest.
func (w *world) deliver(a *fakeAgent) {
	if len(a.mail) == 0 {
		return
	}
	n := rapid.IntRange(0, len(a.mail)-1).Draw(w.t, "letter")
	orders := a.mail[n]
	a.mail = slices.Delete(a.mail, n, n+1)
	if orders.Epoch != a.epoch || orders.Instance != a.worker.instance {
		return
	}
	for _, s := range orders.Starts {
		w.start(a, s)
	}
	for _, s := range orders.Stops {
		a.stop(s)
	}
}

func (w *world) start(a *fakeAgent, s link.Start) {
	worker := a.worker
	worker.expire()
	if s.Number <= a.dead[s.Task] {
		return
	}
	if worker.latest[s.Task] < s.Number && (!time.Now().Before(a.permitted) || worker.fence > a.epoch) {
		if worker.latest[s.Task] < s.Number {
			a.dead[s.Task] = s.Number
		}
		a.rejected = append(a.rejected, link.Rejected{Run: s.Run, Refusal: 1})
		return
	}
	if worker.latest[s.Task] >= s.Number {
		if run, runs := worker.running[s.Task]; !runs || run.number != s.Number {
			if !slices.ContainsFunc(worker.ended, func(e link.Ended) bool { return e.Run == s.Run }) {
				a.rejected = append(a.rejected, link.Rejected{Run: s.Run, Refusal: 2})
			}
		}
		return
	}
	w.judge(a, s)
	id, _ := job.ParseTaskID(s.Task)
	worker.latest[s.Task] = s.Number
	worker.running[s.Task] = fakeRun{number: s.Number, until: a.permitted, size: w.specs[id.Job].Steps[id.Step].Room()}
	worker.room(w.t)
}

// judge fails the test where a start must never happen.
func (w *world) judge(a *fakeAgent, s link.Start) {
	id, _ := job.ParseTaskID(s.Task)
	spec, known := w.specs[id.Job]
	if !known {
		w.t.Fatalf("%s: started, but nobody handed it in", s.Task)
	}
	step := spec.Steps[id.Step]
	for _, other := range w.agents {
		other.worker.expire()
		if _, runs := other.worker.running[s.Task]; runs {
			w.t.Fatalf("%s: run %d starts on %s while it runs on %s", s.Task, s.Number, a.vm, other.vm)
		}
	}
	if w.noted[s.Task] && !step.Lasting {
		w.t.Fatalf("%s: run %d starts after its end was taken note of", s.Task, s.Number)
	}
	if w.failed[s.Task] >= testAttempts && !step.Lasting && !step.Gang {
		w.t.Fatalf("%s: run %d starts after %d failures", s.Task, s.Number, w.failed[s.Task])
	}
	for _, d := range step.DependsOn {
		if !w.stepDone(id, d) {
			w.t.Fatalf("%s: starts before step %d is done", s.Task, d)
		}
	}
}

func (w *world) stepDone(id job.TaskID, step int) bool {
	spec := w.specs[id.Job].Steps[step]
	for i := range spec.Count {
		name := job.TaskID{Job: id.Job, Step: step, Index: i}.String()
		if w.done[name] == spec.Gang && spec.Gang {
			return true
		}
		if !spec.Gang && !w.done[name] {
			return false
		}
	}
	return !spec.Gang
}

// finish ends a run of a worker by itself.
func (w *world) finish(a *fakeAgent) {
	a.worker.expire()
	names := sortedKeys(a.worker.running)
	if len(names) == 0 {
		return
	}
	name := rapid.SampledFrom(names).Draw(w.t, "ends")
	id, _ := job.ParseTaskID(name)
	step := w.specs[id.Job].Steps[id.Step]
	end := job.EndDone
	if step.Lasting || rapid.IntRange(0, 5).Draw(w.t, "fails") == 0 {
		end = job.EndFailed
	}
	if step.Gang {
		w.finishGang(id, step.Count, end)
		return
	}
	if end == job.EndDone {
		w.done[name] = true
	}
	a.worker.end(name, end)
}

// finishGang ends all members of a gang together, and as alone where some are missing.
func (w *world) finishGang(id job.TaskID, count int, end job.End) {
	members := make(map[string]*fakeWorker)
	for _, a := range w.agents {
		a.worker.expire()
		for name := range a.worker.running {
			if member, _ := job.ParseTaskID(name); member.Job == id.Job && member.Step == id.Step {
				members[name] = a.worker
			}
		}
	}
	if len(members) < count {
		for _, name := range sortedKeys(members) {
			members[name].end(name, job.EndAlone)
		}
		return
	}
	for n, name := range sortedKeys(members) {
		how := end
		if n > 0 && end == job.EndFailed {
			how = job.EndBroken
		}
		if end == job.EndDone {
			w.done[name] = true
		}
		members[name].end(name, how)
	}
}

// troubled makes some commits fail in each way, but never too many in a row.
func (w *world) troubled() kvtest.Trouble {
	if w.trouble > 2 || rapid.IntRange(0, 3).Draw(w.t, "trouble") > 0 {
		w.trouble = 0
		return kvtest.None
	}
	w.trouble++
	return rapid.SampledFrom([]kvtest.Trouble{kvtest.Refused, kvtest.Lost, kvtest.Late, kvtest.Unsent}).Draw(w.t, "how")
}

func (w *world) act() {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	switch rapid.IntRange(0, 15).Draw(w.t, "act") {
	case 0, 1:
		w.submit()
	case 2:
		w.cancel()
	case 3:
		w.lead(w.newest())
	case 4:
		w.lead(rapid.SampledFrom(w.terms).Draw(w.t, "lead"))
	case 5, 6, 7:
		w.report(a, w.newest())
	case 8:
		w.report(a, rapid.SampledFrom(w.terms).Draw(w.t, "lead"))
	case 9, 10, 11:
		w.deliver(a)
	case 12:
		w.finish(a)
	case 13:
		w.store.Catch()
		time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "ms")) * time.Millisecond)
	case 14:
		if rapid.IntRange(0, 3).Draw(w.t, "new life") == 0 {
			a.revive()
		}
	case 15:
		if rapid.IntRange(0, 2).Draw(w.t, "elects") == 0 {
			w.elect()
		}
	}
}

// settle lets everything work until all jobs that can end have ended.
func (w *world) settle() {
	w.store.SetTrouble(nil)
	w.store.Catch()
	for _, id := range slices.Sorted(maps.Keys(w.specs)) {
		if w.lasts(id) {
			w.cancelJob(id)
		}
	}
	const rounds = 120
	for range rounds {
		time.Sleep(700 * time.Millisecond)
		for _, a := range w.agents {
			w.report(a, w.newest())
			for len(a.mail) > 0 {
				w.deliver(a)
			}
		}
		for _, a := range w.agents {
			w.finish(a)
		}
		w.lead(w.newest())
		if w.settled() {
			return
		}
	}
	for _, id := range w.ids {
		w.t.Logf("%s: %s", id, w.newest().jobs[id].job.State())
	}
	w.t.Fatal("jobs that can end do not end")
}

func (w *world) settled() bool {
	for _, id := range w.ids {
		known := w.newest().jobs[id]
		if known == nil {
			w.t.Fatalf("%s was accepted and is not known", id)
		}
		if !known.job.State().Final() {
			return false
		}
	}
	return true
}

func (w *world) lasts(id job.ID) bool {
	return slices.ContainsFunc(w.specs[id].Steps, func(s job.Step) bool { return s.Lasting })
}

// TestWorld draws interleavings of leads, agents, workers and the store, and judges by what the workers saw.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inFakeTime(t, func() {
			w := newWorld(rt)
			w.store.SetTrouble(w.troubled)
			for range rapid.IntRange(20, 120).Draw(rt, "acts") {
				w.act()
			}
			w.settle()
		})
	})
}

// inFakeTime runs a property in fake time and hands its panic, by which rapid fails, to the caller.
func inFakeTime(t *testing.T, property func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		property()
	})
	// Two places to panic at, since rapid tells failures apart by where they come from.
	if fmt.Sprintf("%T", failed) == "rapid.invalidData" {
		panic(failed)
	}
	if failed != nil {
		panic(failed)
	}
}
