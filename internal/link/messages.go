package link

import "github.com/saffronpulley/saffronpulley/internal/job"

// Methods of the JSON-RPC calls.
const (
	// MethodReport is an agent's call to the leader, MethodOrders the leader's call to an agent.
	MethodReport = "report"
	MethodOrders = "orders"
	// MethodPing is an entry's call to the leader; MethodWaiting asks the leader how many jobs of a queue wait.
	MethodPing    = "ping"
	MethodWaiting = "waiting"
	// MethodState asks the leader for the state of a job.
	MethodState = "state"
	// MethodStore is the leader's call to an entry after the store became unreachable or reachable again; the entry then pings for details.
	MethodStore = "store"
	// MethodConfiguration asks an entry for the newest configuration that it knows.
	MethodConfiguration = "configuration"
	// MethodLeader asks an entry for the current leader.
	MethodLeader = "leader"
	// MethodGet and MethodCommit ask an entry to call the store on behalf of a process that cannot reach it.
	MethodGet    = "store.get"
	MethodCommit = "store.commit"
)

// Run identifies a run of a task.
type Run struct {
	Task   string `json:"t"`
	Number int    `json:"r"`
}

// NewRun returns the wire form of a run of a task.
func NewRun(task job.TaskID, number int) Run { return Run{Task: task.String(), Number: number} }

// TaskID returns the task of the run, false if the name is not a task's.
func (r Run) TaskID() (job.TaskID, bool) { return job.ParseTaskID(r.Task) }

// Running is a run in progress on a worker.
type Running struct {
	Run
	Percent     int    `json:"p,omitempty"`
	Measurement int    `json:"f,omitempty"`
	Pace        int    `json:"a,omitempty"`
	Checkpoint  string `json:"c,omitempty"`
	// Starting is set while the run is within its startup time.
	Starting bool `json:"y,omitempty"`
}

// Ended is a run that ended on a worker.
type Ended struct {
	Run
	Sequence   uint64 `json:"n"`
	End        int    `json:"e"`
	Checkpoint string `json:"c,omitempty"`
}

// Rejected is a run that was never started on the worker and never will be.
type Rejected struct {
	Run
	Refusal int `json:"w"`
}

// Crash reports an incarnation of the worker that has ended.
type Crash struct {
	// Number is the sequence number of the crash among those that the agent reports.
	Number      uint64 `json:"n"`
	Instance    string `json:"instance"`
	StartMillis int64  `json:"born,omitempty"`
	// Planned is set if the worker had announced that it would leave; the end is then attributed to no run.
	Planned bool `json:"planned,omitempty"`
	// FirstFailureMillis is how long before the report the calls to the worker began to fail, 0 if unknown.
	FirstFailureMillis int64 `json:"broken_ms,omitempty"`
	// Runs are the runs that the incarnation had or may have had, Next those among its runs that the next incarnation under the same id has: it carried out
	// another start of them.
	Runs []CrashedRun `json:"runs"`
	Next []Run        `json:"next,omitempty"`
}

// CrashedRun is a run that a worker had, or may have had, when it crashed.
type CrashedRun struct {
	Run
	// Answered is set if the worker reported the run or accepted its start; AgeMillis is how long the run was observed there.
	Answered bool `json:"a,omitempty"`
	// Settled is set if the incarnation listed the run and no start of it may still be carried out.
	Settled   bool  `json:"s,omitempty"`
	AgeMillis int64 `json:"g,omitempty"`
}

