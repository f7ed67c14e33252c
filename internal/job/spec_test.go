package job

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

func TestCheckRejectsInvalidSpec(t *testing.T) {
	oneStep := []Step{{Count: 1}}
	for message, spec := range map[string]Spec{
		"has no steps":       {},
		"the text has":       {Text: strings.Repeat("x", MaxText+1), Steps: oneStep},
		"step 0 has 0 tasks": {Steps: []Step{{}}},
		"negative number":    {Steps: []Step{{Count: 1, Size: Size{CPU: -1}}}},
		"is not before it":   {Steps: []Step{{Count: 1, DependsOn: []int{0}}}},
		"repeats -1 times":   {Steps: oneStep, Iterations: -1},
		"has 40000 tasks":    {Steps: []Step{{Count: MaxTasks}, {Count: MaxTasks}}},
	} {
		err := spec.Check()
		assert.ErrorContains(t, err, message)
		assert.Assert(t, fault.Is(err, fault.BadInput))
	}
	assert.NilError(t, Spec{Steps: oneStep}.Check())
}

func TestTaskIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 1000)
		id := TaskID{
			Job: ID(rapid.StringMatching("[0-9a-f]{16}").Draw(t, "job")), Iteration: number.Draw(t, "time"),
			Step: number.Draw(t, "step"), Index: number.Draw(t, "index"),
		}
		read, ok := ParseTaskID(id.String())
		assert.Assert(t, ok)
		assert.Equal(t, read, id)
	})
	for _, invalid := range []string{"", "a.b", "a.0.0.-1", "a.0.0.0.0", "a.0.0.x"} {
		_, ok := ParseTaskID(invalid)
		assert.Assert(t, !ok, invalid)
	}
}

func TestCriticalPathAndRemainingWork(t *testing.T) {
	spec := Spec{Steps: []Step{
		{Count: 2, Estimate: time.Second, Size: Size{CPU: 500}},
		{Count: 1, Estimate: 3 * time.Second, Size: Size{CPU: 2000}},
		{Count: 1, Estimate: time.Second, DependsOn: []int{0, 1}, Size: Size{CPU: 1000}},
	}}
	assert.Equal(t, spec.CriticalPath(), 4*time.Second)
	j := New("00000000000000aa", spec, Queue{Stretch: 1.5, Target: 250 * time.Millisecond}, time.Unix(1, 0))
	assert.Equal(t, j.Objective(), 6250*time.Millisecond)
	assert.Equal(t, j.RemainingWork(0, j.spec.Estimate), 8.0)
}

// TestDecodesHistoriesOfPreviousRelease guards rolling upgrades while jobs have crash histories.
func TestDecodesHistoriesOfPreviousRelease(t *testing.T) {
	const id ID = "00000000000000aa"
	data, err := cbor.Marshal(storedProgressWithCrashes[previousHistory]{
		State: int(Running), Tasks: []storedTask{{Run: 2}}, Histories: []previousHistory{{LikelyCrashes: 1, PossibleCrashes: 2, CrashRun: 2}},
	})
	assert.NilError(t, err)
	j := New(id, Spec{Steps: []Step{{Count: 1}}}, Queue{}, time.Unix(1, 0))
	assert.NilError(t, j.ApplyProgress(data))
	assert.Equal(t, j.CrashHistory(TaskID{Job: id}), crash.NewHistory(1, 2))
	assert.Assert(t, j.LastCrashCounted(TaskID{Job: id}, 2))
}

// settledHost is the state of a host whose agent bounds its lease, without unsettled runs.
func settledHost(Host) HostState { return HostState{} }

