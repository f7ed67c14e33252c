package job

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// storedProgress is the progress of a job in the store; tasks that never had a run are omitted.
type storedProgress struct {
	_     struct{} `cbor:",toarray"`
	State int
	Hosts []storedHost
	Tasks []storedTask
}

// storedProgressWithCrashes is the progress of a job with crash histories of its tasks. Jobs without any are stored as storedProgress,
// which leaders of earlier releases can also decode during a rolling upgrade.
type storedProgressWithCrashes[T storedHistory | previousHistory] struct {
	_         struct{} `cbor:",toarray"`
	State     int
	Hosts     []storedHost
	Tasks     []storedTask
	Histories []T
}

type storedHistory struct {
	_               struct{} `cbor:",toarray"`
	Iteration       int
	Step            int
	Index           int
	LikelyCrashes   int
	PossibleCrashes int
	CrashRun        int
	// LostRun is the latest run counted as lost; Unresolved are lost runs whose worker is unreachable and may not have crashed.
	LostRun          int
	Unresolved       []int
	Losses           int
	CrashedLosses    int
	SimilarLosses    int
	UnknownLifetimes int
	// LongestMillis is the longest known lifetime of a lost run.
	LongestMillis int64
}

// previousHistory is a crash history as stored by leaders of the previous release.
type previousHistory struct {
	_               struct{} `cbor:",toarray"`
	Iteration       int
	Step            int
	Index           int
	LikelyCrashes   int
	PossibleCrashes int
	CrashRun        int
}

// storedTask is a task that has had a run. Only the first member of a gang has failures; Failures of the member at gangFailedRun is the latest
// run that was counted in them, which leaders of the previous release keep without reading it.
type storedTask struct {
	_          struct{} `cbor:",toarray"`
	Iteration  int
	Step       int
	Index      int
	Phase      int
	Run        int
	Failures   int
	Host       int
	Checkpoint string
}

// gangFailedRun is the index of the member that stores the latest failed run of its gang. Only one run of a gang of one can fail in its member.
const gangFailedRun = 1

// storedFailures returns what storedTask has in Failures for a task.
func (j *Job) storedFailures(id TaskID) int {
	if j.spec.Steps[id.Step].Gang && id.Index == gangFailedRun {
		return j.Task(j.Unit(id)).failedRun
	}
	return j.Task(id).failures
}

// setStoredFailures sets what storedTask has in Failures for a task.
func (j *Job) setStoredFailures(id TaskID, stored int) {
	if j.spec.Steps[id.Step].Gang && id.Index == gangFailedRun {
		j.Task(j.Unit(id)).failedRun = stored
		return
	}
	j.Task(id).failures = stored
}

// EncodeProgress returns the stored form of the job's progress with at most maxCheckpoints bytes of checkpoints, and the number of those left out: tasks
// whose checkpoint is not stored start anew under the next leader. stateOf returns the state of a host.
func (j *Job) EncodeProgress(maxCheckpoints int, stateOf func(Host) HostState) (data []byte, omitted int, err error) {
	stored := storedProgress{State: int(j.State())}
	checkpoints, omitted := j.checkpointsWithin(maxCheckpoints)
	positions := make(map[Host]int)
	var hosts []Host
	var histories []storedHistory
	j.Each(func(id TaskID, t *Task) {
		if t.run == 0 && t.phase == Waiting {
			return
		}
		row := storedTask{
			Iteration: id.Iteration, Step: id.Step, Index: id.Index, Phase: int(t.phase), Run: t.run,
			Failures: j.storedFailures(id), Checkpoint: checkpoints[id],
		}
		if t.phase == Placed {
			if _, known := positions[t.host]; !known {
				hosts = append(hosts, t.host)
				positions[t.host] = len(hosts)
			}
			row.Host = positions[t.host]
		}
		stored.Tasks = append(stored.Tasks, row)
		if t.crashRun > 0 || t.lostRun > 0 {
			histories = append(histories, t.encodeHistory(id))
		}
	})
	stored.Hosts = encodeHosts(hosts, stateOf)
	if len(histories) == 0 {
		data, err = cbor.Marshal(stored)
		return data, omitted, err
	}
	data, err = cbor.Marshal(storedProgressWithCrashes[storedHistory]{State: stored.State, Hosts: stored.Hosts, Tasks: stored.Tasks, Histories: histories})
	return data, omitted, err
}

