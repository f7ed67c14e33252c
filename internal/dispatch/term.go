package dispatch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// agentLease is how long an agent may go on after a report: long enough for another lead to take over.
	agentLease = 5 * time.Second
	// leaderTimeout is how long after the last proof that it leads a lead still permits anything; a new lead waits as long for
	// workers that have not reported to it.
	leaderTimeout = 10 * time.Second
	// agentLeaseMargin covers the way of messages and the rates of clocks when the end of a permission is reckoned.
	agentLeaseMargin = 400 * time.Millisecond
	// staleVerificationAfter is how old the proof may be before agents are told to look for another lead themselves.
	staleVerificationAfter = 1500 * time.Millisecond
	// verifyInterval is how often a lead without commits proves that it leads.
	verifyInterval = 500 * time.Millisecond
	// commitDelay is how long changes are gathered for one commit: little beside the quarter second that a lookup has, and long
	// enough that most ends of a step share one call to the store.
	commitDelay = 15 * time.Millisecond
	// planPauseFactor times the time that a plan took is the least time before the next: on a VM that is slow or short of
	// processor time the lead has to answer reports too.
	planPauseFactor = 2
	// maxPlanInterval is the longest time between two plans, for what falls due by time alone.
	maxPlanInterval = 100 * time.Millisecond
	// endedJobRetention is how long jobs that ended are known; the platform asks for two minutes.
	endedJobRetention = 150 * time.Second
)

// term is the time in which a process leads under one epoch.
type term struct {
	dispatcher     *Dispatcher
	epoch          uint64
	lease          kv.LeaseID
	store          kv.Store
	logger         logging.Logger
	startedAt      time.Time
	wake           chan struct{}
	done           chan struct{}
	inputsRevision kv.Revision
	// adviceMu keeps calls for advice one after the other; it is taken before mu.
	adviceMu       sync.Mutex
	commitTimeouts *wait.Timeout
	closures       *hall.Closures
	// storeAnswered wakes what waits for the store, since it answers another entry.
	storeAnswered chan struct{}
	// yielded is closed once another entry is asked to lead.
	yielded chan struct{}
	// notifiedStoreDown says that the entries were told that the store is away; only the committing goroutine uses it.
	notifiedStoreDown bool

	// mu guards the lease and all below; no answer is waited for while it is held.
	mu            sync.Mutex
	chainRevision kv.Revision
	commitCount   uint64
	// verifiedAt is when the lead last asked for what proved that it leads.
	verifiedAt boottime.Instant
	jobs       map[job.ID]*trackedJob
	hosts      *hostSet
	agents     map[string]*agent
	// fenceGrants counts the connections of agents to which fences were fenceGrants.
	fenceGrants uint64
	roster      *roster
	// dirty are the jobs to commit, by the order in which they changed; changes counts them.
	dirty       map[job.ID]uint64
	changeCount uint64
	advice      map[stepID]*advice
	pressure    *pressure.Model
	// learnedSavedAt is when what was learnedSavedAt was last stored, loadLogged when the load was last logged.
	learnedSavedAt time.Time
	loadLoggedAt   time.Time
	// closuresUnconfirmed says that nothing is placed, since halls may be closed that the lead does not know of.
	closuresUnconfirmed bool
	leaseReplaced       bool
	backlog             batchBacklog
	// unreachable are the incarnations whose leases have lapsed out of reach, late the starts that may be carried out late.
	unreachable map[job.Host]unreachable
	lateStarts  host.LateCalls[lateStart]
	// otherAnsweredAt is when the lead last heard that the store answers an entry, though not the lead.
	otherAnsweredAt time.Time
	committed       chan struct{}
}

func newTerm(d *Dispatcher, epoch uint64, lease kv.LeaseID) *term {
	return &term{
		dispatcher: d, epoch: epoch, lease: lease, store: d.config.Store, logger: d.logger, startedAt: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}), committed: make(chan struct{}),
		jobs: make(map[job.ID]*trackedJob), hosts: newHostSet(), agents: make(map[string]*agent),
		roster: newRoster(d.config.Address), dirty: make(map[job.ID]uint64), advice: make(map[stepID]*advice),
		unreachable: make(map[job.Host]unreachable),
		lateStarts:  make(host.LateCalls[lateStart]),
		pressure:    pressure.NewModel(), closures: d.config.Closures,
		commitTimeouts: wait.NewTimeout(minCommitTimeout, maxCommitTimeout),
		storeAnswered:  make(chan struct{}, 1), yielded: make(chan struct{}),
	}
}

