package cell

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

type documentWire struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Lead  string
	// Starts is the highest incarnation given so far.
	Starts uint64
	Jobs   []jobWire
	Ended  []jobWire
	// Names holds each workload and VM instance once; tasks refer to them by place.
	Names []string
	Tasks []taskWire
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

type taskWire struct {
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
	table := &names{places: make(map[string]int)}
	wire := documentWire{Epoch: d.epoch, Lead: d.lead, Starts: uint64(d.starts)}
	for _, j := range d.Jobs() {
		wire.Jobs = append(wire.Jobs, encodeJob(j))
	}
	for _, j := range d.ended {
		wire.Ended = append(wire.Ended, encodeJob(j))
	}
	for _, t := range d.Tasks() {
		wire.Tasks = append(wire.Tasks, encodeTask(t, table))
	}
	wire.Names = table.list
	value, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the cell's document cannot be encoded")
	}
	return value, nil
}

func encodeJob(j Job) jobWire {
	return jobWire{
		ID: j.id, Workload: j.workload, Payload: j.payload, Tasks: j.tasks, Next: j.next, Finished: j.finished,
		Failed: j.failed, Evictions: j.evictions, Canceled: j.canceled, Millis: j.submitted.UnixMilli(),
	}
}

func encodeTask(t Task, table *names) taskWire {
	return taskWire{
		Job: table.place(t.id.Job()), Index: t.id.Index(), Workload: table.place(t.workload),
		Service: t.service, Retired: t.retired, Incarnation: uint64(t.incarnation), Instance: table.place(t.instance),
		Processors: t.size.Processors(), Memory: t.size.Memory(), Accelerators: t.size.Accelerators(),
		Checkpoint: t.checkpoint, Failures: t.failures, Evictions: t.evictions,
	}
}

// Decode returns the document of a stored value; no bytes are a new document.
func Decode(value []byte) (*Document, error) {
	d := New()
	if len(value) == 0 {
		return d, nil
	}
	var wire documentWire
	if err := cbor.Unmarshal(value, &wire); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the stored document of the cell cannot be read")
	}
	d.epoch, d.lead, d.starts = wire.Epoch, wire.Lead, task.Incarnation(wire.Starts)
	for _, w := range wire.Jobs {
		j := decodeJob(w)
		d.jobs[j.id] = &j
	}
	for _, w := range wire.Ended {
		d.ended = append(d.ended, decodeJob(w))
	}
	for _, w := range wire.Tasks {
		t, err := decodeTask(w, wire.Names)
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

func decodeTask(w taskWire, table []string) (*Task, error) {
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
