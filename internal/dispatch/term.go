package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// agentLease is how long an agent may go on after a report: long enough for another leader to take over.
	agentLease = 5 * time.Second
	// leaderTimeout is how long after it last verified its leadership the agent leases of a leader last at most. Runs continue for as long while the
	// store is unavailable, and a new leader waits as long before it gives up the runs of an unreported worker.
	leaderTimeout = 7500 * time.Millisecond
	// agentLeaseMargin covers message delays and the drift of clocks in the computed end of an agent lease.
	agentLeaseMargin = 400 * time.Millisecond
	// staleVerificationAfter is how old the last verification may be before agents are asked to search for another leader themselves.
	staleVerificationAfter = 1500 * time.Millisecond
	// verifyInterval is how often a leader without commits verifies its leadership.
	verifyInterval = 500 * time.Millisecond
	// commitDelay is how long changes are collected for one commit: short compared with the 250 ms budget of a lookup, and long enough that
	// most ends of a step share one call to the store.
	commitDelay = 15 * time.Millisecond
	// planPauseFactor times the duration of a plan is the least pause before the next plan: on a VM that is slow or short of processor time the
	// leader must also answer reports.
	planPauseFactor = 2
	// maxPlanInterval is the longest time between two plans, so that expired timeouts are handled without another change.
	maxPlanInterval = 100 * time.Millisecond
	// endedJobRetention is how long ended jobs are kept; the platform requires two minutes.
	endedJobRetention = 150 * time.Second
)

// term is the period in which a process leads under one epoch, with the state of the leader.
type term struct {
	dispatcher *Dispatcher
	epoch      uint64
	lease      kv.LeaseID
	store      kv.Store
	logger     logging.Logger
	startedAt  time.Time
	// earlierLeases is how long after startedAt leases granted by earlier leaders may last.
	earlierLeases  time.Duration
	changed        chan struct{}
	done           chan struct{}
	inputsRevision kv.Revision
	// adviceMu serializes calls to the advisor; it is locked before mu.
	adviceMu       sync.Mutex
	commitTimeouts *wait.Timeout
	closures       *hall.Closures
	// storeAnswered notifies a commit that waits to be retried that the store answers another entry.
	storeAnswered chan struct{}
	// steppedDown is closed once another entry is asked to take over.
	steppedDown chan struct{}
	// notifiedStoreDown reports whether the entries were notified that the store is unavailable; only the committing goroutine uses it.
	notifiedStoreDown bool
	// probing is set while a call checks whether the store still rejects the leader.
	probing atomic.Bool

	// mu guards the lease and all fields below; it is not held while waiting for an answer.
	mu                 sync.Mutex
	lastCommitRevision kv.Revision
	commitCount        uint64
	// verifiedAt is when the leader sent the last request whose answer confirmed its leadership.
	verifiedAt boottime.Instant
	jobs       map[job.ID]*trackedJob
	untracked  untrackedJobs
	hosts      *hostSet
	agents     map[string]*agent
	// fenceGrants counts the connections of agents to which fencing tokens were granted.
	fenceGrants uint64
	roster      *roster
	// dirty has the jobs to commit with the sequence number of their change, changeCount is the last sequence number.
	dirty       map[job.ID]uint64
	changeCount uint64
	advice      map[stepID]*advice
	pressure    *pressure.Model
	// modelSavedAt is when the interference model was last saved, loadLoggedAt when the load was last logged.
	modelSavedAt time.Time
	loadLoggedAt time.Time
	// closuresUnconfirmed reports whether placement is paused because the store has not confirmed recently which halls are closed.
	closuresUnconfirmed bool
	leaseReplaced       bool
	// isolated has the jobs whose records are committed alone since the store refused a batch with them; modelsRefused and removalsRefused are set once
	// it refused one for its models or removals.
	isolated                       map[job.ID]bool
	modelsRefused, removalsRefused bool
	// leasesStored reports whether the store has the bound of the leases up to this term.
	leasesStored bool
	backlog      batchBacklog
	reserves     shortReserves
	// runTimes is nil unless run times are learned.
	runTimes *runTimes
	// unreachable are the incarnations whose leases expired while they were unreachable, lateStarts are the late starts.
	unreachable map[job.Host]unreachable
	lateStarts  host.LateCalls[lateStart]
	outstanding outstandingTasks
	heldBack    map[job.TaskID]bool
	// otherAnsweredAt is when an entry last reported a newer answer from the store while the calls of the leader failed.
	otherAnsweredAt time.Time
	// otherReadmittedAt is when an entry last reported that the store answered it again after it had rate limited it.
	otherReadmittedAt time.Time
	committed         chan struct{}
	// health tracks which workers may take new tasks; it is nil if the feature is off.
	health *health.Tracker
}

