package job

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// storedProgress is how far a job is; tasks that never had a run are left out.
type storedProgress struct {
	_     struct{} `cbor:",toarray"`
	State int
	Hosts []storedHost
	Tasks []storedTask
}

// storedSuspects is the progress of a job of which tasks are suspected of crashing their workers. Jobs without any are stored
// as before, so that leads of both kinds read them while a release is rolled out.
type storedSuspects struct {
	_        struct{} `cbor:",toarray"`
	State    int
	Hosts    []storedHost
	Tasks    []storedTask
	Suspects []storedSuspect
}

type storedSuspect struct {
	_       struct{} `cbor:",toarray"`
	Time    int
	Step    int
	Index   int
	Crashes int
	Doubts  int
	Judged  int
}

type storedHost struct {
	_        struct{} `cbor:",toarray"`
	VM       string
	Instance string
}

type storedTask struct {
	_          struct{} `cbor:",toarray"`
	Time       int
	Step       int
	Index      int
	Phase      int
	Run        int
	Failures   int
	Host       int
	Checkpoint string
}

// EncodeProgress returns how far the job is, as it is stored.
func (j *Job) EncodeProgress() ([]byte, error) {
	stored := storedProgress{State: int(j.State())}
	hosts := make(map[Host]int)
	var suspects []storedSuspect
	j.Each(func(id TaskID, t *Task) {
		if t.run == 0 && t.phase == Waiting {
			return
		}
		row := storedTask{
			Time: id.Time, Step: id.Step, Index: id.Index, Phase: int(t.phase), Run: t.run,
			Failures: t.failures, Checkpoint: t.checkpoint,
		}
		if t.phase == Placed {
			if _, known := hosts[t.host]; !known {
				stored.Hosts = append(stored.Hosts, storedHost{VM: t.host.VM, Instance: t.host.Instance})
				hosts[t.host] = len(stored.Hosts)
			}
			row.Host = hosts[t.host]
		}
		stored.Tasks = append(stored.Tasks, row)
		if t.judged > 0 {
			suspects = append(suspects, storedSuspect{
				Time: id.Time, Step: id.Step, Index: id.Index, Judged: t.judged,
				Crashes: t.suspicion.Crashes(), Doubts: t.suspicion.Doubts(),
			})
		}
	})
	if len(suspects) == 0 {
		return cbor.Marshal(stored)
	}
	return cbor.Marshal(storedSuspects{State: stored.State, Hosts: stored.Hosts, Tasks: stored.Tasks, Suspects: suspects})
}

// decodeProgress reads a stored progress, with or without suspects.
func decodeProgress(data []byte) (storedSuspects, error) {
	var full storedSuspects
	if cbor.Unmarshal(data, &full) == nil {
		return full, nil
	}
	var plain storedProgress
	err := cbor.Unmarshal(data, &plain)
	return storedSuspects{State: plain.State, Hosts: plain.Hosts, Tasks: plain.Tasks}, err
}

// DecodeState returns the state of a stored progress.
func DecodeState(data []byte) (State, error) {
	stored, err := decodeProgress(data)
	if err != nil {
		return Queued, fault.Wrap(err, fault.Internal, "the progress of a job cannot be read")
	}
	return State(stored.State), nil
}

// ApplyProgress brings a decoded job to a stored progress.
func (j *Job) ApplyProgress(data []byte) error {
	stored, err := decodeProgress(data)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the progress of job "+string(j.id)+" cannot be read")
	}
	for _, row := range stored.Tasks {
		task := j.Task(TaskID{Job: j.id, Time: row.Time, Step: row.Step, Index: row.Index})
		if task == nil {
			return fault.New(fault.Internal, "the progress of job %s names a task that it has not", j.id)
		}
		*task = Task{phase: Phase(row.Phase), run: row.Run, failures: row.Failures, checkpoint: row.Checkpoint}
		if row.Host > 0 && row.Host <= len(stored.Hosts) {
			host := stored.Hosts[row.Host-1]
			task.host = Host{VM: host.VM, Instance: host.Instance}
		}
		if task.phase == Done {
			j.open--
		}
		j.begun = j.begun || task.run > 0
	}
	for _, row := range stored.Suspects {
		if task := j.Task(TaskID{Job: j.id, Time: row.Time, Step: row.Step, Index: row.Index}); task != nil {
			task.suspicion, task.judged = crash.NewSuspicion(row.Crashes, row.Doubts), row.Judged
		}
	}
	j.failed = State(stored.State) == Failed
	j.canceled = State(stored.State) == Canceled
	return nil
}
