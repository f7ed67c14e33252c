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

// retryAfter is when callers are asked to retry during an outage of the store; shorter than most outages.
const retryAfter = time.Second

// Address is the host and path of a caller's request, which together identify the queue and the job.
type Address struct {
	Host string
	Path string
}

// Config holds the dependencies of a server.
type Config struct {
	Store *relay.Store
	// Direct calls the store without other entries; Health is the health of these calls.
	Direct   kv.Store
	Health   *kv.Health
	Pool     *relay.Pool
	Policies *Policies
	Leader   *follow.Follower[record.Leader]
	// Dispatcher provides the committed states of jobs while this entry is the leader.
	Dispatcher LocalDispatcher
	Logger     logging.Logger
	Metrics    *metric.Registry
}

// LocalDispatcher is the dispatcher of this entry, which may be the leader.
type LocalDispatcher interface {
	// JobState returns the committed state of a job, false if this entry is not the leader or has no committed state.
	JobState(id job.ID) (job.State, bool)
}

// Server handles callers' requests on jobs.
type Server struct {
	config      Config
	logger      logging.Logger
	unknownJobs *unknownJobs
	// leaderAnswers is set if the leader answered the latest ping.
	leaderAnswers atomic.Bool
}

// New returns a server.
func New(config Config) *Server {
	return &Server{config: config, logger: config.Logger, unknownJobs: newUnknownJobs()}
}

// configurationFor returns the newest configuration if it accepts a request, or else a confirmed one. While the store does not answer this entry,
// none can be confirmed and the request is refused at once.
func (s *Server) configurationFor(ctx context.Context, accepts func(*policy.Policy) bool) (*policy.Policy, error) {
	newest := s.config.Policies.Newest()
	switch {
	case newest == nil:
		return nil, errNoConfiguration
	case accepts(newest):
		return newest, nil
	case s.config.Health.Down():
		return nil, fault.New(fault.Unavailable, "the store does not answer, so version %d of the configuration is not confirmed", newest.Version()).
			WithRetryAfter(retryAfter)
	}
	return s.config.Policies.Fresh(ctx, accepts)
}

// route returns the queue of an address and the rest of the path.
func (s *Server) route(ctx context.Context, a Address) (*policy.Route, string, error) {
	current, err := s.configurationFor(ctx, func(p *policy.Policy) bool { return p.Route(a.Host, a.Path) != nil })
	if err != nil {
		return nil, "", err
	}
	found := current.Route(a.Host, a.Path)
	if found == nil {
		s.logger.Info("no queue at the address; host=%q path=%q version=%d verified_ms=%d",
			a.Host, a.Path, current.Version(), s.config.Policies.VerifiedAge().Milliseconds())
		return nil, "", fault.New(fault.NotFound, "version %d of the configuration has no queue at this address", current.Version())
	}
	return found, strings.TrimPrefix(a.Path, found.Prefix), nil
}

// jobAt returns the queue and the job of an address.
func (s *Server) jobAt(ctx context.Context, a Address) (*policy.Route, job.ID, error) {
	route, rest, err := s.route(ctx, a)
	if err != nil {
		return nil, "", err
	}
	id := job.ID(rest)
	if !id.Valid() {
		return nil, "", fault.New(fault.BadInput, "%q is not the name of a job, which has 16 hexadecimal digits", rest)
	}
	return route, id, nil
}

// Submit accepts a job; the job is stored if the error is nil.
func (s *Server) Submit(ctx context.Context, a Address, size int, decode func() (job.Spec, error)) error {
	start := time.Now()
	route, id, err := s.jobAt(ctx, a)
	if err != nil {
		return err
	}
	if err := s.checkSize(ctx, size); err != nil {
		return err
	}
	spec, err := decode()
	if err != nil {
		s.logger.Info("job refused; job=%s queue=%s reason=%v", id, route.Queue.Name, err)
		return err
	}
	value, err := job.Encode(spec, route.Queue, time.Now())
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the job cannot be encoded")
	}
	err = s.unknownJobs.resolve(id, s.accept(ctx, id, value))
	s.countCall("submit", start, err)
	s.logger.Info("job handed in; job=%s queue=%s version=%d ms=%d outcome=%v",
		id, route.Queue.Name, s.config.Policies.Newest().Version(), time.Since(start).Milliseconds(), outcome(err))
	return err
}

// checkSize returns an error of kind TooLarge if a confirmed configuration does not allow a job of a size in bytes.
func (s *Server) checkSize(ctx context.Context, size int) error {
	current, err := s.configurationFor(ctx, func(p *policy.Policy) bool { return p.Allows(size) })
	if err == nil && !current.Allows(size) {
		return fault.New(fault.TooLarge, "the job has %d bytes; the operators allow %d", size, current.MaxBody())
	}
	return err
}

