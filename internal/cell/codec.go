package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// documentWire is the stored form of a document. A document without lost runs is stored in the form of the previous release, which can
// read it during a rolling upgrade.
type documentWire[T taskWire | previousTaskWire] struct {
	_      struct{} `cbor:",toarray"`
	Epoch  uint64
	Leader string
	// LastIncarnation is the highest incarnation assigned so far.
	LastIncarnation uint64
	Jobs            []jobWire
	Ended           []jobWire
	// Names holds each job, workload and VM instance name once; tasks refer to them by index.
	Names []string
	Tasks []T
}

type jobWire struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Workload        string
	Payload         string
	Tasks           int
	NextIndex       int
	Finished        int
	Failed          int
	Evictions       int
	Canceled        bool
	SubmittedMillis int64
}

// taskWire is the stored form of a task with the number of its runs lost in a row.
type taskWire struct {
	_      struct{} `cbor:",toarray"`
	Task   previousTaskWire
	Losses int
}

// previousTaskWire is the stored form of a task in the previous release.
type previousTaskWire struct {
	_            struct{} `cbor:",toarray"`
	Job          int
	Index        int
	Workload     int
	Service      bool
	Retired      bool
	Incarnation  uint64
	Instance     int
	Processors   int64
	Memory       int64
	Accelerators int64
	Checkpoint   string
	Failures     int
	Evictions    int
}

type nameTable struct {
	list    []string
	indexes map[string]int
}

func (n *nameTable) index(name string) int {
	if i, ok := n.indexes[name]; ok {
		return i
	}
	n.indexes[name] = len(n.list)
	n.list = append(n.list, name)
	return len(n.list) - 1
}

// Encode returns the stored form of the document.
func Encode(d *Document) ([]byte, error) {
	value, err := d.marshal()
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the cell's document cannot be encoded")
	}
	return value, nil
}

func (d *Document) marshal() ([]byte, error) {
	if d.hasLosses() {
		return cbor.Marshal(encodeDocument(d, func(t Task, names *nameTable) taskWire {
			return taskWire{Task: encodeTask(t, names), Losses: t.losses.Total()}
		}))
	}
	return cbor.Marshal(encodeDocument(d, encodeTask))
}

func (d *Document) hasLosses() bool {
	for _, t := range d.tasks {
		if t.losses.Total() > 0 {
			return true
		}
	}
	return false
}

func encodeDocument[T taskWire | previousTaskWire](d *Document, encode func(Task, *nameTable) T) documentWire[T] {
	names := &nameTable{indexes: make(map[string]int)}
	wire := documentWire[T]{Epoch: d.epoch, Leader: d.leader, LastIncarnation: uint64(d.lastIncarnation)}
	for _, j := range d.Jobs() {
		wire.Jobs = append(wire.Jobs, encodeJob(j))
	}
	for _, j := range d.endedJobs {
		wire.Ended = append(wire.Ended, encodeJob(j))
	}
	for _, t := range d.Tasks() {
		wire.Tasks = append(wire.Tasks, encode(t, names))
	}
	wire.Names = names.list
	return wire
}

func encodeJob(j Job) jobWire {
	return jobWire{
		ID: j.id, Workload: j.workload, Payload: j.payload, Tasks: j.tasks, NextIndex: j.nextIndex, Finished: j.finished,
		Failed: j.failed, Evictions: j.evictions, Canceled: j.canceled, SubmittedMillis: j.submitted.UnixMilli(),
	}
}

func encodeTask(t Task, names *nameTable) previousTaskWire {
	return previousTaskWire{
		Job: names.index(t.id.Job()), Index: t.id.Index(), Workload: names.index(t.workload),
		Service: t.service, Retired: t.retired, Incarnation: uint64(t.incarnation), Instance: names.index(t.instance),
		Processors: t.size.Processors(), Memory: t.size.Memory(), Accelerators: t.size.Accelerators(),
		Checkpoint: t.checkpoint, Failures: t.failures, Evictions: t.evictions,
	}
}

// Decode returns the document of a value stored by this or the previous release, or a new document for an empty value.
func Decode(value []byte) (*Document, error) {
	if len(value) == 0 {
		return New(), nil
	}
	var wire documentWire[taskWire]
	if err := cbor.Unmarshal(value, &wire); err == nil {
		return wire.decode(taskWire.decode)
	}
	var previous documentWire[previousTaskWire]
	if err := cbor.Unmarshal(value, &previous); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the stored document of the cell cannot be read")
	}
	return previous.decode(previousTaskWire.decode)
}

func (w documentWire[T]) decode(decode func(T, []string) (*Task, error)) (*Document, error) {
	d := New()
	d.epoch, d.leader, d.lastIncarnation = w.Epoch, w.Leader, task.Incarnation(w.LastIncarnation)
	for _, stored := range w.Jobs {
		j := decodeJob(stored)
		d.jobs[j.id] = &j
	}
	for _, stored := range w.Ended {
		d.endedJobs = append(d.endedJobs, decodeJob(stored))
	}
	for _, stored := range w.Tasks {
		t, err := decode(stored, w.Names)
		if err != nil {
			return nil, err
		}
		d.tasks[t.id] = t
	}
	return d, nil
}

func decodeJob(w jobWire) Job {
	return Job{
		id: w.ID, workload: w.Workload, payload: w.Payload, tasks: w.Tasks, nextIndex: w.NextIndex, finished: w.Finished,
		failed: w.Failed, evictions: w.Evictions, canceled: w.Canceled, submitted: time.UnixMilli(w.SubmittedMillis),
	}
}

func (w taskWire) decode(names []string) (*Task, error) {
	t, err := w.Task.decode(names)
	if err != nil {
		return nil, err
	}
	// The lifetime of none of the lost runs is known, and all their VMs are gone.
	t.losses = crash.NewLosses(w.Losses, w.Losses, 0, w.Losses, 0)
	return t, nil
}

func (w previousTaskWire) decode(names []string) (*Task, error) {
	for _, index := range []int{w.Job, w.Workload, w.Instance} {
		if index < 0 || index >= len(names) {
			return nil, fault.New(fault.Internal, "the stored document of the cell refers to name %d of %d", index, len(names))
		}
	}
	return &Task{
		id: task.NewID(names[w.Job], w.Index), workload: names[w.Workload], service: w.Service, retired: w.Retired,
		incarnation: task.Incarnation(w.Incarnation), instance: names[w.Instance],
		size:       resource.New(w.Processors, w.Memory, w.Accelerators),
		checkpoint: w.Checkpoint, failures: w.Failures, evictions: w.Evictions,
	}, nil
}
