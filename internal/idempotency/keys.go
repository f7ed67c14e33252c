package idempotency

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Retention is how long an answer is kept for callers that ask again.
const Retention = 10 * time.Minute

const (
	maxKeys           = 32768
	maxExportedAnswer = 8 << 10
	maxAnswerBytes    = 6 << 20
)

// Answer is a whole answer that is handed to each caller that asks with the same key.
type Answer struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer; the body is not to be changed any more.
func NewAnswer(status int, contentType string, body []byte) *Answer {
	return &Answer{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// ContentType returns the media type of the body.
func (a *Answer) ContentType() string { return a.contentType }

// Body returns the bytes of the body.
func (a *Answer) Body() []byte { return a.body }

// call is a key in use.
type call struct {
	slot      int
	done      chan struct{}
	answer    *Answer
	err       error
	startedAt time.Time
}

// Keys is what an owner remembers of its slots; it is safe for use by several goroutines.
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

// NewKeys returns an owner of no slots.
func NewKeys() *Keys {
	return &Keys{calls: make(map[string]*call), slots: make(map[int]*slotState)}
}

// Ticket is the right and the duty to run the request of a key, or to wait for another that runs it.
type Ticket struct {
	keys  *Keys
	key   string
	call  *call
	first bool
	epoch uint64
}

// Begin looks a key of a slot up at a moment; a slot that is not owned or is in doubt answers with an error.
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
		return nil, fault.New(fault.OutcomeUnknown, "an owner of the key died, and an agent that may have run it cannot be asked")
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

// IsFirst reports whether the holder of the ticket is to run the request.
func (t *Ticket) IsFirst() bool { return t.first }

// Epoch returns the epoch of the slot, by which agents refuse an owner of the past.
func (t *Ticket) Epoch() uint64 { return t.epoch }

// Done returns the channel that is closed when the first holder has ended.
func (t *Ticket) Done() <-chan struct{} { return t.call.done }

// Result returns the answer or the error of the first holder, once it has ended.
func (t *Ticket) Result() (*Answer, error) { return t.call.answer, t.call.err }

// Finish hands the result to all who wait; after an error that says that nothing ran, the key is free again.
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

// expire drops what is old, and the bodies of answers that take too much room; k.mu is held.
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

// dropAnswer drops the answer of a call, which from then on is known only to have run; k.mu is held.
func (k *Keys) dropAnswer(c *call) {
	if c.answer == nil {
		return
	}
	k.bytes -= len(c.answer.body)
	c.answer, c.err = nil, fault.New(fault.OutcomeUnknown, "the request was run, and its answer is no longer kept")
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
