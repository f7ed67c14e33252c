package intake

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/policy"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// retryAfter is when a caller is told to come back while the store is away; shorter than most of its outages.
const retryAfter = time.Second

// Address is what a caller named: a host and a path, which together tell the queue and the job.
type Address struct {
	Host string
	Path string
}

// Config holds what a desk needs.
type Config struct {
	Store *relay.Store
	// Direct is the entry's own way to the store, Health what is known of it.
	Direct   kv.Store
	Health   *kv.Health
	Pool     *relay.Pool
	Policies *Policies
	Leader   *follow.Follower[record.Leader]
	// Dispatcher tells what this entry has committed where it leads itself.
	Dispatcher LocalDispatcher
	Logger     logging.Logger
	Metrics    *metric.Registry
}

// LocalDispatcher is the part of an entry that may lead.
type LocalDispatcher interface {
	// JobState returns the committed state of a job, false where this entry does not lead or cannot tell.
	JobState(id job.ID) (job.State, bool)
}

// Server serves callers.
type Server struct {
	config Config
	logger logging.Logger
	doubts *doubts
	// leaderAnswers says that the leader has answered the latest ping.
	leaderAnswers atomic.Bool
}

// New returns a desk.
func New(config Config) *Server {
	return &Server{config: config, logger: config.Logger, doubts: newDoubts()}
}

// route finds the queue that an address names, and the rest of the path.
func (d *Server) route(ctx context.Context, a Address) (*policy.Route, string, error) {
	current := d.config.Policies.Newest()
	if current == nil {
		return nil, "", fault.New(fault.Unavailable, "there is no configuration yet").WithRetryAfter(retryAfter)
	}
	found := current.Route(a.Host, a.Path)
	if found == nil {
		current = d.config.Policies.Fresh(ctx)
		found = current.Route(a.Host, a.Path)
	}
	if found == nil {
		return nil, "", fault.New(fault.NotFound, "version %d of the configuration has no queue there", current.Version())
	}
	return found, strings.TrimPrefix(a.Path, found.Prefix), nil
}

// jobAt finds the queue and the job that an address names.
func (d *Server) jobAt(ctx context.Context, a Address) (*policy.Route, job.ID, error) {
	route, rest, err := d.route(ctx, a)
	if err != nil {
		return nil, "", err
	}
	id := job.ID(rest)
	if !id.Valid() {
		return nil, "", fault.New(fault.BadInput, "%q names no job; a job's name has 16 hexadecimal digits", rest)
	}
	return route, id, nil
}

// Submit takes a job; it is kept once the answer is without an error.
func (d *Server) Submit(ctx context.Context, a Address, size int, decode func() (job.Spec, error)) error {
	began := time.Now()
	route, id, err := d.jobAt(ctx, a)
	if err != nil {
		return err
	}
	if most := d.config.Policies.Newest().MaxBody(); most > 0 && size > most {
		return fault.New(fault.TooLarge, "the job has %d bytes; the operators allow %d", size, most)
	}
	spec, err := decode()
	if err != nil {
		d.logger.Info("job refused; job=%s queue=%s reason=%v", id, route.Queue.Name, err)
		return err
	}
	value, err := job.Encode(spec, route.Queue, time.Now())
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the job cannot be encoded")
	}
	err = d.write(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.JobKey(id)}},
		Puts:       []kv.Put{{Key: record.JobKey(id), Value: value}},
	})
	err = d.doubts.settle(id, err)
	d.count("submit", began, err)
	d.logger.Info("job handed in; job=%s queue=%s version=%d ms=%d outcome=%v",
		id, route.Queue.Name, d.config.Policies.Newest().Version(), time.Since(began).Milliseconds(), outcome(err))
	return err
}

// count notes how a call ended and how long it took in milliseconds.
func (d *Server) count(call string, began time.Time, err error) {
	d.config.Metrics.Counter("jobs." + call + "." + outcome(err)).Inc(1)
	d.config.Metrics.Histogram("jobs." + call + "_ms").Update(time.Since(began).Milliseconds())
}

// write makes a change whose condition fails only if it was made before.
func (d *Server) write(ctx context.Context, change kv.Txn) error {
	err := d.config.Store.Commit(ctx, change)
	if fault.Is(err, fault.Conflict) {
		return nil
	}
	return d.refusal(err)
}

// refusal tells the caller when to come back.
func (d *Server) refusal(err error) error {
	if err == nil {
		return nil
	}
	kind := fault.KindOf(err)
	if kind == fault.DeadlineExceeded {
		kind = fault.OutcomeUnknown
	}
	return fault.Wrap(err, kind, "the job was not handled").WithRetryAfter(retryAfter)
}