// countCall records the outcome of a call and its duration in milliseconds.
func (s *Server) countCall(call string, start time.Time, err error) {
	s.config.Metrics.Counter("jobs." + call + "." + outcome(err)).Inc(1)
	s.config.Metrics.Histogram("jobs." + call + "_ms").Update(time.Since(start).Milliseconds())
}

// callerError adds to an error when the caller should retry.
func (s *Server) callerError(err error) error {
	if err == nil || fault.Is(err, fault.Gone) {
		return err
	}
	kind := fault.KindOf(err)
	if kind == fault.DeadlineExceeded {
		kind = fault.OutcomeUnknown
	}
	return fault.Wrap(err, kind, "the job request failed").WithRetryAfter(retryAfter)
}

func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return fault.KindOf(err).String()
}

// State returns the committed state of a job.
func (s *Server) State(ctx context.Context, a Address) (job.State, error) {
	_, id, err := s.jobAt(ctx, a)
	if err != nil {
		return job.Queued, err
	}
	if state, known := s.stateFromLeader(ctx, id); known {
		return state, nil
	}
	return s.stateFromStore(ctx, id)
}

// stateTimeout bounds the request to the leader, which may wait for a commit; after it the store is read.
const stateTimeout = 400 * time.Millisecond

// stateFromLeader returns the state that the leader has committed, false if it has none or does not answer this entry.
func (s *Server) stateFromLeader(ctx context.Context, id job.ID) (job.State, bool) {
	if state, known := s.config.Dispatcher.JobState(id); known {
		return state, true
	}
	leader, known := s.config.Leader.Value()
	if !known || leader.Revision == 0 || !s.leaderAnswers.Load() {
		return job.Queued, false
	}
	bounded, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	peer, err := s.config.Pool.Peer(bounded, leader.Decoded.Address)
	if err != nil {
		return job.Queued, false
	}
	answer, err := rpc.Call[link.JobStateRequest, link.JobStateAnswer](bounded, peer, link.MethodState, link.JobStateRequest{Job: string(id)})
	return job.State(answer.State), err == nil && answer.Known
}

// stateFromStore returns the state of a job in the store.
func (s *Server) stateFromStore(ctx context.Context, id job.ID) (job.State, error) {
	progress, err := s.config.Store.Get(ctx, record.ProgressKey(id))
	if err != nil {
		return job.Queued, s.callerError(err)
	}
	if progress.Revision() > 0 {
		return job.DecodeState(progress.Value())
	}
	accepted, err := s.config.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return job.Queued, s.callerError(err)
	}
	if accepted.Revision() == 0 || record.IsTombstone(accepted.Value()) {
		return job.Queued, errNoJob(id)
	}
	return job.Queued, nil
}

// IsQueue reports whether the address is that of a queue rather than of a job.
func (s *Server) IsQueue(a Address) bool {
	current := s.config.Policies.Newest()
	if current == nil {
		return false
	}
	found := current.Route(a.Host, a.Path)
	return (found != nil && found.Prefix == a.Path) || (found == nil && strings.HasSuffix(a.Path, "/"))
}

const (
	// waitingTimeout bounds a request to the leader; waitingRetryDelay is the delay between requests.
	waitingTimeout    = 500 * time.Millisecond
	waitingRetryDelay = 80 * time.Millisecond
)

// Waiting returns how many jobs of a queue have not started, by the leader's count.
func (s *Server) Waiting(ctx context.Context, a Address) (int, error) {
	route, _, err := s.route(ctx, a)
	if err != nil {
		return 0, err
	}
	for {
		count, err := s.queryWaiting(ctx, route.Queue.Name)
		if err == nil {
			return count, nil
		}
		select {
		case <-ctx.Done():
			return 0, fault.Wrap(err, fault.Unavailable, "the leader does not answer").WithRetryAfter(retryAfter)
		case <-time.After(waitingRetryDelay):
		}
	}
}

func (s *Server) queryWaiting(ctx context.Context, queue string) (int, error) {
	leader, known := s.config.Leader.Value()
	if !known || leader.Revision == 0 {
		return 0, fault.New(fault.Unavailable, "there is no leader")
	}
	bounded, cancel := context.WithTimeout(ctx, waitingTimeout)
	defer cancel()
	peer, err := s.config.Pool.Peer(bounded, leader.Decoded.Address)
	if err != nil {
		return 0, err
	}
	answer, err := rpc.Call[link.WaitingRequest, link.WaitingAnswer](bounded, peer, link.MethodWaiting, link.WaitingRequest{Queue: queue})
	if err != nil && !fault.Is(err, fault.Stale) {
		s.config.Pool.Drop(leader.Decoded.Address)
	}
	return answer.Count, err
}
