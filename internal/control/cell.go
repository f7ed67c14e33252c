package control

// Subscribe asks a leader to push its summaries; entries repeat it to check that the leader still leads.
type Subscribe struct {
	Entry string `json:"entry"`
	// Received is the position of the latest summary that the entry has received.
	Received Position `json:"seen"`
}

// SubscribeAnswer returns the load of the cell, and its summary if the entry has not received the latest one.
type SubscribeAnswer struct {
	Load    Load     `json:"load"`
	Summary *Summary `json:"summary,omitempty"`
	// LeaseExpired reports whether the leader's lease has expired; another process may lead then.
	LeaseExpired bool `json:"lapsed,omitempty"`
}

// Load is the load of a cell, by which entries choose the cell of a job.
type Load struct {
	// Free is the number of free processors of the cell, Capacity the number of all, both in thousandths.
	Free     int64 `json:"room"`
	Capacity int64 `json:"capacity"`
	// Waiting is the number of jobs and services that wait for a worker.
	Waiting int `json:"waiting"`
	// Largest is the largest capacity of a worker for each resource.
	Largest Size `json:"largest"`
}

// Summary holds the endpoints of a cell; it is pushed when they change.
type Summary struct {
	Cell      string     `json:"cell"`
	Position  Position   `json:"position"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is a replica that serves requests.
type Endpoint struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Boot     string `json:"boot"`
	Address  string `json:"address"`
	Hall     string `json:"hall"`
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// Ack is the empty answer to a message.
type Ack struct{}

// Submit submits a job; each identifier is accepted once.
type Submit struct {
	ID              string `json:"id"`
	Workload        string `json:"workload"`
	Payload         string `json:"payload,omitempty"`
	Tasks           int    `json:"tasks"`
	SubmittedMillis int64  `json:"submitted_unix_ms"`
	// Repeated is set if the key of the job was claimed by an earlier submission, which may have been accepted.
	Repeated bool `json:"repeated,omitempty"`
}

// JobQuery identifies the job to return or to cancel.
type JobQuery struct {
	ID string `json:"id"`
}

// Job is the state of a job and the progress of its tasks.
type Job struct {
	ID              string `json:"id"`
	Workload        string `json:"workload"`
	State           string `json:"state"`
	Tasks           int    `json:"tasks"`
	Running         int    `json:"running"`
	Finished        int    `json:"finished"`
	Failed          int    `json:"failed"`
	Evictions       int    `json:"evictions"`
	Waiting         string `json:"waiting_because,omitempty"`
	SubmittedMillis int64  `json:"submitted_unix_ms"`
}

// StatusQuery asks for the state of a cell.
type StatusQuery struct{}

// CellStatus is the state of a cell.
type CellStatus struct {
	Cell         string          `json:"cell"`
	Leader       string          `json:"lead"`
	Epoch        uint64          `json:"epoch"`
	StoreUp      bool            `json:"store_up"`
	TableVersion uint64          `json:"table_version"`
	Commits      int64           `json:"commits"`
	DocumentSize int             `json:"document_bytes"`
	Workers      []WorkerStatus  `json:"workers"`
	Services     []ServiceStatus `json:"services"`
	Jobs         []Job           `json:"jobs"`
}

// WorkerStatus is the state of a worker.
type WorkerStatus struct {
	Instance           string  `json:"instance"`
	Rack               int     `json:"rack"`
	State              string  `json:"state"`
	Tasks              int     `json:"tasks"`
	Committed          string  `json:"committed"`
	Share              float64 `json:"share"`
	HeartbeatAgeMillis int64   `json:"heard_ms_ago"`
	Requests           string  `json:"requests"`
	AgentBoot          string  `json:"boot"`
	Accelerators       int64   `json:"accelerators"`
}

// ServiceStatus is the state of a service in a cell.
type ServiceStatus struct {
	Service      string  `json:"service"`
	Replicas     int     `json:"replicas"`
	Running      int     `json:"running"`
	TargetMillis int64   `json:"target_ms"`
	Ratio        float64 `json:"ratio_of_target"`
	Waiting      string  `json:"waiting_because,omitempty"`
}

// ExplainQuery asks for the placement of a task and its reason.
type ExplainQuery struct {
	Task string `json:"task"`
}

// Explanation is the placement of a task with the reason for it, or the reason why the task cannot run.
type Explanation struct {
	Task        string `json:"task"`
	Workload    string `json:"workload"`
	State       string `json:"state"`
	Instance    string `json:"instance,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Size        string `json:"size,omitempty"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	Failures    int    `json:"failures"`
	Evictions   int    `json:"evictions"`
	Reason      string `json:"reason"`
}

// TimelineQuery asks for events after a stamp.
type TimelineQuery struct {
	After uint64 `json:"after"`
}
