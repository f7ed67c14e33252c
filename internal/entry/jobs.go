package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/table"
)

const (
	jobTimeout  = 8 * time.Second
	jobKeyTTL   = 24 * time.Hour
	maxPayload  = 1 << 10
	maxJobTasks = 100_000
)

// submission is the JSON body of a job submission.
type submission struct {
	Workload string `json:"workload"`
	Tasks    int    `json:"tasks"`
	Payload  string `json:"payload"`
	Key      string `json:"key"`
}

func (e *Entry) handleSubmit(ctx *fasthttp.RequestCtx) {
	var s submission
	if err := json.Unmarshal(ctx.Request.Body(), &s); err != nil {
		writeError(ctx, fault.Wrap(err, fault.BadInput, "the job is not JSON of the documented form"))
		return
	}
	row, err := e.checkSubmission(s)
	if err != nil {
		writeError(ctx, err)
		return
	}
	callContext, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	job, err := e.submit(callContext, s, row)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusAccepted, job)
}

func (e *Entry) checkSubmission(s submission) (table.Row, error) {
	t, _, loaded := e.tableDocument.Current()
	if !loaded {
		return table.Row{}, fault.New(fault.Unavailable, "the table has not been read yet")
	}
	row, ok := t.Row(s.Workload)
	switch {
	case !ok || row.Kind() != table.Batch:
		return row, fault.New(fault.NotFound, "the table has no batch workload %q", s.Workload)
	case s.Tasks < 1 || s.Tasks > maxJobTasks:
		return row, fault.New(fault.BadInput, "tasks is %d; use a whole number from 1 to %d", s.Tasks, maxJobTasks)
	case len(s.Payload) > maxPayload:
		return row, fault.New(fault.BadInput, "payload is %d bytes long; the limit is %d", len(s.Payload), maxPayload)
	case len(s.Key) > maxKey:
		return row, fault.New(fault.BadInput, "key is %d bytes long; the limit is %d", len(s.Key), maxKey)
	case e.leaving.Load():
		return row, fault.New(fault.Leaving, "the entry is stopping")
	default:
		return row, nil
	}
}

// submit sends a job to a cell; submissions with the same job key at any entry within a day return the same job.
func (e *Entry) submit(ctx context.Context, s submission, row table.Row) (control.Job, error) {
	cells := e.catalog.ForJob(row.Size())
	if len(cells) == 0 {
		if !e.catalog.WorkersReported() {
			return control.Job{}, fault.New(fault.Unavailable, "not every cell has a leader with reports from its workers")
		}
		return control.Job{}, fault.New(fault.Impossible, "no worker of the region has a capacity of %s", row.Size())
	}
	created := cells[0] + "." + ulid.Make().String()
	id := created
	if s.Key != "" {
		claimed, err := e.claimJobKey(ctx, row.Team()+"/"+s.Key, created)
		if err != nil {
			return control.Job{}, err
		}
		id = claimed
	}
	message := control.Submit{
		ID: id, Workload: s.Workload, Payload: s.Payload, Tasks: s.Tasks, SubmittedMillis: time.Now().UnixMilli(), Repeated: id != created,
	}
	return callLeader[control.Submit, control.Job](ctx, e, cellOfJob(id), control.MethodSubmit, message)
}

// claimJobKey binds a caller's key to a job, or returns the ID of the job that it is already bound to.
func (e *Entry) claimJobKey(ctx context.Context, key, id string) (string, error) {
	lease, err := e.Store.Acquire(ctx, "job/"+key, id, jobKeyTTL)
	switch {
	case err == nil:
		return id, nil
	case fault.Is(err, fault.Conflict):
		return lease.Holder(), nil
	case fault.Is(err, fault.OutcomeUnknown):
		// No job has been submitted yet, whether or not the claim succeeded.
		return "", fault.Wrap(err, fault.Unavailable, "the key cannot be claimed for now")
	default:
		return "", err
	}
}

// cellOfJob returns the cell of a job, which is the prefix of its ID.
func cellOfJob(id string) string {
	cell, _, _ := strings.Cut(id, ".")
	return cell
}

func callLeader[Req, Res any](ctx context.Context, e *Entry, cell, method string, request Req) (Res, error) {
	var zero Res
	peer, err := e.catalog.Peer(cell)
	if err != nil {
		return zero, err
	}
	return rpc.Call[Req, Res](ctx, peer, method, request)
}

func (e *Entry) handleJob(ctx *fasthttp.RequestCtx, id string) {
	e.answerJob(ctx, id, control.MethodJob)
}

func (e *Entry) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	e.answerJob(ctx, id, control.MethodCancel)
}

func (e *Entry) answerJob(ctx *fasthttp.RequestCtx, id, method string) {
	callContext, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	job, err := callLeader[control.JobQuery, control.Job](callContext, e, cellOfJob(id), method, control.JobQuery{ID: id})
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, job)
}
