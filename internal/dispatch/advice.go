package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// Tickets lists the workers that may run a step, each with the ticket that its start order must carry.
type Tickets struct {
	// ByInstance maps worker ids to tickets; each ticket is for the worker's current incarnation.
	ByInstance map[string]string
	// Valid is how long the tickets are valid, counted from the answer.
	Valid time.Duration
}

// Advisor is the service that decides which workers may run the steps of an advised queue.
type Advisor interface {
	// Advise asks about one step, named as job, iteration and step joined by dots, and at most 100 workers. A rate limited
	// call fails with kind Overloaded.
	Advise(ctx context.Context, step string, instances []string) (Tickets, error)
}

const (
	// maxAdvisedWorkers is the platform's documented limit of workers in one call.
	maxAdvisedWorkers = 100
	// adviceTimeout bounds one call, which takes a few milliseconds for each worker in it.
	adviceTimeout = 2 * time.Second
	// ticketReserveDivisor divides the validity of a ticket; one such part is reserved for the start to reach its worker.
	ticketReserveDivisor = 3
	// adviceRetryDelay is the delay before the next request for a step after a failed call, and the least validity of an
	// answer.
	adviceRetryDelay = 300 * time.Millisecond
)

// advice is what the advisor has answered about one step.
type advice struct {
	answers map[incarnation.ID]adviceAnswer
	pending bool
	// retryAt is until when no call is made after a failed one.
	retryAt time.Time
}

// adviceAnswer is the answer about one incarnation: the ticket for its starts, empty if it may not run the step.
type adviceAnswer struct {
	ticket     string
	validUntil time.Time
}

// missing returns those of some incarnations about which there is no valid answer.
func (a *advice) missing(incarnations []incarnation.ID, now time.Time) []incarnation.ID {
	return slices.DeleteFunc(incarnations, func(id incarnation.ID) bool { return now.Before(a.answers[id].validUntil) })
}

type stepID struct {
	job  job.ID
	time int
	step int
}

func (s stepID) String() string {
	return job.TaskID{Job: s.job, Iteration: s.time, Step: s.step}.StepName()
}

// ticketsFor returns the valid tickets of a step by worker, and requests in the background those of schedulable workers about which the advisor has not
// answered yet: an answer covers only the incarnations that were named in the call.
func (t *term) ticketsFor(id stepID, service string) map[job.Host]string {
	cached := t.advice[id]
	if cached == nil {
		cached = &advice{answers: make(map[incarnation.ID]adviceAnswer)}
		t.advice[id] = cached
	}
	now := time.Now()
	if !cached.pending && !now.Before(cached.retryAt) {
		if missing := cached.missing(t.openIncarnations(service), now); len(missing) > 0 {
			cached.pending = true
			go t.fetchAdvice(id, cached, missing)
		}
	}
	tickets := make(map[job.Host]string)
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		if answer := cached.answers[host.Incarnation]; answer.ticket != "" && now.Before(answer.validUntil) {
			tickets[host] = answer.ticket
		}
	}
	return tickets
}

func (t *term) openIncarnations(service string) []incarnation.ID {
	var incarnations []incarnation.ID
	for _, h := range t.hosts.all() {
		if h.worker.Schedulable && h.worker.Service == service {
			incarnations = append(incarnations, h.worker.Host.Incarnation)
		}
	}
	return incarnations
}

// fetchAdvice asks about workers of a step in chunks; the service accepts only one call at a time. The answers to earlier chunks hold if a later call fails.
func (t *term) fetchAdvice(id stepID, cached *advice, workers []incarnation.ID) {
	t.adviceMu.Lock()
	defer t.adviceMu.Unlock()
	for chunk := range slices.Chunk(workers, maxAdvisedWorkers) {
		ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
		tickets, err := t.dispatcher.config.Advisor.Advise(ctx, id.String(), workerIDs(chunk))
		cancel()
		if err != nil {
			t.logger.Warn("advice request failed; step=%s workers=%d reason=%v", id, len(chunk), err)
			t.endAdvice(cached, time.Now().Add(adviceRetryDelay))
			return
		}
		t.applyAdvice(cached, chunk, tickets)
	}
	t.endAdvice(cached, time.Time{})
}

// applyAdvice adds the answer about a chunk of workers and drops answers that have expired.
func (t *term) applyAdvice(cached *advice, workers []incarnation.ID, tickets Tickets) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(cached.answers, func(_ incarnation.ID, a adviceAnswer) bool { return !now.Before(a.validUntil) })
	validUntil := now.Add(max(adviceRetryDelay, tickets.Valid-tickets.Valid/ticketReserveDivisor))
	for _, worker := range workers {
		cached.answers[worker] = adviceAnswer{ticket: tickets.ByInstance[worker.Worker()], validUntil: validUntil}
	}
	t.notifyChange()
}

// endAdvice ends a request about a step; retryAt is the time of the next after a failed call, zero otherwise.
func (t *term) endAdvice(cached *advice, retryAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached.pending, cached.retryAt = false, retryAt
	t.notifyChange()
}

// workerIDs returns the ids that the advisor uses for workers.
func workerIDs(workers []incarnation.ID) []string {
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.Worker())
	}
	return ids
}

// dropAdvice discards the ticket of a step for a worker that refused it.
func (t *term) dropAdvice(id job.TaskID, worker job.Host) {
	if cached := t.advice[stepID{id.Job, id.Iteration, id.Step}]; cached != nil {
		delete(cached.answers, worker.Incarnation)
	}
}

// addTickets adds the tickets of the step to a group if its queue is advised.
func (t *term) addTickets(g *plan.Group, queue job.Queue) {
	if queue.Advised && t.dispatcher.config.Advisor != nil {
		g.Tickets = t.ticketsFor(stepID{g.Job.ID(), g.Iteration, g.StepIndex}, g.Service)
	}
}