// Report is the state of an agent and its worker, which the agent sends to the leader.
type Report struct {
	VM    string `json:"vm"`
	Hall  string `json:"hall"`
	Epoch uint64 `json:"epoch"`
	// Instance and StartMillis identify the incarnation of the worker; Instance is empty while it is unknown. StartMillis is 0
	// for workers that do not report their start time, and for agents of the previous release.
	Instance    string   `json:"instance,omitempty"`
	StartMillis int64    `json:"born,omitempty"`
	Service     string   `json:"service,omitempty"`
	CPU         int      `json:"cpu,omitempty"`
	Memory      int      `json:"memory,omitempty"`
	GPU         int      `json:"gpu,omitempty"`
	Labels      []string `json:"labels,omitempty"`
	Draining    bool     `json:"draining,omitempty"`
	// Stopping is set once the agent stops: it serves the worker for a while, which is then the last choice for more tasks.
	Stopping bool `json:"stopping,omitempty"`
	// RemainingMillis is the least time left to a draining worker.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
	// Unreachable is set if the worker does not answer, LeaseExpired if the leases of all its runs have certainly expired, also those of a worker
	// that only a previous process of the agent knew.
	Unreachable  bool `json:"silent,omitempty"`
	LeaseExpired bool `json:"lapsed,omitempty"`
	// MaxLeaseMillis is how long the runs of the worker may go on without another report, 0 from agents of the previous release.
	MaxLeaseMillis int64 `json:"max_lease_ms,omitempty"`
	// FirstFailureMillis is how long the calls to the worker have been failing, 0 while they succeed.
	FirstFailureMillis int64 `json:"broken_ms,omitempty"`
	// Fenced is set once the worker has acknowledged a fence of this epoch, so that Running and Pending are complete, and Ended unless MoreEnds is set.
	Fenced bool `json:"fenced,omitempty"`
	// MoreEnds is set if the worker may have ended runs beyond those in Ended.
	MoreEnds bool `json:"more_ends,omitempty"`
	// Running are the runs of the worker. Once the leader numbers its list of entries it reads Rows instead, with RowNames for the runs
	// that are new on the connection; Running is then left out.
	Running  []Running  `json:"running,omitempty"`
	Rows     []Row      `json:"rows,omitempty"`
	RowNames []RowName  `json:"named,omitempty"`
	Ended    []Ended    `json:"ended,omitempty"`
	Pending  []Run      `json:"pending,omitempty"`
	Rejected []Rejected `json:"rejected,omitempty"`
	// Unsettled are the runs that a later incarnation of the worker may carry out or have carried out, by calls of this process of the agent.
	Unsettled []Run `json:"unsettled,omitempty"`
	// Withdrawn are those among them that the present incarnation rejects, since their stop was answered.
	Withdrawn []Run `json:"withdrawn,omitempty"`
	// AgentAgeMillis is the age of the process of the agent, which knows no call of its predecessor, 0 from agents of the previous release.
	AgentAgeMillis int64 `json:"agent_ms,omitempty"`
	// MissingProfiles are the runs for which the agent has no profile.
	MissingProfiles []Run `json:"unknown,omitempty"`
	// Crashes are the ended incarnations; each is reported until a leader has committed its consequences.
	Crashes []Crash `json:"crashes,omitempty"`
	// EntriesVersion is the version of the list of entries that the agent received on this connection, 0 for none.
	EntriesVersion uint64 `json:"list,omitempty"`
}

// ReportAnswer is the leader's answer to a report.
type ReportAnswer struct {
	Epoch uint64 `json:"epoch"`
	// FirstFence and LastFence bound the fences under which the agent calls its worker, above those of all previous connections; they
	// are 0 from leaders of the previous release, whose agents use the epoch as fence.
	FirstFence uint64 `json:"first_fence,omitempty"`
	LastFence  uint64 `json:"last_fence,omitempty"`
	// LeaseMillis is the duration of the agent lease, counted from when the report was sent.
	LeaseMillis int64 `json:"permission_ms"`
	// AcknowledgedEnds is the sequence number up to which the ends of runs are committed.
	AcknowledgedEnds uint64 `json:"seen"`
	// AcknowledgedCrashes is the number up to which the consequences of crashes are committed.
	AcknowledgedCrashes uint64 `json:"crashes,omitempty"`
	// Unverified is set if the leader has not confirmed its leadership recently.
	Unverified bool `json:"doubtful,omitempty"`
	// Entries are the addresses of the entries, left out if the agent has them already; EntriesVersion numbers the lists from 1.
	Entries        []string  `json:"entries,omitempty"`
	EntriesVersion uint64    `json:"list,omitempty"`
	Profiles       []Profile `json:"profiles,omitempty"`
	// UnknownService is set if no configuration names the service that the worker was reported with.
	UnknownService bool `json:"foreign,omitempty"`
	// Connections is how many connections the worker accepts at once, 0 if unknown.
	Connections int `json:"connections,omitempty"`
	// Interference maps each image of a best-effort task on the worker to how much it lowers the headroom of each serving image there.
	// LoadFrequency is the frequency of the load variation of serving tasks, in radians a second.
	Interference  map[string]map[string]float64 `json:"presses,omitempty"`
	LoadFrequency float64                       `json:"swing,omitempty"`
	// Backlog is the batch backlog, from 0 to 1.
	Backlog float64 `json:"starved,omitempty"`
	// Loads are the loads of the serving steps on the worker, by step name.
	Loads map[string]Load `json:"loads,omitempty"`
	// Hall is the state of the agent's hall.
	Hall Hall `json:"hall"`
}

// Hall states whether the operators have closed a hall as of a revision of the store; the higher revision is the newer state.
type Hall struct {
	Closed   bool   `json:"closed,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// Load is the headroom of the tasks of a step without neighbors, its slope per second, its mean, and the standard deviation of a
// single task's headroom.
type Load struct {
	Headroom  float64 `json:"v"`
	Slope     float64 `json:"s"`
	Mean      float64 `json:"u"`
	Deviation float64 `json:"d"`
}

// Profile holds the properties of a run that an agent needs.
type Profile struct {
	Run
	Image        string `json:"image,omitempty"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"mem,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	TargetMillis int64  `json:"target_ms,omitempty"`
	BestEffort   bool   `json:"fills,omitempty"`
	LongRunning  bool   `json:"lasting,omitempty"`
}

