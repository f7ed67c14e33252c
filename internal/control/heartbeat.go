package control

// Methods that a leader serves.
const (
	MethodHeartbeat = "lead.beat"
	MethodSubscribe = "lead.subscribe"
	MethodSubmit    = "lead.submit"
	MethodJob       = "lead.job"
	MethodCancel    = "lead.cancel"
	MethodStatus    = "lead.status"
	MethodExplain   = "lead.explain"
	MethodTimeline  = "lead.timeline"
)

// Methods that an agent serves to its leader, on the connection that the agent opened.
const (
	MethodDesired       = "agent.desired"
	MethodAgentTimeline = "agent.timeline"
)

// MethodSummary is the method that an entry serves to the leaders that it has subscribed to.
const MethodSummary = "entry.summary"

// Position orders the messages of leaders to an agent by epoch, then by revision; later positions supersede earlier ones.
type Position struct {
	Epoch    uint64 `json:"e"`
	Revision uint64 `json:"r"`
}

// Before reports whether the position is earlier than another.
func (p Position) Before(o Position) bool {
	return p.Epoch < o.Epoch || (p.Epoch == o.Epoch && p.Revision < o.Revision)
}

// Heartbeat is the heartbeat of an agent; it leaves out what has not changed since the last answered heartbeat.
type Heartbeat struct {
	Instance string `json:"i"`
	Boot     string `json:"b"`
	// Received is the latest position that the agent has received, Applied the latest that its worker runs.
	Received     Position `json:"q"`
	Applied      Position `json:"a"`
	Stopping     bool     `json:"s,omitempty"`
	BatchBlocked bool     `json:"p,omitempty"`
	Evict        bool     `json:"v,omitempty"`
	// Profile is set in the first heartbeat, in which Statuses holds all runs; later heartbeats hold the changed ones.
	Profile  *Profile  `json:"f,omitempty"`
	Statuses []Status  `json:"t,omitempty"`
	Removed  []Run     `json:"g,omitempty"`
	Reports  []Report  `json:"o,omitempty"`
	Usage    []Usage   `json:"u,omitempty"`
	Latency  []Latency `json:"y,omitempty"`
}

// Profile holds the properties of an agent and its VM that are constant while the agent runs.
type Profile struct {
	Agent       string `json:"agent"`
	Hall        string `json:"hall"`
	Rack        int    `json:"rack"`
	Requests    string `json:"requests"`
	Capacity    Size   `json:"capacity"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Status is the state of a run on the agent's worker that has not ended.
type Status struct {
	Run       Run    `json:"r"`
	Workload  string `json:"w"`
	State     string `json:"s"`
	IsReplica bool   `json:"e,omitempty"`
}

// Report is the final state of a run that has ended on the agent's worker.
type Report struct {
	Run           Run    `json:"r"`
	State         string `json:"s"`
	Checkpoint    string `json:"c,omitempty"`
	RuntimeMillis int64  `json:"m,omitempty"`
}

// Usage is the measured resource usage of a run.
type Usage struct {
	Run  Run  `json:"r"`
	Used Size `json:"z"`
}

// Latency is the latency of a service on the agent's worker relative to its target since the last heartbeat.
type Latency struct {
	Service string  `json:"s"`
	Load    float64 `json:"l"`
	Ratio   float64 `json:"r"`
	// MeanRunMicros is the mean time in microseconds that requests ran at the endpoint.
	MeanRunMicros int64 `json:"m"`
	Samples       int64 `json:"n"`
	// Neighbors are the batch workloads co-located with the service, with their throttles applied.
	Neighbors []Neighbor `json:"b,omitempty"`
}

// Neighbor is a batch workload with its share of the VM's processors.
type Neighbor struct {
	Workload string  `json:"w"`
	Share    float64 `json:"p"`
}

// HeartbeatAnswer is the leader's answer to a heartbeat; Desired is nil if the agent has received the latest position.
type HeartbeatAnswer struct {
	Known   bool     `json:"k"`
	Epoch   uint64   `json:"e,omitempty"`
	Desired *Desired `json:"d,omitempty"`
	Acked   []Run    `json:"a,omitempty"`
	// LeaseExpired reports whether the leader's lease has expired; another process may lead then.
	LeaseExpired bool `json:"x,omitempty"`
}

// Desired holds the runs that an agent is to run: all of them, or the changes since the position Base.
type Desired struct {
	Position Position `json:"p"`
	Base     Position `json:"q"`
	Boot     string   `json:"b"`
	// Leaving reports whether the platform is removing the agent's VM.
	Leaving bool         `json:"l,omitempty"`
	Runs    []DesiredRun `json:"r,omitempty"`
	Removed []Run        `json:"g,omitempty"`
}

// IsFull reports whether the message holds all runs of the agent rather than changes.
func (d *Desired) IsFull() bool { return d.Base == Position{} }

// DesiredRun is a run with the settings of its workload that the agent needs.
type DesiredRun struct {
	Run          Run    `json:"r"`
	Workload     string `json:"w"`
	Service      bool   `json:"s,omitempty"`
	Size         Size   `json:"z"`
	Checkpoint   string `json:"c,omitempty"`
	Evict        bool   `json:"e,omitempty"`
	Weight       int    `json:"h,omitempty"`
	Concurrency  int    `json:"n,omitempty"`
	Queue        int    `json:"q,omitempty"`
	TargetMillis int64  `json:"t,omitempty"`
}
