package link

import "github.com/saffronpulley/saffronpulley/internal/job"

// Methods of the processes.
const (
	// MethodReport is an agent's call to the lead, MethodOrders the lead's call back.
	MethodReport = "report"
	MethodOrders = "orders"
	// MethodPing is an entry's call to the lead; MethodWaiting asks the lead for a queue's count.
	MethodPing    = "ping"
	MethodWaiting = "waiting"
	// MethodState asks the lead for the state of a job.
	MethodState = "state"
	// MethodStore is the lead's call to an entry, which says that the store is away or back and that a ping tells more.
	MethodStore = "store"
	// MethodLeader asks an entry who leads.
	MethodLeader = "leader"
	// MethodGet and MethodCommit ask an entry to reach the store for a process that cannot.
	MethodGet    = "store.get"
	MethodCommit = "store.commit"
)

// Run names a run.
type Run struct {
	Task   string `json:"t"`
	Number int    `json:"r"`
}

// NewRun names a run of a task.
func NewRun(task job.TaskID, number int) Run { return Run{Task: task.String(), Number: number} }

// TaskID returns the task of the run, false where the name is no task's.
func (r Run) TaskID() (job.TaskID, bool) { return job.ParseTaskID(r.Task) }

// Running is a run that a worker has.
type Running struct {
	Run
	Percent     int    `json:"p,omitempty"`
	Measurement int    `json:"f,omitempty"`
	Pace        int    `json:"a,omitempty"`
	Checkpoint  string `json:"c,omitempty"`
	// Starting says that the run has not outlived its start yet.
	Starting bool `json:"y,omitempty"`
}

// Ended is a run that ended on a worker.
type Ended struct {
	Run
	Sequence   uint64 `json:"n"`
	End        int    `json:"e"`
	Checkpoint string `json:"c,omitempty"`
}

// Rejected is a run that surely never started there and never will.
type Rejected struct {
	Run
	Refusal int `json:"w"`
}

// Crash reports an incarnation of the worker that has ended.
type Crash struct {
	// Number counts the ends that an agent reports.
	Number      uint64 `json:"n"`
	Instance    string `json:"instance"`
	StartMillis int64  `json:"born,omitempty"`
	// Planned says that the worker had reported that it would leave, which is attributed to no run.
	Planned bool `json:"planned,omitempty"`
	// FirstFailureMillis is how long before the report the calls to the worker broke off, 0 where that is not known.
	FirstFailureMillis int64 `json:"broken_ms,omitempty"`
	// Runs are those that it had or may have had.
	Runs []CrashedRun `json:"runs"`
}

// CrashedRun is a run under which a worker crashed, or may have.
type CrashedRun struct {
	Run
	// Answered says that the worker had the run, AgeMillis for how long it was seen to have it.
	Answered bool `json:"a,omitempty"`
	// Settled says that the incarnation listed the run and no start of it may still be carried out.
	Settled   bool  `json:"s,omitempty"`
	AgeMillis int64 `json:"g,omitempty"`
}