// encodeHistory returns the stored form of the task's crash history.
func (t *Task) encodeHistory(id TaskID) storedHistory {
	losses := t.history.Losses()
	return storedHistory{
		Iteration: id.Iteration, Step: id.Step, Index: id.Index, CrashRun: t.crashRun,
		LikelyCrashes: t.history.LikelyCrashes(), PossibleCrashes: t.history.PossibleCrashes(),
		LostRun: t.lostRun, Unresolved: t.unresolved, Losses: losses.Total(), CrashedLosses: losses.Crashed(),
		SimilarLosses: losses.Similar(), UnknownLifetimes: losses.UnknownLifetime(), LongestMillis: losses.LongestLifetime().Milliseconds(),
	}
}

// decodeProgress decodes stored progress, with crash histories of this or the previous release, or without any.
func decodeProgress(data []byte) (storedProgressWithCrashes[storedHistory], error) {
	var current storedProgressWithCrashes[storedHistory]
	if cbor.Unmarshal(data, &current) == nil {
		return current, nil
	}
	var previous storedProgressWithCrashes[previousHistory]
	if cbor.Unmarshal(data, &previous) == nil {
		current = storedProgressWithCrashes[storedHistory]{State: previous.State, Hosts: previous.Hosts, Tasks: previous.Tasks}
		for _, e := range previous.Histories {
			current.Histories = append(current.Histories, storedHistory{
				Iteration: e.Iteration, Step: e.Step, Index: e.Index, LikelyCrashes: e.LikelyCrashes, PossibleCrashes: e.PossibleCrashes, CrashRun: e.CrashRun,
			})
		}
		return current, nil
	}
	var plain storedProgress
	err := cbor.Unmarshal(data, &plain)
	return storedProgressWithCrashes[storedHistory]{State: plain.State, Hosts: plain.Hosts, Tasks: plain.Tasks}, err
}

// DecodeState returns the state of the job in its stored progress.
func DecodeState(data []byte) (State, error) {
	stored, err := decodeProgress(data)
	if err != nil {
		return Queued, fault.Wrap(err, fault.Internal, "the progress of a job cannot be read")
	}
	return State(stored.State), nil
}

// ApplyProgress sets a newly decoded job to its stored progress.
func (j *Job) ApplyProgress(data []byte) error {
	stored, err := decodeProgress(data)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the progress of job "+string(j.id)+" cannot be read")
	}
	hosts, states := decodeHosts(stored.Hosts)
	j.storedHosts = states
	for _, row := range stored.Tasks {
		id := TaskID{Job: j.id, Iteration: row.Iteration, Step: row.Step, Index: row.Index}
		task := j.Task(id)
		if task == nil {
			return fault.New(fault.Internal, "the progress of job %s refers to a task that the job does not have", j.id)
		}
		task.phase, task.run, task.checkpoint = Phase(row.Phase), row.Run, row.Checkpoint
		j.setStoredFailures(id, row.Failures)
		if row.Host > 0 && row.Host <= len(hosts) {
			task.host = hosts[row.Host-1]
		}
		if task.phase == Done {
			j.unfinished--
		}
		j.everPlaced = j.everPlaced || task.run > 0
		// Whether a placed run has started is not stored; its worker reports it.
		j.begun = j.begun || task.phase == Done || task.failures > 0 || task.checkpoint != ""
	}
	for _, row := range stored.Histories {
		if task := j.Task(TaskID{Job: j.id, Iteration: row.Iteration, Step: row.Step, Index: row.Index}); task != nil {
			losses := crash.NewLosses(row.Losses, row.CrashedLosses, row.SimilarLosses, row.UnknownLifetimes, millis(row.LongestMillis))
			task.history = crash.NewHistory(row.LikelyCrashes, row.PossibleCrashes).WithLosses(losses)
			task.crashRun, task.lostRun, task.unresolved = row.CrashRun, row.LostRun, row.Unresolved
		}
	}
	j.failed = State(stored.State) == Failed
	j.canceled = State(stored.State) == Canceled
	return nil
}