// Start is an order to start a run.
type Start struct {
	Profile
	Checkpoint string `json:"checkpoint,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

// Orders are the leader's orders to an agent.
type Orders struct {
	Epoch uint64 `json:"epoch"`
	// Instance and StartMillis identify the incarnation of the worker to which the orders are addressed.
	Instance    string  `json:"instance"`
	StartMillis int64   `json:"born,omitempty"`
	Starts      []Start `json:"starts,omitempty"`
	Stops       []Run   `json:"stops,omitempty"`
	// Texts holds the specification of each job named in Starts, by job name.
	Texts map[string]string `json:"texts,omitempty"`
	// Hall is the state of the agent's hall as of these orders.
	Hall Hall `json:"hall"`
}

// Ping announces an entry and its newest configuration to the leader.
type Ping struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	// Strength is the processor share of the entry's VM.
	Strength float64 `json:"strength"`
	// StoreAgeMillis is how long ago the store last answered the entry, negative if it never did.
	StoreAgeMillis int64 `json:"store_age_ms"`
	// Readmitted is set if the store has recently answered the entry after it had rate limited it.
	Readmitted bool `json:"readmitted,omitempty"`
	// EntriesVersion is the version of the list of entries that the entry received from this leader, 0 for none.
	EntriesVersion uint64 `json:"list,omitempty"`
	// ValueOnRequest is set if the answer may leave out the value of a newer configuration, which the entry then reads or requests itself.
	ValueOnRequest bool `json:"value_on_request,omitempty"`
	Offer
}

// Offer is a configuration as stored, with its revision; the value is left out if both sides have it.
type Offer struct {
	Revision uint64 `json:"revision,omitempty"`
	Value    []byte `json:"value,omitempty"`
}

// PingAnswer is the leader's answer to an entry.
type PingAnswer struct {
	// Entries are the addresses of the entries, left out if the entry has them already; EntriesVersion numbers the lists from 1.
	Entries        []string `json:"entries,omitempty"`
	EntriesVersion uint64   `json:"list,omitempty"`
	// Unverified is set if the leader has not confirmed its leadership recently.
	Unverified bool `json:"doubtful,omitempty"`
	// Rank is the rank of the entry among the candidates for the next term, from 1; 0 if it has none.
	Rank int `json:"rank,omitempty"`
	// Probe asks the entry to check whether the store answers it, and to ping again.
	Probe bool `json:"probe,omitempty"`
	// Agents is how many agents report to the leader.
	Agents int `json:"agents,omitempty"`
	// StoreDown is set if the store answers neither the leader nor, by their latest pings, any entry. TakeOver asks the entry to
	// take over leadership: the store answers the entry but not the leader, or the entry is far stronger.
	StoreDown bool `json:"store_down,omitempty"`
	TakeOver  bool `json:"succeed,omitempty"`
	// LeasesMillis is, with TakeOver, how long agent leases granted by the leader and those before it may still last, 0 from leaders of the
	// previous release.
	LeasesMillis int64 `json:"leases_ms,omitempty"`
	Offer
}

// LeaderRequest asks for the current leader; the answer is delayed for up to a fixed time until there is a leader of an epoch later
// than After, unless AtOnce is set.
type LeaderRequest struct {
	After  uint64 `json:"after,omitempty"`
	AtOnce bool   `json:"at_once,omitempty"`
}

// LeaderAnswer is the leader known to an entry, with the number of agents that report to it, 0 if unknown.
type LeaderAnswer struct {
	Process string `json:"node"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	Agents  int    `json:"agents,omitempty"`
}

// WaitingRequest asks how many jobs of a queue wait.
type WaitingRequest struct {
	Queue string `json:"queue"`
}

// WaitingAnswer is how many jobs of a queue have not started.
type WaitingAnswer struct {
	Count int `json:"count"`
}

// JobStateRequest asks for the state of a job; the answer waits until the leader has committed the state.
type JobStateRequest struct {
	Job string `json:"job"`
}

// JobStateAnswer is the committed state of a job; Known is false if the leader has none.
type JobStateAnswer struct {
	Known bool `json:"known,omitempty"`
	State int  `json:"state"`
}

// Get requests a key of the store.
type Get struct {
	Key string `json:"key"`
}

// Item is a key of the store, with the revision of its last change.
type Item struct {
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Commit requests a transaction in the store.
type Commit struct {
	Conditions map[string]uint64 `json:"conditions"`
	Puts       map[string][]byte `json:"puts"`
}

// CommitAnswer is the revision of a committed transaction.
type CommitAnswer struct {
	Revision uint64 `json:"revision"`
}

// Empty is a message without content.
type Empty struct{}