// Report tells the lead what an agent and its worker have.
type Report struct {
	VM    string `json:"vm"`
	Hall  string `json:"hall"`
	Epoch uint64 `json:"epoch"`
	// Instance and Born name the incarnation of the worker; empty while the agent knows of none. Born is left out by workers that do not
	// report it, and by agents of the release before.
	Instance    string   `json:"instance,omitempty"`
	StartMillis int64    `json:"born,omitempty"`
	Service     string   `json:"service,omitempty"`
	CPU         int      `json:"cpu,omitempty"`
	Memory      int      `json:"memory,omitempty"`
	GPU         int      `json:"gpu,omitempty"`
	Labels      []string `json:"labels,omitempty"`
	Draining    bool     `json:"draining,omitempty"`
	// RemainingMillis is the least time left to a draining worker.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
	// Unreachable says that the worker does not answer, Lapsed that the time of all that it runs is surely over.
	Unreachable  bool `json:"silent,omitempty"`
	LeaseExpired bool `json:"lapsed,omitempty"`
	// FirstFailureMillis is for how long the calls to the worker have been breaking off, 0 while they do not.
	FirstFailureMillis int64 `json:"broken_ms,omitempty"`
	// Fenced says that the worker has seen a fence of this epoch, so that Running, Ended and Pending are all there is.
	Fenced bool `json:"fenced,omitempty"`
	// Running are the runs that the worker has; once the lead numbers its list of entries it reads them from Rows, with Named for the
	// names that are new there, and Running is left out.
	Running  []Running  `json:"running,omitempty"`
	Rows     []Row      `json:"rows,omitempty"`
	RowNames []RowName  `json:"named,omitempty"`
	Ended    []Ended    `json:"ended,omitempty"`
	Pending  []Run      `json:"pending,omitempty"`
	Rejected []Rejected `json:"rejected,omitempty"`
	// MissingProfiles names runs of which the agent has no profile.
	MissingProfiles []Run `json:"unknown,omitempty"`
	// Crashes are the incarnations that have ended; each is reported until a leader has committed what follows from it.
	Crashes []Crash `json:"crashes,omitempty"`
	// EntriesVersion is which list of entries the agent has by this connection, 0 for none.
	EntriesVersion uint64 `json:"list,omitempty"`
}

// ReportAnswer is the lead's answer to a report.
type ReportAnswer struct {
	Epoch uint64 `json:"epoch"`
	// FirstFence and LastFence are the numbers under which the agent calls its worker, above those of all connections before; 0 from leaders of the
	// release before, whose agents call under the epoch.
	FirstFence uint64 `json:"first_fence,omitempty"`
	LastFence  uint64 `json:"last_fence,omitempty"`
	// LeaseMillis is how long the worker may go on, counted from when the report was sent.
	LeaseMillis int64 `json:"permission_ms"`
	// AcknowledgedEnds is up to which number the ends are committed.
	AcknowledgedEnds uint64 `json:"seen"`
	// AcknowledgedCrashes is up to which number what follows from crashes is committed.
	AcknowledgedCrashes uint64 `json:"crashes,omitempty"`
	// Unverified says that the lead has not confirmed for a while that it leads.
	Unverified bool `json:"doubtful,omitempty"`
	// Entries are the addresses of the entries, left out where the agent has them; List numbers them from 1.
	Entries        []string  `json:"entries,omitempty"`
	EntriesVersion uint64    `json:"list,omitempty"`
	Profiles       []Profile `json:"profiles,omitempty"`
	// UnknownService says that no configuration names the service that the worker was reported with.
	UnknownService bool `json:"foreign,omitempty"`
	// Connections is how many connections the worker takes at once, 0 where that is not known.
	Connections int `json:"connections,omitempty"`
	// Interference tells, by each image that fills the worker, by how much it lowers the headroom of each serving image there;
	// Swing is how fast the loads of serving tasks swing, in radians a second.
	Interference  map[string]map[string]float64 `json:"presses,omitempty"`
	LoadFrequency float64                       `json:"swing,omitempty"`
	// Backlog is how starved batch is, from 0 to 1.
	Backlog float64 `json:"starved,omitempty"`
	// Loads are those of the steps that serve there, by the names of the steps.
	Loads map[string]Load `json:"loads,omitempty"`
	// Hall tells of the hall of the agent.
	Hall Hall `json:"hall"`
}