// load reads all jobs and how far they are; nothing of them changes any more but by this term.
func (t *term) load(ctx context.Context) error {
	if err := t.closures.Load(ctx); err != nil {
		return err
	}
	t.loadModel(ctx)
	inputs, at, err := t.store.Range(ctx, record.InputPrefix)
	if err != nil {
		return err
	}
	progress, _, err := t.store.Range(ctx, record.ProgressPrefix)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inputsRevision = at
	for _, i := range inputs {
		t.addJob(i)
	}
	for _, i := range progress {
		t.loadProgress(i)
	}
	for _, i := range inputs {
		t.applyCancel(i)
	}
	return nil
}

func (t *term) loadProgress(i kv.Item) {
	id, _ := record.ParseProgressKey(i.Key())
	known, ok := t.jobs[id]
	if !ok {
		t.logger.Error("the progress of a job without its record is left; job=%s", id)
		return
	}
	if err := known.job.ApplyProgress(i.Value()); err != nil {
		// What has run of it is not known, so nothing of it may run again; all other jobs go on.
		t.logger.Error("the progress of a job cannot be read, and the job is left as it is; job=%s reason=%v", id, err)
		delete(t.jobs, id)
		return
	}
	known.job.Each(func(id job.TaskID, task *job.Task) {
		if task.Phase() == job.Placed {
			t.ensureHost(task.Host()).addRun(id, &known.job.Spec().Steps[id.Step], task.Run())
			t.hosts.get(task.Host()).runs[id].stopping = known.job.State().IsFinal()
		}
	})
	if known.job.State().IsFinal() {
		known.endedAt = time.Now()
	}
}

// run reads all jobs, says that it has, and leads until ctx ends or another leads. The lease is renewed from the start: on a
// thin link the jobs of some minutes take longer to read than a lease lasts.
func (t *term) run(ctx context.Context, loaded func()) error {
	group, bounded := errgroup.WithContext(ctx)
	group.Go(func() error { return t.renewLease(bounded) })
	group.Go(func() error { return t.awaitYield(bounded) })
	group.Go(func() error {
		if err := t.load(bounded); err != nil {
			t.dispatcher.backoffUntil.Store(time.Now().Add(noReportsCooldown).UnixMilli())
			return fault.Wrap(err, fault.Leaving, "the jobs cannot be read")
		}
		loaded()
		group.Go(func() error { return t.watchInputs(bounded) })
		group.Go(func() error { return t.watchClosures(bounded) })
		return t.planAndCommit(bounded)
	})
	return group.Wait()
}

// close ends the term.
func (t *term) close() {
	close(t.done)
	t.closeSessions()
}

// closeSessions lets the agents go, which then look for another lead.
func (t *term) closeSessions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.agents {
		if a.session != nil {
			a.session.close()
		}
	}
}

// now returns the instant by which permissions are given.
func (t *term) now() boottime.Instant { return t.dispatcher.config.Uptime.Now() }

// verificationAge returns how old the last proof is that the term leads; a lead that was suspended has to prove it anew before it permits
// anything.
func (t *term) verificationAge() time.Duration { return t.now().Sub(t.verifiedAt) }

func (t *term) wakeUp() { wait.Notify(t.wake) }

// planAndCommit plans and commits whenever something changed. Under load there is always something to commit: a plan waits for one
// commit at the most, and what it places goes out with the next.
func (t *term) planAndCommit(ctx context.Context) error {
	ticker := time.NewTicker(maxPlanInterval)
	defer ticker.Stop()
	var next time.Time
	for {
		if t.allCommitted() {
			t.awaitChange(ctx, ticker.C, next)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if began := time.Now(); !began.Before(next) {
			t.schedule()
			next = time.Now().Add(min(planPauseFactor*time.Since(began), maxPlanInterval))
		}
		if err := t.commitChanges(ctx); err != nil {
			return err
		}
	}
}

// awaitChange waits until something changed and a while more, in which what changes with it is gathered, and at least until a
// time; or for a tick.
func (t *term) awaitChange(ctx context.Context, ticks <-chan time.Time, least time.Time) {
	select {
	case <-ctx.Done():
	case <-t.wake:
		wait.For(ctx, max(commitDelay, time.Until(least)))
	case <-ticks:
	}
}

func (t *term) queuedJobs(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, known := range t.jobs {
		if known.job.Queue().Name == queue && known.job.State() == job.Queued {
			count++
		}
	}
	return count
}