// TestLeasesOfWorkersAreStored guards against a new leader that doesn't know that the lease of a restarted worker outlasts that of its agent, or that a start
// is outstanding there, and checks that leaders of the previous release can read what is stored.
func TestLeasesOfWorkersAreStored(t *testing.T) {
	const id ID = "00000000000000aa"
	spec := Spec{Steps: []Step{{Count: 2}}}
	hosts := []Host{{VM: "a", Incarnation: incarnation.New("i-1", 7)}, {VM: "b", Incarnation: incarnation.New("i-2", 8)}}
	j := New(id, spec, Queue{}, time.Unix(1, 0))
	for i, h := range hosts {
		j.Place(TaskID{Job: id, Index: i}, h, 0)
	}
	for _, states := range [][]HostState{{{}, {}}, {{}, {Lease: 6 * time.Second}}, {{Unsettled: true}, {}}, {{Lease: time.Second}, {Lease: time.Second, Unsettled: true}}} {
		data, _, err := j.EncodeProgress(MaxStoredCheckpoints, func(h Host) HostState { return states[slices.Index(hosts, h)] })
		assert.NilError(t, err)
		decoded := New(id, spec, Queue{}, time.Unix(1, 0))
		assert.NilError(t, decoded.ApplyProgress(data))
		for i, state := range states {
			assert.Equal(t, decoded.Task(TaskID{Job: id, Index: i}).Host(), hosts[i])
			assert.Equal(t, decoded.StoredHost(hosts[i]), state)
		}
		var previous storedProgress
		assert.NilError(t, cbor.Unmarshal(data, &previous))
		assert.Equal(t, slices.IndexFunc(previous.Hosts, func(h storedHost) bool { return h.VM == "" }), len(hosts), "start times follow the hosts")
		assert.Equal(t, previous.Hosts[len(hosts)+1].Instance, "8")
	}
}

// TestStartTimesOfWorkersAreStored checks that start times are stored in a form that leaders of the previous release ignore.
func TestStartTimesOfWorkersAreStored(t *testing.T) {
	const id ID = "00000000000000aa"
	spec := Spec{Steps: []Step{{Count: 3}}}
	hosts := []Host{
		{VM: "a", Incarnation: incarnation.New("i-1", 1_700_000_000_000)}, {VM: "b", Incarnation: incarnation.New("i-2", 0)},
		{VM: "c", Incarnation: incarnation.New("i-3", 7)},
	}
	j := New(id, spec, Queue{}, time.Unix(1, 0))
	for i, h := range hosts {
		j.Place(TaskID{Job: id, Index: i}, h, 0)
	}
	data, _, err := j.EncodeProgress(MaxStoredCheckpoints, settledHost)
	assert.NilError(t, err)
	decoded := New(id, spec, Queue{}, time.Unix(1, 0))
	assert.NilError(t, decoded.ApplyProgress(data))
	var previous storedProgress
	assert.NilError(t, cbor.Unmarshal(data, &previous))
	for i, h := range hosts {
		assert.Equal(t, decoded.Task(TaskID{Job: id, Index: i}).Host(), h)
		host := previous.Hosts[previous.Tasks[i].Host-1]
		assert.Equal(t, host.VM, h.VM)
		assert.Equal(t, host.Instance, h.Incarnation.Worker())
	}
	previous.Hosts = previous.Hosts[:len(hosts)]
	data, err = cbor.Marshal(previous)
	assert.NilError(t, err)
	decoded = New(id, spec, Queue{}, time.Unix(1, 0))
	assert.NilError(t, decoded.ApplyProgress(data))
	assert.Equal(t, decoded.Task(TaskID{Job: id, Index: 0}).Host(), Host{VM: "a", Incarnation: incarnation.New("i-1", 0)}, "as stored by the previous release")
}

// FuzzStored checks that any value under a job's keys is either decoded or rejected with an error.
func FuzzStored(f *testing.F) {
	spec := Spec{Steps: []Step{{Count: 2}}}
	j := New("00000000000000aa", spec, Queue{}, time.Unix(1000, 0))
	j.Place(TaskID{Job: j.id}, Host{VM: "a"}, 0)
	for _, suspected := range []bool{false, true} {
		if suspected {
			j.RecordCrash(TaskID{Job: j.id}, 1, crash.NewFinding(crash.LikelyCause, true))
			j.RecordLoss(TaskID{Job: j.id}, 1, crash.UnreachableLoss())
		}
		progress, _, err := j.EncodeProgress(MaxStoredCheckpoints, settledHost)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(progress)
	}
	accepted, err := Encode(spec, Queue{}, time.Unix(1000, 0))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(accepted)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode("00000000000000aa", data)
		_, _ = DecodeState(data)
		_ = New("00000000000000aa", spec, Queue{}, time.Unix(1000, 0)).ApplyProgress(data)
	})
}
