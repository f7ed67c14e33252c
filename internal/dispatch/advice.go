package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// Tickets are the workers that may run a step, each with what the start has to bring.
type Tickets struct {
	// ByInstance holds the tickets by the id of the worker; each is for the incarnation that has the id now.
	ByInstance map[string]string
	// Valid is how long they hold from the answer on.
	Valid time.Duration
}

// Advisor is the service that knows which workers may run the steps of an advised queue.
type Advisor interface {
	// Advise asks about one step, named as the job, the time and the step joined by dots, and at most 100 workers; errors are
	// of kind Overloaded where too many ask.
	Advise(ctx context.Context, step string, instances []string) (Tickets, error)
}

const (
	// maxAdvisedWorkers is how many workers one call names at the most, by the platform's page.
	maxAdvisedWorkers = 100
	// adviceTimeout bounds one call, which takes a few milliseconds for each worker named.
	adviceTimeout = 2 * time.Second
	// ticketReserveDivisor is the part of a ticket's time that is left for the order to reach its worker: one over this.
	ticketReserveDivisor = 3
	// adviceRetryDelay is how long a step is not asked about after a call that failed.
	adviceRetryDelay = 300 * time.Millisecond
)

// advice is what is known of one step.
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

// ticketsFor returns the tickets of a group by the workers that may run it, and asks for them where they are not known.
func (t *term) ticketsFor(id stepID, service string) map[job.Host]string {
	known := t.advice[id]
	if known == nil {
		known = &advice{}
		t.advice[id] = known
	}
	if !known.pending && time.Now().After(known.validUntil) {
		known.pending, known.tickets = true, nil
		go t.fetchAdvice(id, t.openIncarnations(service))
	}
	tickets := make(map[job.Host]string)
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		if ticket, ok := known.tickets[host.Incarnation]; ok {
			tickets[host] = ticket
		}
	}
	return tickets
}

func (t *term) openIncarnations(service string) []incarnation.ID {
	var found []incarnation.ID
	for _, h := range t.hosts.all() {
		if h.worker.Schedulable && h.worker.Service == service {
			found = append(found, h.worker.Host.Incarnation)
		}
	}
	return found
}

// fetchAdvice asks about all workers, in as many calls as it takes; the service takes one at a time.
func (t *term) fetchAdvice(id stepID, workers []incarnation.ID) {
	t.adviceMu.Lock()
	defer t.adviceMu.Unlock()
	tickets := make(map[incarnation.ID]string)
	valid := adviceRetryDelay
	for chunk := range slices.Chunk(workers, maxAdvisedWorkers) {
		ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
		answer, err := t.dispatcher.config.Advisor.Advise(ctx, id.String(), workerIDs(chunk))
		cancel()
		if err != nil {
			t.logger.Warn("no advice; step=%s workers=%d reason=%v", id, len(chunk), err)
			break
		}
		for _, worker := range chunk {
			if ticket, ok := answer.ByInstance[worker.Worker()]; ok {
				tickets[worker] = ticket
			}
		}
		valid = max(adviceRetryDelay, answer.Valid-answer.Valid/ticketReserveDivisor)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advice[id] = &advice{tickets: tickets, validUntil: time.Now().Add(valid)}
	t.wakeUp()
}

// workerIDs returns the ids by which the service that advises knows workers.
func workerIDs(workers []incarnation.ID) []string {
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.Worker())
	}
	return ids
}

// dropAdvice drops what is known of a step, after a worker refused its ticket.
func (t *term) dropAdvice(id job.TaskID) { delete(t.advice, stepID{id.Job, id.Iteration, id.Step}) }

// addTickets adds the tickets of an advised queue to a group.
func (t *term) addTickets(g *plan.Group, queue job.Queue) {
	if queue.Advised && t.dispatcher.config.Advisor != nil {
		g.Tickets = t.ticketsFor(stepID{g.Job.ID(), g.Time, g.StepIndex}, g.Service)
	}
}
