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

// actions are the possible actions of a step; repeated actions are drawn more often.
var actions = []string{
	"round", "round", "round", "beat", "beat", "reconcile", "commit", "commit", "late", "late", "late",
	"submit", "scale", "end", "end", "end", "restart", "restart", "takeover", "cancel", "die",
}

func (m *clusterModel) step() {
	action := rapid.SampledFrom(actions).Draw(m.t, "action")
	agent := rapid.IntRange(0, len(m.agents)-1).Draw(m.t, "agent")
	l := m.leaders[rapid.IntRange(max(0, len(m.leaders)-2), len(m.leaders)-1).Draw(m.t, "lead")]
	if m.workers[agent].lost {
		// The agent is lost with its VM.
		return
	}
	switch action {
	case "round":
		m.sendHeartbeat(agent, l, 2)
		m.agents[agent].reconcile(m.ctx)
		m.sendHeartbeat(agent, l, 2)
		_ = l.CommitOnce(m.ctx)
	case "beat":
		m.sendHeartbeat(agent, l, rapid.IntRange(0, 2).Draw(m.t, "fate"))
	case "reconcile":
		m.agents[agent].reconcile(m.ctx)
	case "commit":
		m.store.failNext = rapid.SampledFrom([]fault.Kind{fault.Internal, fault.Internal, fault.OutcomeUnknown, fault.Unavailable}).Draw(m.t, "store")
		_ = l.CommitOnce(m.ctx)
		m.store.failNext = fault.Internal
	case "late":
		m.deliverDelayed()
	case "submit":
		m.submit(l)
	case "scale":
		m.scale()
	case "end":
		if f, r, ok := m.randomRun(); ok {
			_ = f.end(r, rapid.SampledFrom([]task.State{task.Finished, task.Failed, task.Stopped, task.Checkpointed}).Draw(m.t, "end"))
		}
	case "restart":
		m.agents[agent] = m.newAgent(agent)
	case "takeover":
		m.takeOver()
	case "cancel":
		m.workers[agent].loseNextAnswer = true
		m.cancel(l)
	case "die":
		m.loseVM(agent)
	}
	_ = m.leaders[len(m.leaders)-1].Renew(m.ctx)
	time.Sleep(100 * time.Millisecond)
}

// deliverDelayed delivers a delayed message to its agent and reconciles.
func (m *clusterModel) deliverDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	message := m.delayed[rapid.IntRange(0, len(m.delayed)-1).Draw(m.t, "message")]
	if m.workers[message.agent].lost {
		return
	}
	_, _ = m.agents[message.agent].acceptDesired(m.ctx, nil, message.desired)
	m.agents[message.agent].reconcile(m.ctx)
}

// scale edits the number of replicas of the service.
func (m *clusterModel) scale() {
	m.replicasEdited = true
	record := m.store.records[leader.TableKey]
	current, err := table.Decode(record.Value())
	m.must(err)
	text := strings.Replace(protocolTable, "100,2,100", fmt.Sprintf("100,%d,100", rapid.IntRange(1, 2).Draw(m.t, "replicas")), 1)
	m.edit(current, text)
	for _, l := range m.leaders {
		m.must(l.LoadTable(m.ctx))
	}
}

// edit stores a text as the next version of the table.
func (m *clusterModel) edit(current table.Table, text string) {
	rows, err := table.Parse([]byte(text))
	m.must(err)
	updated, err := current.Apply(table.NewEdit(current.Version(), rows, "x", fmt.Sprint(current.Version())), time.Now())
	m.must(err)
	value, err := table.Encode(updated)
	m.must(err)
	m.store.records[leader.TableKey] = store.NewRecord(store.Version(updated.Version()), value)
}

// submit submits a job to a leader and runs one commit.
func (m *clusterModel) submit(l *leader.Leader) {
	if len(m.jobs) >= 4 {
		return
	}
	id := fmt.Sprint("job-", len(m.jobs))
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Submit(m.ctx, nil, control.Submit{ID: id, Workload: "mailing", Tasks: 3, SubmittedMillis: time.Now().UnixMilli()})
		accepted <- err
	}()
	synctest.Wait()
	_ = l.CommitOnce(m.ctx)
	if err := <-accepted; err == nil {
		m.jobs = append(m.jobs, id)
	}
}

func (m *clusterModel) cancel(l *leader.Leader) {
	if len(m.jobs) == 0 || rapid.IntRange(0, 3).Draw(m.t, "cancel") > 0 {
		return
	}
	id := m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(m.t, "job")]
	done := make(chan struct{})
	m.canceled[id] = true
	go func() {
		defer close(done)
		_, _ = l.Cancel(m.ctx, nil, control.JobQuery{ID: id})
	}()
	synctest.Wait()
	_ = l.CommitOnce(m.ctx)
	// If the cancellation is refused or its outcome is unknown, the job may end or continue.
	<-done
}

// loseVM removes a VM permanently and updates the VM list, unless only two VMs are left.
func (m *clusterModel) loseVM(agent int) {
	last := m.leaders[len(m.leaders)-1]
	alive := 0
	for _, f := range m.workers {
		if !f.lost {
			alive++
		}
	}
	if alive > 2 {
		m.workers[agent].lost = true
		for r, s := range m.workers[agent].runs {
			if s.State() == task.Finished {
				// Its end may not have been reported, so the task may run again.
				m.finished[r.ID()]--
			}
		}
		for range 10 {
			time.Sleep(time.Second)
			_ = last.Renew(m.ctx)
		}
		m.updateVMs(last)
	}
}
