package job

import (
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// storedProgress is how far a job is; tasks that never had a run are left out.
type storedProgress struct {
	_     struct{} `cbor:",toarray"`
	State int
	Hosts []storedHost
	Tasks []storedTask
}

// storedHeld is the progress of a job against tasks of which something is held. Jobs without any are stored as above, which leads of
// earlier releases read as well while one is rolled out.
type storedHeld[T storedSuspect | earlierSuspect] struct {
	_        struct{} `cbor:",toarray"`
	State    int
	Hosts    []storedHost
	Tasks    []storedTask
	Suspects []T
}

type storedSuspect struct {
	_       struct{} `cbor:",toarray"`
	Time    int
	Step    int
	Index   int
	Crashes int
	Doubts  int
	Judged  int
	// Lost is the latest run that was counted as lost, Unseen are those that were with a worker out of sight.
	Lost   int
	Unseen []int
	All    int
	Over   int
	Alike  int
	Blind  int
	// Longest is in milliseconds.
	Longest int64
}

// earlierSuspect is a suspect as leads of the release before stored it.
type earlierSuspect struct {
	_       struct{} `cbor:",toarray"`
	Time    int
	Step    int
	Index   int
	Crashes int
	Doubts  int
	Judged  int
}

// storedHost is a host by the id of its worker. The times of birth follow as further hosts without a VM, in the same order: leaders of the
// release before read past them.
type storedHost struct {
	_        struct{} `cbor:",toarray"`
	VM       string
	Instance string
}

// hostsOf returns the hosts that are stored, with their times of birth where those are stored too.
func hostsOf(stored []storedHost) []Host {
	count := slices.IndexFunc(stored, func(h storedHost) bool { return h.VM == "" })
	if count < 0 {
		count = len(stored)
	}
	births := stored[count:]
	hosts := make([]Host, count)
	for i, h := range stored[:count] {
		born := int64(0)
		if i < len(births) {
			// A time that cannot be read is not known.
			born, _ = strconv.ParseInt(births[i].Instance, 10, 64)
		}
		hosts[i] = Host{VM: h.VM, Incarnation: incarnation.New(h.Instance, born)}
	}
	return hosts
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
	var births []storedHost
	var suspects []storedSuspect
	j.Each(func(id TaskID, t *Task) {
		if t.run == 0 && t.phase == Waiting {
			return
		}
		row := storedTask{
			Time: id.Iteration, Step: id.Step, Index: id.Index, Phase: int(t.phase), Run: t.run,
			Failures: t.failures, Checkpoint: t.checkpoint,
		}
		if t.phase == Placed {
			if _, known := hosts[t.host]; !known {
				stored.Hosts = append(stored.Hosts, storedHost{VM: t.host.VM, Instance: t.host.Incarnation.Worker()})
				births = append(births, storedHost{Instance: strconv.FormatInt(t.host.Incarnation.StartMillis(), 10)})
				hosts[t.host] = len(stored.Hosts)
			}
			row.Host = hosts[t.host]
		}
		stored.Tasks = append(stored.Tasks, row)
		if t.judged > 0 || t.lost > 0 {
			suspects = append(suspects, t.suspect(id))
		}
	})
	stored.Hosts = append(stored.Hosts, births...)
	if len(suspects) == 0 {
		return cbor.Marshal(stored)
	}
	return cbor.Marshal(storedHeld[storedSuspect]{State: stored.State, Hosts: stored.Hosts, Tasks: stored.Tasks, Suspects: suspects})
}

// suspect returns what is held against the task, as it is stored.
func (t *Task) suspect(id TaskID) storedSuspect {
	losses := t.suspicion.Losses()
	return storedSuspect{
		Time: id.Iteration, Step: id.Step, Index: id.Index, Judged: t.judged,
		Crashes: t.suspicion.LikelyCrashes(), Doubts: t.suspicion.PossibleCrashes(),
		Lost: t.lost, Unseen: t.unseen, All: losses.Total(), Over: losses.Crashed(),
		Alike: losses.Similar(), Blind: losses.UnknownLifetime(), Longest: losses.LongestLifetime().Milliseconds(),
	}
}

// decodeProgress reads a stored progress, with suspects of this release or the one before, or without any.
func decodeProgress(data []byte) (storedHeld[storedSuspect], error) {
	var full storedHeld[storedSuspect]
	if cbor.Unmarshal(data, &full) == nil {
		return full, nil
	}
	var earlier storedHeld[earlierSuspect]
	if cbor.Unmarshal(data, &earlier) == nil {
		full = storedHeld[storedSuspect]{State: earlier.State, Hosts: earlier.Hosts, Tasks: earlier.Tasks}
		for _, e := range earlier.Suspects {
			full.Suspects = append(full.Suspects, storedSuspect{
				Time: e.Time, Step: e.Step, Index: e.Index, Crashes: e.Crashes, Doubts: e.Doubts, Judged: e.Judged,
			})
		}
		return full, nil
	}
	var plain storedProgress
	err := cbor.Unmarshal(data, &plain)
	return storedHeld[storedSuspect]{State: plain.State, Hosts: plain.Hosts, Tasks: plain.Tasks}, err
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
	hosts := hostsOf(stored.Hosts)
	for _, row := range stored.Tasks {
		task := j.Task(TaskID{Job: j.id, Iteration: row.Time, Step: row.Step, Index: row.Index})
		if task == nil {
			return fault.New(fault.Internal, "the progress of job %s names a task that it has not", j.id)
		}
		*task = Task{phase: Phase(row.Phase), run: row.Run, failures: row.Failures, checkpoint: row.Checkpoint}
		if row.Host > 0 && row.Host <= len(hosts) {
			task.host = hosts[row.Host-1]
		}
		if task.phase == Done {
			j.open--
		}
		j.begun = j.begun || task.run > 0
	}
	for _, row := range stored.Suspects {
		if task := j.Task(TaskID{Job: j.id, Iteration: row.Time, Step: row.Step, Index: row.Index}); task != nil {
			losses := crash.NewLosses(row.All, row.Over, row.Alike, row.Blind, millis(row.Longest))
			task.suspicion = crash.NewHistory(row.Crashes, row.Doubts).WithLosses(losses)
			task.judged, task.lost, task.unseen = row.Judged, row.Lost, row.Unseen
		}
	}
	j.failed = State(stored.State) == Failed
	j.canceled = State(stored.State) == Canceled
	return nil
}
