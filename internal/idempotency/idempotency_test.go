package idempotency

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/proptest"
)

func TestMain(m *testing.M) {
	proptest.FixSeed()
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

func TestRepeatedKeyGetsTheFirstAnswer(t *testing.T) {
	k := NewKeys()
	k.Own(1, 1, nil, time.Time{}, start)
	first, err := k.Begin("pay", 1, start)
	assert.NilError(t, err)
	second, err := k.Begin("pay", 1, start)
	assert.NilError(t, err)
	assert.Assert(t, first.IsFirst() && !second.IsFirst())
	answer := NewAnswer(200, "text/plain", []byte("paid"))
	first.Finish(answer, nil)
	<-second.Done()
	got, err := second.Result()
	assert.NilError(t, err)
	assert.Equal(t, got, answer)
	third, err := k.Begin("pay", 1, start.Add(time.Minute))
	assert.NilError(t, err)
	assert.Assert(t, !third.IsFirst())
}

func TestKeyIsReleasedOnlyIfNothingRan(t *testing.T) {
	cases := []struct {
		kind  fault.Kind
		first bool
	}{{fault.Overloaded, true}, {fault.Leaving, true}, {fault.OutcomeUnknown, false}, {fault.Internal, false}}
	for _, c := range cases {
		t.Run(c.kind.String(), func(t *testing.T) {
			k := NewKeys()
			k.Own(1, 1, nil, time.Time{}, start)
			ticket, err := k.Begin("pay", 1, start)
			assert.NilError(t, err)
			ticket.Finish(nil, fault.New(c.kind, "x"))
			again, err := k.Begin("pay", 1, start)
			assert.NilError(t, err)
			assert.Equal(t, again.IsFirst(), c.first)
		})
	}
}

func TestKeysAfterPreviousOwnerFailed(t *testing.T) {
	k := NewKeys()
	k.Own(1, 2, []string{"ran"}, start.Add(Retention), start)
	_, err := k.Begin("new", 1, start.Add(time.Minute))
	assert.Equal(t, fault.KindOf(err), fault.OutcomeUnknown)
	known, err := k.Begin("ran", 1, start.Add(time.Minute))
	assert.NilError(t, err)
	_, err = known.Result()
	assert.Equal(t, fault.KindOf(err), fault.OutcomeUnknown)
	fresh, err := k.Begin("new", 1, start.Add(Retention+time.Minute))
	assert.NilError(t, err)
	assert.Assert(t, fresh.IsFirst())
	_, err = k.Begin("elsewhere", 2, start)
	assert.Equal(t, fault.KindOf(err), fault.OutcomeUnknown)
}

// TestKeysRunOnce checks that no key runs twice: it repeats requests through entries that join, fail and hand over a slot, with
// an agent that records the keys that it has admitted.
func TestKeysRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newKeyModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step()
		}
	})
}

// keyModel holds entries that own one slot in turn, and the keys that an agent has admitted.
type keyModel struct {
	t           *rapid.T
	owners      Owners
	keys        map[string]*Keys
	alive       map[string]bool
	sealedEpoch uint64
	runCount    map[string]int
	admitted    []string
	now         time.Time
	entryCount  int
}

func newKeyModel(t *rapid.T) *keyModel {
	m := &keyModel{t: t, keys: make(map[string]*Keys), alive: make(map[string]bool), runCount: make(map[string]int), now: start}
	m.join()
	m.join()
	return m
}

func (m *keyModel) join() {
	m.entryCount++
	name := fmt.Sprint("entry-", m.entryCount)
	m.owners = m.owners.Join(name, "x")
	m.keys[name], m.alive[name] = NewKeys(), true
	m.takeOver()
}

// takeOver lets the owner of the slot accept keys; if the previous owner failed, it first queries the agent for admitted keys.
func (m *keyModel) takeOver() {
	owner := m.owners.Owner(0)
	var ran []string
	if owner.PreviousFailed() {
		m.sealedEpoch = max(m.sealedEpoch, owner.Epoch())
		ran = append(ran, m.admitted...)
	}
	m.keys[owner.Entry()].Own(0, owner.Epoch(), ran, time.Time{}, m.now)
}

func (m *keyModel) step() {
	m.now = m.now.Add(time.Second)
	entry := rapid.SampledFrom(m.owners.Members()).Draw(m.t, "entry")
	switch rapid.IntRange(0, 6).Draw(m.t, "action") {
	case 0, 1, 2, 3:
		// Each entry that has owned the slot may still act as its owner.
		for name := range m.keys {
			if name == entry || rapid.Bool().Draw(m.t, "click") {
				m.request(name, fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(m.t, "key")))
			}
		}
	case 4:
		m.transfer(entry)
	case 5:
		if len(m.owners.Members()) > 1 {
			m.alive[entry] = false
			m.owners = m.owners.RemoveFailed(entry)
			m.takeOver()
		}
	case 6:
		if m.entryCount < 6 {
			m.join()
		}
	}
}

func (m *keyModel) transfer(to string) {
	from := m.owners.Owner(0).Entry()
	if from == to {
		return
	}
	m.keys[from].Close(0)
	m.keys[to].Import(0, m.keys[from].Export(0), m.now)
	next, err := m.owners.Transfer(0, from, to)
	if err != nil {
		m.t.Fatalf("%v", err)
	}
	m.owners = next
	m.keys[from].Drop(0)
	m.takeOver()
}

// request sends a key to an entry; failed entries receive requests too, since they may only be paused.
func (m *keyModel) request(entry, key string) {
	ticket, err := m.keys[entry].Begin(key, 0, m.now)
	if err != nil || !ticket.IsFirst() {
		return
	}
	if ticket.Epoch() < m.sealedEpoch {
		ticket.Finish(nil, fault.New(fault.Stale, "the key's owner has changed"))
		return
	}
	m.admitted = append(m.admitted, key)
	m.runCount[key]++
	if m.runCount[key] > 1 {
		m.t.Fatalf("%s ran %d times", key, m.runCount[key])
	}
	ticket.Finish(NewAnswer(200, "", nil), nil)
}
