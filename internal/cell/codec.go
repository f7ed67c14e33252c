package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// documentWire is a document. One in which no run was lost is stored as the release before did, which reads it while this one is rolled
// out.
type documentWire[T taskWire | earlierTaskWire] struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Lead  string
	// Starts is the highest incarnation given so far.
	Starts uint64
	Jobs   []jobWire
	Ended  []jobWire
	// Names holds each workload and VM instance once; tasks refer to them by place.
	Names []string
	Tasks []T
}

type jobWire struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Workload  string
	Payload   string
	Tasks     int
	Next      int
	Finished  int
	Failed    int
	Evictions int
	Canceled  bool
	Millis    int64
}

// taskWire is a task with its runs that were lost on end.
type taskWire struct {
	_      struct{} `cbor:",toarray"`
	Task   earlierTaskWire
	Losses int
}

// earlierTaskWire is a task as the release before stored it.
type earlierTaskWire struct {
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

type names struct {
	list   []string
	places map[string]int
}

func (n *names) place(name string) int {
	if i, ok := n.places[name]; ok {
		return i
	}
	n.places[name] = len(n.list)
	n.list = append(n.list, name)
	return len(n.list) - 1
}

// Encode returns the bytes of the document as the store keeps them.
func Encode(d *Document) ([]byte, error) {
	value, err := d.encode()
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the cell's document cannot be encoded")
	}
	return value, nil
}

func (d *Document) encode() ([]byte, error) {
	if d.hasLosses() {
		return cbor.Marshal(wireOf(d, func(t Task, table *names) taskWire {
			return taskWire{Task: encodeTask(t, table), Losses: t.losses.Total()}
		}))
	}
	return cbor.Marshal(wireOf(d, encodeTask))
}

func (d *Document) hasLosses() bool {
	for _, t := range d.tasks {
		if t.losses.Total() > 0 {
			return true
		}
	}
	return false
}

func wireOf[T taskWire | earlierTaskWire](d *Document, encode func(Task, *names) T) documentWire[T] {
	table := &names{places: make(map[string]int)}
	wire := documentWire[T]{Epoch: d.epoch, Lead: d.lead, Starts: uint64(d.starts)}
	for _, j := range d.Jobs() {
		wire.Jobs = append(wire.Jobs, encodeJob(j))
	}
	for _, j := range d.ended {
		wire.Ended = append(wire.Ended, encodeJob(j))
	}
	for _, t := range d.Tasks() {
		wire.Tasks = append(wire.Tasks, encode(t, table))
	}
	wire.Names = table.list
	return wire
}

func encodeJob(j Job) jobWire {
	return jobWire{
		ID: j.id, Workload: j.workload, Payload: j.payload, Tasks: j.tasks, Next: j.next, Finished: j.finished,
		Failed: j.failed, Evictions: j.evictions, Canceled: j.canceled, Millis: j.submitted.UnixMilli(),
	}
}

func encodeTask(t Task, table *names) earlierTaskWire {
	return earlierTaskWire{
		Job: table.place(t.id.Job()), Index: t.id.Index(), Workload: table.place(t.workload),
		Service: t.service, Retired: t.retired, Incarnation: uint64(t.incarnation), Instance: table.place(t.instance),
		Processors: t.size.Processors(), Memory: t.size.Memory(), Accelerators: t.size.Accelerators(),
		Checkpoint: t.checkpoint, Failures: t.failures, Evictions: t.evictions,
	}
}

// Decode returns the document of a stored value, of this release or the one before; no bytes are a new document.
func Decode(value []byte) (*Document, error) {
	if len(value) == 0 {
		return New(), nil
	}
	var wire documentWire[taskWire]
	if err := cbor.Unmarshal(value, &wire); err == nil {
		return wire.document(taskWire.decode)
	}
	var earlier documentWire[earlierTaskWire]
	if err := cbor.Unmarshal(value, &earlier); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the stored document of the cell cannot be read")
	}
	return earlier.document(earlierTaskWire.decode)
}

func (w documentWire[T]) document(decode func(T, []string) (*Task, error)) (*Document, error) {
	d := New()
	d.epoch, d.lead, d.starts = w.Epoch, w.Lead, task.Incarnation(w.Starts)
	for _, stored := range w.Jobs {
		j := decodeJob(stored)
		d.jobs[j.id] = &j
	}
	for _, stored := range w.Ended {
		d.ended = append(d.ended, decodeJob(stored))
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
		id: w.ID, workload: w.Workload, payload: w.Payload, tasks: w.Tasks, next: w.Next, finished: w.Finished,
		failed: w.Failed, evictions: w.Evictions, canceled: w.Canceled, submitted: time.UnixMilli(w.Millis),
	}
}

func (w taskWire) decode(table []string) (*Task, error) {
	t, err := w.Task.decode(table)
	if err != nil {
		return nil, err
	}
	// Of none of them is it known how long it lived, and all VMs are surely gone.
	t.losses = crash.NewLosses(w.Losses, w.Losses, 0, w.Losses, 0)
	return t, nil
}

func (w earlierTaskWire) decode(table []string) (*Task, error) {
	for _, place := range []int{w.Job, w.Workload, w.Instance} {
		if place < 0 || place >= len(table) {
			return nil, fault.New(fault.Internal, "the stored document of the cell names place %d of %d", place, len(table))
		}
	}
	return &Task{
		id: task.NewID(table[w.Job], w.Index), workload: table[w.Workload], service: w.Service, retired: w.Retired,
		incarnation: task.Incarnation(w.Incarnation), instance: table[w.Instance],
		size:       resource.New(w.Processors, w.Memory, w.Accelerators),
		checkpoint: w.Checkpoint, failures: w.Failures, evictions: w.Evictions,
	}, nil
}