func newTerm(d *Dispatcher, epoch uint64, lease kv.LeaseID) *term {
	t := &term{
		dispatcher: d, epoch: epoch, lease: lease, store: d.config.Store, logger: d.logger, startedAt: time.Now(),
		changed: make(chan struct{}, 1), done: make(chan struct{}), committed: make(chan struct{}),
		jobs: make(map[job.ID]*trackedJob), untracked: newUntrackedJobs(), hosts: newHostSet(), agents: make(map[string]*agent),
		roster: newRoster(d.config.Address), dirty: make(map[job.ID]uint64), isolated: make(map[job.ID]bool), advice: make(map[stepID]*advice),
		unreachable: make(map[job.Host]unreachable),
		lateStarts:  make(host.LateCalls[lateStart]),
		outstanding: make(outstandingTasks),
		pressure:    pressure.NewModel(), closures: d.config.Closures,
		runTimes: newRunTimes(d.config.Features), reserves: newShortReserves(),
		commitTimeouts: wait.NewTimeout(minCommitTimeout, maxCommitTimeout),
		storeAnswered:  make(chan struct{}, 1), steppedDown: make(chan struct{}),
	}
	t.trackHealth()
	return t
}

// load reads all jobs and their progress from the store; from then on only this term changes the progress.
func (t *term) load(ctx context.Context) error {
	if err := t.closures.Load(ctx); err != nil {
		return err
	}
	t.loadModels(ctx)
	inputs, revision, err := t.store.Range(ctx, record.InputPrefix)
	if err != nil {
		return err
	}
	progress, _, err := t.store.Range(ctx, record.ProgressPrefix)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inputsRevision = revision
	for _, item := range inputs {
		t.addJob(item)
	}
	for _, item := range progress {
		t.loadProgress(item)
	}
	for _, item := range inputs {
		t.applyCancel(item)
	}
	return nil
}

func (t *term) loadProgress(item kv.Item) {
	id, _ := record.ParseProgressKey(item.Key())
	tracked, ok := t.jobs[id]
	if !ok {
		t.logger.Error("the progress of a job that has no record is ignored; job=%s", id)
		return
	}
	if err := tracked.job.ApplyProgress(item.Value()); err != nil {
		// Without its progress it is unknown which tasks have run, so none may run again; all other jobs continue.
		t.logger.Error("the progress of a job cannot be read; the job is ignored and left unchanged in the store; job=%s reason=%v", id, err)
		delete(t.jobs, id)
		t.untracked.unreadable[id] = true
		return
	}
	tracked.job.Each(func(id job.TaskID, task *job.Task) {
		if task.Phase() == job.Placed {
			h := t.ensureHost(task.Host())
			h.addRun(id, &tracked.job.Spec().Steps[id.Step], task.Run())
			h.runs[id].stopping = tracked.job.State().IsFinal()
			stored := tracked.job.StoredHost(task.Host())
			h.runs[id].settled, h.runs[id].unsettledBefore = !stored.Unsettled, stored.Unsettled
			h.confirmed, h.heldUntil = true, later(h.heldUntil, t.startedAt.Add(stored.Lease))
		}
	})
	if tracked.job.State().IsFinal() {
		tracked.endedAt = time.Now()
	}
}

// run loads all jobs, calls loaded, and leads until ctx ends or another entry leads. It renews the lease from the start: over a slow link the
// jobs of a few minutes take longer to read than a lease lasts.
func (t *term) run(ctx context.Context, loaded func()) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.renewLease(groupCtx) })
	group.Go(func() error { return t.awaitStepDown(groupCtx) })
	group.Go(func() error {
		if err := t.load(groupCtx); err != nil {
			t.dispatcher.backoffUntil.Store(time.Now().Add(noReportsCooldown).UnixMilli())
			return fault.Wrap(err, fault.Leaving, "the jobs cannot be read")
		}
		loaded()
		group.Go(func() error { return t.watchInputs(groupCtx) })
		group.Go(func() error { return t.watchClosures(groupCtx) })
		return t.planAndCommit(groupCtx)
	})
	return group.Wait()
}

// close ends the term.
func (t *term) close() {
	close(t.done)
	t.closeSessions()
}

// closeSessions closes the sessions of all agents, which then search for another leader.
func (t *term) closeSessions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.agents {
		if a.session != nil {
			a.session.close()
		}
	}
}

// now returns the instant on the clock by which agent leases are granted.
func (t *term) now() boottime.Instant { return t.dispatcher.config.Uptime.Now() }

// verificationAge returns the time since the leadership was last verified. It includes the time while the VM was suspended, so a resumed leader
// must verify its leadership before it grants agent leases.
func (t *term) verificationAge() time.Duration { return t.now().Sub(t.verifiedAt) }

func (t *term) notifyChange() { wait.Notify(t.changed) }

// planAndCommit plans and commits whenever something has changed. Under load there is always something to commit: a plan waits for at most one
// commit, and its placements are part of the next.
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
		if started := time.Now(); !started.Before(next) {
			t.schedule()
			next = time.Now().Add(min(planPauseFactor*time.Since(started), maxPlanInterval))
		}
		if err := t.commitChanges(ctx); err != nil {
			return err
		}
	}
}

// awaitChange waits for a change, then for commitDelay to collect further changes and at least until earliest; or it waits for a tick.
func (t *term) awaitChange(ctx context.Context, ticks <-chan time.Time, earliest time.Time) {
	select {
	case <-ctx.Done():
	case <-t.changed:
		wait.For(ctx, max(commitDelay, time.Until(earliest)))
	case <-ticks:
	}
}

// waitingJobs returns how many jobs of a queue have not begun.
func (t *term) waitingJobs(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, tracked := range t.jobs {
		if tracked.job.Queue().Name == queue && !tracked.job.State().IsFinal() && !tracked.job.Begun() {
			count++
		}
	}
	return count
}