// Hall tells whether the operators have closed a hall as of a revision of the store; a higher revision is newer.
type Hall struct {
	Closed   bool   `json:"closed,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

// Load is the headroom that the tasks of a step have without neighbors, its slope a second, its usual value, and the standard
// deviation of a task's.
type Load struct {
	Headroom  float64 `json:"v"`
	Slope     float64 `json:"s"`
	Mean      float64 `json:"u"`
	Deviation float64 `json:"d"`
}

// Profile is what an agent has to know of a run beside its name.
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

// Start orders a run.
type Start struct {
	Profile
	Checkpoint string `json:"checkpoint,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

// Orders are the lead's orders to an agent.
type Orders struct {
	Epoch uint64 `json:"epoch"`
	// Instance and Born name the incarnation of the worker that the orders are for.
	Instance    string  `json:"instance"`
	StartMillis int64   `json:"born,omitempty"`
	Starts      []Start `json:"starts,omitempty"`
	Stops       []Run   `json:"stops,omitempty"`
	// Texts holds the text of each job that Starts name, by the job's name.
	Texts map[string]string `json:"texts,omitempty"`
	// Hall tells of the hall of the agent as of these orders.
	Hall Hall `json:"hall"`
}

// Ping tells the lead of an entry and of the newest configuration that it knows.
type Ping struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	// Strength is the processor share of the entry's VM.
	Strength float64 `json:"strength"`
	// StoreAgeMillis is how long ago the store last answered the entry, below 0 where it never did.
	StoreAgeMillis int64 `json:"store_age_ms"`
	// EntriesVersion is which list of entries the entry has of this leader, 0 for none.
	EntriesVersion uint64 `json:"list,omitempty"`
	Offer
}

// Offer is a configuration as the store holds it, with its revision; the value is left out where both have it.
type Offer struct {
	Revision uint64 `json:"revision,omitempty"`
	Value    []byte `json:"value,omitempty"`
}

// PingAnswer is the lead's answer to an entry.
type PingAnswer struct {
	// Entries are addresses of entries, left out where the entry has them; List numbers them from 1.
	Entries        []string `json:"entries,omitempty"`
	EntriesVersion uint64   `json:"list,omitempty"`
	// Unverified says that the leader has not confirmed for a while that it leads.
	Unverified bool `json:"doubtful,omitempty"`
	// Rank is the place of the entry among those that may lead next, from 1; 0 where it has none.
	Rank int `json:"rank,omitempty"`
	// Probe asks the entry to find out whether the store answers it, and to ping again.
	Probe bool `json:"probe,omitempty"`
	// Agents is how many agents report to the leader.
	Agents int `json:"agents,omitempty"`
	// StoreDown says that the store answers neither the lead nor, as far as it knows, any entry; Succeed that the
	// entry is to lead, since the store answers it and not the lead, or since it is far stronger.
	StoreDown bool `json:"store_down,omitempty"`
	TakeOver  bool `json:"succeed,omitempty"`
	Offer
}

// LeaderRequest asks who leads; the answer waits a while for a leader later than the epoch After, unless it is wanted at once.
type LeaderRequest struct {
	After  uint64 `json:"after,omitempty"`
	AtOnce bool   `json:"at_once,omitempty"`
}

// LeaderAnswer is the leader that an entry knows, with how many agents the leader has, 0 where that is not known.
type LeaderAnswer struct {
	Process string `json:"node"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	Agents  int    `json:"agents,omitempty"`
}

// WaitingRequest asks for the count of a queue.
type WaitingRequest struct {
	Queue string `json:"queue"`
}

// WaitingAnswer is how many jobs of a queue have not begun.
type WaitingAnswer struct {
	Count int `json:"count"`
}

// JobStateRequest asks for the state of a job, which is answered once what the lead knows of the job is committed.
type JobStateRequest struct {
	Job string `json:"job"`
}

// JobStateAnswer is the committed state of a job, with Known false where the lead cannot tell.
type JobStateAnswer struct {
	Known bool `json:"known,omitempty"`
	State int  `json:"state"`
}

// Get asks for a key of the store.
type Get struct {
	Key string `json:"key"`
}

// Item is a key of the store.
type Item struct {
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Commit asks for a change of the store.
type Commit struct {
	Conditions map[string]uint64 `json:"conditions"`
	Puts       map[string][]byte `json:"puts"`
}

// CommitAnswer is the revision of a change.
type CommitAnswer struct {
	Revision uint64 `json:"revision"`
}

// Empty is an answer without content.
type Empty struct{}
