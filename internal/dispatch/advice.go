package dispatch

import (
	"context"
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

// advice holds the tickets of one step.
type advice struct {
	tickets    map[incarnation.ID]string
	validUntil time.Time
	pending    bool
}

type stepID struct {
	job  job.ID
	time int
	step int
}

func (s stepID) String() string {
	return job.TaskID{Job: s.job, Iteration: s.time, Step: s.step}.StepName()
}

// ticketsFor returns the tickets of a step by worker, and requests new ones in the background if none are valid.
func (t *term) ticketsFor(id stepID, service string) map[job.Host]string {
	cached := t.advice[id]
	if cached == nil {
		cached = &advice{}
		t.advice[id] = cached
	}
	if !cached.pending && time.Now().After(cached.validUntil) {
		cached.pending, cached.tickets = true, nil
		go t.fetchAdvice(id, t.openIncarnations(service))
	}
	tickets := make(map[job.Host]string)
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		if ticket, ok := cached.tickets[host.Incarnation]; ok {
			tickets[host] = ticket
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

// fetchAdvice asks about all workers of a step in chunks; the service accepts only one call at a time.
func (t *term) fetchAdvice(id stepID, workers []incarnation.ID) {
	t.adviceMu.Lock()
	defer t.adviceMu.Unlock()
	byIncarnation := make(map[incarnation.ID]string)
	valid := adviceRetryDelay
	for chunk := range slices.Chunk(workers, maxAdvisedWorkers) {
		ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
		tickets, err := t.dispatcher.config.Advisor.Advise(ctx, id.String(), workerIDs(chunk))
		cancel()
		if err != nil {
			t.logger.Warn("advice request failed; step=%s workers=%d reason=%v", id, len(chunk), err)
			break
		}
		for _, worker := range chunk {
			if ticket, ok := tickets.ByInstance[worker.Worker()]; ok {
				byIncarnation[worker] = ticket
			}
		}
		valid = max(adviceRetryDelay, tickets.Valid-tickets.Valid/ticketReserveDivisor)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advice[id] = &advice{tickets: byIncarnation, validUntil: time.Now().Add(valid)}
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

// dropAdvice discards the tickets of a step after a worker refused one of them.
func (t *term) dropAdvice(id job.TaskID) { delete(t.advice, stepID{id.Job, id.Iteration, id.Step}) }

// addTickets adds the tickets of the step to a group if its queue is advised.
func (t *term) addTickets(g *plan.Group, queue job.Queue) {
	if queue.Advised && t.dispatcher.config.Advisor != nil {
		g.Tickets = t.ticketsFor(stepID{g.Job.ID(), g.Iteration, g.StepIndex}, g.Service)
	}
}
