package idempotency

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Retention is how long an answer is kept for repeated requests.
const Retention = 10 * time.Minute

const (
	maxKeys           = 32768
	maxExportedAnswer = 8 << 10
	maxAnswerBytes    = 6 << 20
)

// Answer is a complete answer, which each request with the same key receives.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer; the caller must not modify the body afterwards.
func NewAnswer(status int, contentType string, body []byte) *Answer {
	return &Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a *Answer) ContentType() string { return a.contentType }

// Body returns the bytes of the body.
func (a *Answer) Body() []byte { return a.body }

// call is the running or finished request of a key.
type call struct {
	slot      int
	done      chan struct{}
	answer    *Answer
	err       error
	startedAt time.Time
}

// Keys holds the requests of the slots that a process owns; it is safe for concurrent use.
type Keys struct {
	mu    sync.Mutex
	calls map[string]*call
	order []string
	bytes int
	slots map[int]*slotState
}

type slotState struct {
	epoch        uint64
	ready        bool
	unknownUntil time.Time
	running      int
}

// NewKeys returns Keys without slots.
func NewKeys() *Keys {
	return &Keys{calls: make(map[string]*call), slots: make(map[int]*slotState)}
}

// Ticket is a claim on a key: the first holder must run the request, the others wait for its result.
type Ticket struct {
	keys  *Keys
	key   string
	call  *call
	first bool
	epoch uint64
}

// Begin returns a ticket for a key of a slot; it returns an error if the slot is not owned, or if an unknown key may have run
// under an earlier owner.
func (k *Keys) Begin(key string, slot int, now time.Time) (*Ticket, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	s, ok := k.slots[slot]
	if c, known := k.calls[key]; known {
		return &Ticket{keys: k, key: key, call: c}, nil
	}
	if !ok || !s.ready {
		return nil, fault.New(fault.OutcomeUnknown, "the owner of the key is changing")
	}
	if now.Before(s.unknownUntil) {
		return nil, fault.New(fault.OutcomeUnknown, "an owner of the key failed, and an agent that may have run the request does not answer")
	}
	if len(k.calls) >= maxKeys {
		return nil, fault.New(fault.Overloaded, "too many keys are in use")
	}
	c := &call{slot: slot, done: make(chan struct{}), startedAt: now}
	k.calls[key] = c
	k.order = append(k.order, key)
	s.running++
	return &Ticket{keys: k, key: key, call: c, first: true, epoch: s.epoch}, nil
}

// IsFirst reports whether the holder of the ticket must run the request.
func (t *Ticket) IsFirst() bool { return t.first }

// Epoch returns the epoch of the slot, by which agents reject an earlier owner.
func (t *Ticket) Epoch() uint64 { return t.epoch }

// Done returns a channel that is closed when the first holder has finished.
func (t *Ticket) Done() <-chan struct{} { return t.call.done }

// Result returns the answer or the error of the first holder after it has finished.
func (t *Ticket) Result() (*Answer, error) { return t.call.answer, t.call.err }

// Finish passes the result to all holders; an error which means that nothing ran releases the key.
func (t *Ticket) Finish(answer *Answer, err error) {
	k := t.keys
	k.mu.Lock()
	defer k.mu.Unlock()
	t.call.answer, t.call.err = answer, err
	if s, ok := k.slots[t.call.slot]; ok {
		s.running--
	}
	switch {
	case err != nil && fault.KindOf(err).Answer().Ran() == fault.RanNo:
		delete(k.calls, t.key)
	case answer != nil:
		k.bytes += len(answer.body)
	}
	close(t.call.done)
}

// expire removes the calls older than Retention, and drops the oldest answers beyond maxAnswerBytes; k.mu is held.
func (k *Keys) expire(now time.Time) {
	for len(k.order) > 0 {
		c, ok := k.calls[k.order[0]]
		if ok && (now.Sub(c.startedAt) < Retention || !isClosed(c.done)) {
			break
		}
		if ok {
			k.dropAnswer(c)
			delete(k.calls, k.order[0])
		}
		k.order = k.order[1:]
	}
	for i := 0; i < len(k.order) && k.bytes > maxAnswerBytes; i++ {
		if c, ok := k.calls[k.order[i]]; ok && isClosed(c.done) {
			k.dropAnswer(c)
		}
	}
}

// dropAnswer drops the answer of a call, which stays recorded as run; k.mu is held.
func (k *Keys) dropAnswer(c *call) {
	if c.answer == nil {
		return
	}
	k.bytes -= len(c.answer.body)
	c.answer, c.err = nil, fault.New(fault.OutcomeUnknown, "the request ran, and its answer is no longer kept")
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
