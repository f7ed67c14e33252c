package job

import (
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

func TestCheckRefusesWithASentence(t *testing.T) {
	one := []Step{{Count: 1}}
	for sentence, spec := range map[string]Spec{
		"has no steps":       {},
		"the text has":       {Text: strings.Repeat("x", MaxText+1), Steps: one},
		"step 0 has 0 tasks": {Steps: []Step{{}}},
		"negative number":    {Steps: []Step{{Count: 1, Size: Size{CPU: -1}}}},
		"is not before it":   {Steps: []Step{{Count: 1, DependsOn: []int{0}}}},
		"repeats -1 times":   {Steps: one, Iterations: -1},
		"has 40000 tasks":    {Steps: []Step{{Count: MaxTasks}, {Count: MaxTasks}}},
	} {
		err := spec.Check()
		assert.ErrorContains(t, err, sentence)
		assert.Assert(t, fault.Is(err, fault.BadInput))
	}
	assert.NilError(t, Spec{Steps: one}.Check())
}

func TestTaskIDReadsWhatItWrites(t *testing.T) {
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
	for _, wrong := range []string{"", "a.b", "a.0.0.-1", "a.0.0.0.0", "a.0.0.x"} {
		_, ok := ParseTaskID(wrong)
		assert.Assert(t, !ok, wrong)
	}
}

func TestChainAndWork(t *testing.T) {
	spec := Spec{Steps: []Step{
		{Count: 2, Estimate: time.Second, Size: Size{CPU: 500}},
		{Count: 1, Estimate: 3 * time.Second, Size: Size{CPU: 2000}},
		{Count: 1, Estimate: time.Second, DependsOn: []int{0, 1}, Size: Size{CPU: 1000}},
	}}
	assert.Equal(t, spec.CriticalPath(), 4*time.Second)
	j := New("00000000000000aa", spec, Queue{Stretch: 1.5, Target: 250 * time.Millisecond}, time.Unix(1, 0))
	assert.Equal(t, j.Objective(), 6250*time.Millisecond)
	assert.Equal(t, j.RemainingWork(0), 8.0)
}

// TestSuspectsOfTheReleaseBeforeAreRead, so that a release is rolled out while jobs have some.
func TestSuspectsOfTheReleaseBeforeAreRead(t *testing.T) {
	const id ID = "00000000000000aa"
	data, err := cbor.Marshal(storedHeld[earlierSuspect]{
		State: int(Running), Tasks: []storedTask{{Run: 2}}, Suspects: []earlierSuspect{{Crashes: 1, Doubts: 2, Judged: 2}},
	})
	assert.NilError(t, err)
	j := New(id, Spec{Steps: []Step{{Count: 1}}}, Queue{}, time.Unix(1, 0))
	assert.NilError(t, j.ApplyProgress(data))
	assert.Equal(t, j.Suspicion(TaskID{Job: id}), crash.NewHistory(1, 2))
	assert.Assert(t, j.LastCrashCounted(TaskID{Job: id}, 2))
}

// TestBirthsOfWorkersAreStored, in a form that leaders of the release before read past.
func TestBirthsOfWorkersAreStored(t *testing.T) {
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
	data, err := j.EncodeProgress()
	assert.NilError(t, err)
	read := New(id, spec, Queue{}, time.Unix(1, 0))
	assert.NilError(t, read.ApplyProgress(data))
	var before storedProgress
	assert.NilError(t, cbor.Unmarshal(data, &before))
	for i, h := range hosts {
		assert.Equal(t, read.Task(TaskID{Job: id, Index: i}).Host(), h)
		earlier := before.Hosts[before.Tasks[i].Host-1]
		assert.Equal(t, earlier.VM, h.VM)
		assert.Equal(t, earlier.Instance, h.Incarnation.Worker())
	}
	before.Hosts = before.Hosts[:len(hosts)]
	data, err = cbor.Marshal(before)
	assert.NilError(t, err)
	read = New(id, spec, Queue{}, time.Unix(1, 0))
	assert.NilError(t, read.ApplyProgress(data))
	assert.Equal(t, read.Task(TaskID{Job: id, Index: 0}).Host(), Host{VM: "a", Incarnation: incarnation.New("i-1", 0)}, "as the release before stored it")
}

// FuzzStored: whatever the store holds under a job's keys, it is read or refused.
func FuzzStored(f *testing.F) {
	spec := Spec{Steps: []Step{{Count: 2}}}
	j := New("00000000000000aa", spec, Queue{}, time.Unix(1000, 0))
	j.Place(TaskID{Job: j.id}, Host{VM: "a"}, 0)
	for _, suspected := range []bool{false, true} {
		if suspected {
			j.RecordCrash(TaskID{Job: j.id}, 1, crash.NewFinding(crash.LikelyCause, true))
			j.RecordLoss(TaskID{Job: j.id}, 1, crash.UnreachableLoss())
		}
		progress, err := j.EncodeProgress()
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
