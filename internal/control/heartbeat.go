package control

// Methods that a lead serves.
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

// Methods that an agent serves to its lead, on the connection that the agent made.
const (
	MethodDesired       = "agent.desired"
	MethodAgentTimeline = "agent.timeline"
)

// MethodSummary is served by an entry to the leads that it subscribed to.
const MethodSummary = "entry.summary"

// Position orders what leads tell an agent: a later epoch goes before an earlier one, then the higher revision.
type Position struct {
	Epoch    uint64 `json:"e"`
	Revision uint64 `json:"r"`
}

// Before reports whether the position is earlier than another.
func (p Position) Before(o Position) bool {
	return p.Epoch < o.Epoch || (p.Epoch == o.Epoch && p.Revision < o.Revision)
}

// Heartbeat is the heartbeat of an agent; what did not change since the last answered beat is left out.
type Heartbeat struct {
	Instance string `json:"i"`
	Boot     string `json:"b"`
	// Received is the latest position that the agent was told, Applied the latest that its worker was brought to.
	Received     Position `json:"q"`
	Applied      Position `json:"a"`
	Stopping     bool     `json:"s,omitempty"`
	BatchBlocked bool     `json:"p,omitempty"`
	Evict        bool     `json:"v,omitempty"`
	// Profile is given with the first beat, and then Statuses are all there are; later ones are those that changed.
	Profile  *Profile  `json:"f,omitempty"`
	Statuses []Status  `json:"t,omitempty"`
	Removed  []Run     `json:"g,omitempty"`
	Reports  []Report  `json:"o,omitempty"`
	Usage    []Usage   `json:"u,omitempty"`
	Latency  []Latency `json:"y,omitempty"`
}

// Profile is what does not change while an agent runs.
type Profile struct {
	Agent       string `json:"agent"`
	Hall        string `json:"hall"`
	Rack        int    `json:"rack"`
	Requests    string `json:"requests"`
	Capacity    Size   `json:"capacity"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Status is a run that has not ended on the agent's worker.
type Status struct {
	Run       Run    `json:"r"`
	Workload  string `json:"w"`
	State     string `json:"s"`
	IsReplica bool   `json:"e,omitempty"`
}

// Report is a run that has ended on the agent's worker.
type Report struct {
	Run           Run    `json:"r"`
	State         string `json:"s"`
	Checkpoint    string `json:"c,omitempty"`
	RuntimeMillis int64  `json:"m,omitempty"`
}

// Usage is what a run was measured to take.
type Usage struct {
	Run  Run  `json:"r"`
	Used Size `json:"z"`
}

// Latency is how a service on the agent's worker kept its target since the last beat.
type Latency struct {
	Service string  `json:"s"`
	Load    float64 `json:"l"`
	Ratio   float64 `json:"r"`
	// MeanRunMicros is how long requests ran at the endpoint on average.
	MeanRunMicros int64 `json:"m"`
	Samples       int64 `json:"n"`
	// Neighbors are the batch workloads beside the service, throttled as they were.
	Neighbors []Neighbor `json:"b,omitempty"`
}

// Neighbor is a batch workload with the share of the VM's processors that it was given.
type Neighbor struct {
	Workload string  `json:"w"`
	Share    float64 `json:"p"`
}

// HeartbeatAnswer is the lead's answer; Desired is left out if the agent has it already.
type HeartbeatAnswer struct {
	Known   bool     `json:"k"`
	Epoch   uint64   `json:"e,omitempty"`
	Desired *Desired `json:"d,omitempty"`
	Acked   []Run    `json:"a,omitempty"`
	// LeaseExpired says that the lead's lease has lapsed, so that another may lead by now.
	LeaseExpired bool `json:"x,omitempty"`
}

// Desired is what an agent is to run: all of it, or what changed since a position that the agent has.
type Desired struct {
	Position Position `json:"p"`
	Base     Position `json:"q"`
	Boot     string   `json:"b"`
	// Leaving tells the agent that its VM is being taken away.
	Leaving bool         `json:"l,omitempty"`
	Runs    []DesiredRun `json:"r,omitempty"`
	Removed []Run        `json:"g,omitempty"`
}

// IsFull reports whether the message is all that the agent is to run.
func (d *Desired) IsFull() bool { return d.Base == Position{} }

// DesiredRun is a run with what the agent needs to know of its workload.
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
