package task

import (
	"strconv"
	"strings"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// ID identifies a task by its job, or its service for a replica, and its index.
type ID struct {
	job   string
	index int
}

// NewID returns the identifier of the task with an index, from 0, in a job.
func NewID(job string, index int) ID { return ID{job: job, index: index} }

// Job returns the job or the service of the task.
func (i ID) Job() string { return i.job }

// Index returns the index of the task in its job, from 0.
func (i ID) Index() int { return i.index }

// String returns the identifier in the form job/index.
func (i ID) String() string { return i.job + "/" + strconv.Itoa(i.index) }

// ParseID parses an identifier of the form job/index.
func ParseID(name string) (ID, error) {
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return ID{}, fault.New(fault.BadInput, "%q is not a task; a task is written job/index", name)
	}
	index, err := strconv.Atoi(name[slash+1:])
	if err != nil || index < 0 {
		return ID{}, fault.New(fault.BadInput, "%q is not a task; its index is not a number from 0", name)
	}
	return ID{job: name[:slash], index: index}, nil
}

// Incarnation numbers the starts of a task; each start has a higher number than the previous one.
type Incarnation uint64

// Run identifies one start of a task.
type Run struct {
	id          ID
	incarnation Incarnation
}

// NewRun returns the run of a task with an incarnation.
func NewRun(id ID, incarnation Incarnation) Run { return Run{id: id, incarnation: incarnation} }

// ID returns the task.
func (r Run) ID() ID { return r.id }

// Incarnation returns the incarnation of the task in this run.
func (r Run) Incarnation() Incarnation { return r.incarnation }
