package timeline

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of an event.
type Kind int

// The kinds of events.
const (
	ProcessStarted        Kind = iota // process_started
	ProcessStopping                   // process_stopping
	LeadershipAcquired                // lead_taken
	LeadershipLost                    // lead_lost
	JobAccepted                       // job_accepted
	JobFinished                       // job_finished
	JobCanceled                       // job_canceled
	TaskAssigned                      // task_assigned
	TaskStarted                       // task_started
	TaskRefused                       // task_refused
	TaskThrottled                     // task_throttled
	TaskEvicting                      // task_evicting
	TaskEvicted                       // task_evicted
	TaskFinished                      // task_finished
	TaskFailed                        // task_failed
	TaskLost                          // task_lost
	TaskStopped                       // task_stopped
	TableAccepted                     // table_accepted
	TableChanged                      // table_seen
	EndpointEjected                   // endpoint_ejected
	EndpointLeaving                   // endpoint_leaving
	KeySlotsAcquired                  // keys_taken
	WorkerProbation                   // worker_probation
	StoreUnreachable                  // store_lost
	StoreReachable                    // store_back
	RequestRefused                    // request_refused
	RequestOutcomeUnknown             // request_in_doubt
	kindCount
)

// Event is an event of one process, with its stamp, its subject and a text.
type Event struct {
	stamp   Stamp
	process string
	kind    Kind
	task    string
	worker  string
	request string
	text    string
}

// NewEvent returns an event; task, worker and request may be empty.
func NewEvent(stamp Stamp, process string, kind Kind, task, worker, request, text string) Event {
	return Event{stamp, process, kind, task, worker, request, text}
}

// Stamp returns the time of the event.
func (e Event) Stamp() Stamp { return e.stamp }

// Process returns the identifier of the process that recorded the event.
func (e Event) Process() string { return e.process }

// Kind returns the kind of the event.
func (e Event) Kind() Kind { return e.kind }

// Task returns the task that the event is about, empty for none.
func (e Event) Task() string { return e.task }

// Worker returns the worker that the event is about, empty for none.
func (e Event) Worker() string { return e.worker }

// Request returns the request that the event is about, empty for none.
func (e Event) Request() string { return e.request }

// Text returns a description of the event for operators.
func (e Event) Text() string { return e.text }