func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return fault.KindOf(err).String()
}

// Cancel cancels a job.
func (d *Server) Cancel(ctx context.Context, a Address) error {
	began := time.Now()
	_, id, err := d.jobAt(ctx, a)
	if err != nil {
		return err
	}
	item, err := d.config.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return d.refusal(err)
	}
	if item.Revision() == 0 {
		return fault.New(fault.Gone, "there is no job %s", id)
	}
	err = d.write(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.CancelKey(id)}},
		Puts:       []kv.Put{{Key: record.CancelKey(id), Value: []byte{1}}},
	})
	d.count("cancel", began, err)
	d.logger.Info("job canceled; job=%s outcome=%s", id, outcome(err))
	return err
}

// State returns the state of a job as it is committed.
func (d *Server) State(ctx context.Context, a Address) (job.State, error) {
	_, id, err := d.jobAt(ctx, a)
	if err != nil {
		return job.Queued, err
	}
	if state, known := d.stateByLeader(ctx, id); known {
		return state, nil
	}
	return d.stateByStore(ctx, id)
}

// statePatience bounds the question to the leader, which may wait for a commit; then the store is read.
const statePatience = 400 * time.Millisecond

// stateByLeader returns the state of a job as the leader has committed it, false where the leader cannot tell or has not answered this entry of late.
func (d *Server) stateByLeader(ctx context.Context, id job.ID) (job.State, bool) {
	if state, known := d.config.Dispatcher.JobState(id); known {
		return state, true
	}
	lead, known := d.config.Leader.Value()
	if !known || lead.Revision == 0 || !d.leaderAnswers.Load() {
		return job.Queued, false
	}
	bounded, cancel := context.WithTimeout(ctx, statePatience)
	defer cancel()
	peer, err := d.config.Pool.Peer(bounded, lead.Decoded.Address)
	if err != nil {
		return job.Queued, false
	}
	answer, err := rpc.Call[link.JobStateRequest, link.JobStateAnswer](bounded, peer, link.MethodState, link.JobStateRequest{Job: string(id)})
	return job.State(answer.State), err == nil && answer.Known
}

// stateByStore returns the state of a job as the store has it.
func (d *Server) stateByStore(ctx context.Context, id job.ID) (job.State, error) {
	progress, err := d.config.Store.Get(ctx, record.ProgressKey(id))
	if err != nil {
		return job.Queued, d.refusal(err)
	}
	if progress.Revision() > 0 {
		return job.DecodeState(progress.Value())
	}
	accepted, err := d.config.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return job.Queued, d.refusal(err)
	}
	if accepted.Revision() == 0 {
		return job.Queued, fault.New(fault.Gone, "there is no job %s", id)
	}
	return job.Queued, nil
}

// IsQueue reports whether the path names a queue and no job.
func (d *Server) IsQueue(a Address) bool {
	current := d.config.Policies.Newest()
	if current == nil {
		return false
	}
	found := current.Route(a.Host, a.Path)
	return (found != nil && found.Prefix == a.Path) || (found == nil && strings.HasSuffix(a.Path, "/"))
}

const (
	// waitingPatience bounds the question to the lead, waitingPause lies between two.
	waitingPatience = 500 * time.Millisecond
	waitingPause    = 80 * time.Millisecond
)

// Waiting returns how many jobs of a queue have not begun, as the lead knows.
func (d *Server) Waiting(ctx context.Context, a Address) (int, error) {
	route, _, err := d.route(ctx, a)
	if err != nil {
		return 0, err
	}
	for {
		count, err := d.askWaiting(ctx, route.Queue.Name)
		if err == nil {
			return count, nil
		}
		select {
		case <-ctx.Done():
			return 0, fault.Wrap(err, fault.Unavailable, "the lead cannot be asked").WithRetryAfter(retryAfter)
		case <-time.After(waitingPause):
		}
	}
}

func (d *Server) askWaiting(ctx context.Context, queue string) (int, error) {
	lead, known := d.config.Leader.Value()
	if !known || lead.Revision == 0 {
		return 0, fault.New(fault.Unavailable, "nobody leads")
	}
	bounded, cancel := context.WithTimeout(ctx, waitingPatience)
	defer cancel()
	peer, err := d.config.Pool.Peer(bounded, lead.Decoded.Address)
	if err != nil {
		return 0, err
	}
	answer, err := rpc.Call[link.WaitingRequest, link.WaitingAnswer](bounded, peer, link.MethodWaiting, link.WaitingRequest{Queue: queue})
	if err != nil && !fault.Is(err, fault.Stale) {
		d.config.Pool.Drop(lead.Decoded.Address)
	}
	return answer.Count, err
}
