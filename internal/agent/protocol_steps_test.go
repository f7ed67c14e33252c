package agent

import (
	"fmt"
	"strings"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

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
	record := w.store.records[leader.TableKey]
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
	w.store.records[leader.TableKey] = store.NewRecord(store.Version(applied.Version()), value)
}

// submit hands a job to a lead, whose commit comes with a later step or is made here.
func (w *world) submit(l *leader.Leader) {
	if len(w.jobs) >= 4 {
		return
	}
	id := fmt.Sprint("job-", len(w.jobs))
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Submit(w.ctx, nil, control.Submit{ID: id, Workload: "mailing", Tasks: 3, SubmittedMillis: time.Now().UnixMilli()})
		accepted <- err
	}()
	synctest.Wait()
	_ = l.CommitOnce(w.ctx)
	if err := <-accepted; err == nil {
		w.jobs = append(w.jobs, id)
	}
}

func (w *world) cancel(l *leader.Leader) {
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
