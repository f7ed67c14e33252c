package agent

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// newAdoptedAgent returns an agent that has adopted a task of 6 processors on its worker of 8.
func newAdoptedAgent(t *testing.T) (*Agent, *fakeWorker) {
	t.Helper()
	f := &fakeWorker{instance: "vm-0", runs: make(map[task.Run]worker.Status), model: &clusterModel{}}
	adopted := task.NewRun(task.NewID("old", 0), 1)
	f.runs[adopted] = worker.NewStatus(adopted, "mailing", task.Running, resource.New(6000, 100, 0))
	clock := timeline.NewClock(time.Now)
	a := New(Config{Boot: "boot", Worker: f, Logger: logging.Discard(), Clock: clock, Recorder: timeline.NewRecorder(clock, "x", 8)})
	assert.NilError(t, a.tryAdopt(t.Context()))
	return a, f
}

func desired(position control.Position, boot string, names ...string) control.Desired {
	d := control.Desired{Position: position, Boot: boot}
	for i, name := range names {
		run := control.Run{Job: name, Incarnation: uint64(i + 1)}
		d.Runs = append(d.Runs, control.DesiredRun{Run: run, Workload: "mailing", Size: control.Size{3000, 100}})
	}
	return d
}

func TestAdoptedRunsCountBeforeNewRunsAreAdmitted(t *testing.T) {
	a, f := newAdoptedAgent(t)
	f.model.starts = make(map[task.Run]int)
	_, err := a.acceptDesired(t.Context(), nil, desired(control.Position{Epoch: 1, Revision: 1}, "boot", "old", "new"))
	assert.NilError(t, err)
	a.startWanted(t.Context())
	a.markWanted()
	a.startWanted(t.Context())
	assert.Equal(t, len(f.runs), 1)
	message, _ := a.composeHeartbeat(true)
	assert.Equal(t, len(message.Reports), 1)
	assert.Equal(t, message.Reports[0].State, task.Refused.String())
}

// desiredChange returns a message that removes the run "a" and adds "b".
func desiredChange(base, position control.Position) control.Desired {
	d := desired(position, "boot", "b")
	d.Base, d.Removed = base, []control.Run{{Job: "a", Incarnation: 1}}
	return d
}

func TestDesiredChangeIsMerged(t *testing.T) {
	first, second := control.Position{Epoch: 1, Revision: 1}, control.Position{Epoch: 1, Revision: 2}
	got := mergeDesired(desired(first, "boot", "a", "c"), desiredChange(first, second))
	assert.Equal(t, len(got.Runs), 2)
	assert.Equal(t, got.Runs[0].Run.Job, "b")
	assert.Equal(t, got.Runs[1].Run.Job, "c")
	assert.Assert(t, got.IsFull() && got.Position == second)
}

func TestAcceptDesired(t *testing.T) {
	current := control.Position{Epoch: 2, Revision: 5}
	cases := []struct {
		name string
		d    control.Desired
		want fault.Kind
	}{
		{"newer", desired(control.Position{Epoch: 2, Revision: 6}, "boot"), -1},
		{"the same again", desired(current, "boot"), -1},
		{"of a later leader", desired(control.Position{Epoch: 3, Revision: 1}, "boot"), -1},
		{"older", desired(control.Position{Epoch: 2, Revision: 4}, "boot"), fault.Stale},
		{"of an earlier leader", desired(control.Position{Epoch: 1, Revision: 9}, "boot"), fault.Stale},
		{"a change of the current position", desiredChange(current, control.Position{Epoch: 2, Revision: 6}), -1},
		{"a change of another position", desiredChange(control.Position{Epoch: 2, Revision: 4}, control.Position{Epoch: 2, Revision: 6}), fault.Stale},
		{"for an earlier incarnation of the agent", desired(control.Position{Epoch: 2, Revision: 6}, "before"), fault.Stale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, _ := newAdoptedAgent(t)
			_, err := a.acceptDesired(t.Context(), nil, desired(current, "boot"))
			assert.NilError(t, err)
			_, err = a.acceptDesired(t.Context(), nil, c.d)
			if c.want < 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, fault.KindOf(err), c.want)
		})
	}
}

func TestAnswerOfEarlierLeaderIsRejected(t *testing.T) {
	a, _ := newAdoptedAgent(t)
	_, err := a.acceptDesired(t.Context(), nil, desired(control.Position{Epoch: 2, Revision: 5}, "boot"))
	assert.NilError(t, err)
	outdated := control.HeartbeatAnswer{Known: true, Epoch: 1, Acked: []control.Run{{Job: "old", Incarnation: 1}}}
	assert.Equal(t, fault.KindOf(a.applyAnswer(t.Context(), nil, outdated, sentState{})), fault.Stale)
	assert.Equal(t, len(a.runs), 1)
}

// A leader that was waiting for a slow store answered an entry's call before its document was loaded, and crashed.
func TestLeaderRejectsCallsBeforeItIsReady(t *testing.T) {
	a, _ := newAdoptedAgent(t)
	a.leader = leader.New(leader.Config{Cell: "h-0"})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := rpc.Serve(listener, "secret", a.mux, rpc.ProcessLimits())
	defer server.Close()
	peer, err := rpc.Dial(t.Context(), listener.Addr().String(), "secret", rpc.NewMux(a.Clock))
	assert.NilError(t, err)
	defer peer.Close()
	_, err = rpc.Call[control.Subscribe, control.SubscribeAnswer](t.Context(), peer, control.MethodSubscribe, control.Subscribe{})
	assert.Equal(t, fault.KindOf(err), fault.Stale)
}
