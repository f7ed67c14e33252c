package control

import "github.com/saffronpulley/saffronpulley/internal/worker"

// Methods that a lead serves.
const (
	MethodBeat      = "lead.beat"
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

// Beat is the heartbeat of an agent; what did not change since the last answered beat is left out.
type Beat struct {
	Instance string              `json:"i"`
	Boot     string              `json:"b"`
	Applied  Position            `json:"a"`
	Stopping bool                `json:"s,omitempty"`
	Pressed  bool                `json:"p,omitempty"`
	Evict    bool                `json:"v,omitempty"`
	Profile  *Profile            `json:"f,omitempty"`
	Statuses []worker.StatusWire `json:"t,omitempty"`
	// HasStatuses tells an empty list from one left out.
	HasStatuses bool               `json:"h,omitempty"`
	Reports     []Report           `json:"o,omitempty"`
	Usage       []worker.UsageWire `json:"u,omitempty"`
	Latency     []Latency          `json:"y,omitempty"`
}

// Profile is what does not change while an agent runs.
type Profile struct {
	Agent       string          `json:"agent"`
	Hall        string          `json:"hall"`
	Rack        int             `json:"rack"`
	Requests    string          `json:"requests"`
	Capacity    worker.SizeWire `json:"capacity"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
}

// Report is a run that has ended on the agent's worker.
type Report struct {
	Run           worker.RunWire `json:"run"`
	State         string         `json:"state"`
	Checkpoint    string         `json:"checkpoint,omitempty"`
	RuntimeMillis int64          `json:"runtime_ms,omitempty"`
}

// Latency is how a service on the agent's worker kept its target since the last beat.
type Latency struct {
	Service string  `json:"service"`
	Load    float64 `json:"load"`
	Ratio   float64 `json:"ratio"`
	// RunMicros is how long requests ran at the endpoint on average.
	RunMicros int64 `json:"run_us"`
	Samples   int64 `json:"samples"`
	// Neighbors are the batch workloads beside the service, throttled as they were.
	Neighbors []Neighbor `json:"neighbors,omitempty"`
}

// Neighbor is a batch workload with the share of the VM's processors that it was given.
type Neighbor struct {
	Workload string  `json:"workload"`
	Share    float64 `json:"share"`
}

// BeatAnswer is the lead's answer; Desired is left out if the agent has it already.
type BeatAnswer struct {
	Known   bool             `json:"k"`
	Epoch   uint64           `json:"e,omitempty"`
	Desired *Desired         `json:"d,omitempty"`
	Acked   []worker.RunWire `json:"a,omitempty"`
}

// Desired is all that an agent is to run.
type Desired struct {
	Position Position `json:"position"`
	Boot     string   `json:"boot"`
	// Leaving tells the agent that its VM is being taken away.
	Leaving bool         `json:"leaving,omitempty"`
	Runs    []DesiredRun `json:"runs"`
}

// DesiredRun is a run with what the agent needs to know of its workload.
type DesiredRun struct {
	Run          worker.RunWire  `json:"run"`
	Workload     string          `json:"workload"`
	Service      bool            `json:"service,omitempty"`
	Size         worker.SizeWire `json:"size"`
	Checkpoint   string          `json:"checkpoint,omitempty"`
	Evict        bool            `json:"evict,omitempty"`
	Weight       int             `json:"weight,omitempty"`
	Concurrency  int             `json:"concurrency,omitempty"`
	Queue        int             `json:"queue,omitempty"`
	TargetMillis int64           `json:"target_ms,omitempty"`
}
