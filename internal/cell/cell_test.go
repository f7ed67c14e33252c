package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

var size = resource.New(1000, 100, 0)

// placedDocument returns a document with a job of two tasks, the first of which is placed.
func placedDocument(t *testing.T) (*Document, task.Run) {
	t.Helper()
	d := New()
	d.TakeOver("agent")
	d.Submit(NewJob("job", "mailing", "", 2, time.Unix(1, 0)))
	r, err := d.Assign(task.NewID("job", 0), "vm-1", size)
	assert.NilError(t, err)
	return d, r
}

func TestAssignRejectsTasksThatDoNotWait(t *testing.T) {
	d, _ := placedDocument(t)
	for _, id := range []task.ID{task.NewID("job", 0), task.NewID("job", 2), task.NewID("other", 0)} {
		_, err := d.Assign(id, "vm-2", size)
		assert.Equal(t, fault.KindOf(err), fault.Conflict, id.String())
	}
	assert.NilError(t, d.Cancel("job"))
	_, err := d.Assign(task.NewID("job", 1), "vm-2", size)
	assert.Equal(t, fault.KindOf(err), fault.Conflict)
}

func TestReportIsAppliedOnce(t *testing.T) {
	for _, state := range []task.State{task.Finished, task.Failed, task.Checkpointed, task.Stopped, task.Refused} {
		t.Run(state.String(), func(t *testing.T) {
			d, r := placedDocument(t)
			assert.Assert(t, d.Report(NewReport(r, state, "ref"), 5))
			assert.Assert(t, !d.Report(NewReport(r, state, "ref"), 5))
			j, _ := d.Job("job")
			assert.Assert(t, j.Finished() <= 1 && j.Evictions() <= 1)
		})
	}
}

func TestReportOfEarlierRunIsIgnored(t *testing.T) {
	d, first := placedDocument(t)
	d.Report(NewReport(first, task.Checkpointed, "ref"), 5)
	second, err := d.Assign(first.ID(), "vm-2", size)
	assert.NilError(t, err)
	assert.Assert(t, second.Incarnation() > first.Incarnation())
	assert.Assert(t, !d.Report(NewReport(first, task.Finished, ""), 5))
	current, _ := d.Task(first.ID())
	assert.Equal(t, current.Instance(), "vm-2")
	assert.Equal(t, current.Checkpoint(), "ref")
}

func TestJobEnds(t *testing.T) {
	cases := []struct {
		name   string
		states []task.State
		want   JobState
	}{
		{"all finish", []task.State{task.Finished, task.Finished}, JobFinished},
		{"one is given up", []task.State{task.Finished, task.Failed}, JobFailed},
		{"one is evicted", []task.State{task.Finished, task.Checkpointed}, JobRunning},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, r := placedDocument(t)
			other, err := d.Assign(task.NewID("job", 1), "vm-1", size)
			assert.NilError(t, err)
			d.Report(NewReport(r, c.states[0], ""), 1)
			d.Report(NewReport(other, c.states[1], ""), 1)
			j, _ := d.Job("job")
			assert.Equal(t, j.State(), c.want)
		})
	}
}

func TestRecreatedReplicaGetsNewIncarnation(t *testing.T) {
	d := New()
	d.Scale("lookups", 2)
	first, err := d.Assign(task.NewID("lookups", 1), "vm-1", size)
	assert.NilError(t, err)
	d.Scale("lookups", 1)
	d.Report(NewReport(first, task.Stopped, ""), 0)
	d.Scale("lookups", 2)
	second, err := d.Assign(task.NewID("lookups", 1), "vm-1", size)
	assert.NilError(t, err)
	assert.Assert(t, second.Incarnation() > first.Incarnation())
}

func TestCodecRoundTrip(t *testing.T) {
	d, r := placedDocument(t)
	d.Report(NewReport(r, task.Checkpointed, "ref"), 5)
	d.Scale("lookups", 3)
	_, err := d.Assign(task.NewID("lookups", 1), "vm-3", size)
	assert.NilError(t, err)
	d.Submit(NewJob("canceled", "mailing", "p", 1, time.Unix(2, 0)))
	assert.NilError(t, d.Cancel("canceled"))
	value, err := Encode(d)
	assert.NilError(t, err)
	decoded, err := Decode(value)
	assert.NilError(t, err)
	encodedAgain, err := Encode(decoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, value, encodedAgain)
	assert.Equal(t, decoded.PlacedOn("vm-3")[0], d.PlacedOn("vm-3")[0])
}

func FuzzDecode(f *testing.F) {
	d := New()
	d.Submit(NewJob("job", "mailing", "p", 3, time.Unix(1, 0)))
	_, _ = d.Assign(task.NewID("job", 0), "vm-1", size)
	value, _ := Encode(d)
	f.Add(value)
	d.LoseInstance("vm-1")
	value, _ = Encode(d)
	f.Add(value)
	f.Add([]byte{0x87, 0, 0x60, 0, 0x80, 0x80, 0x80, 0x80})
	f.Fuzz(func(t *testing.T, value []byte) {
		d, err := Decode(value)
		if err == nil {
			_, err = Encode(d)
			assert.NilError(t, err)
		}
	})
}
