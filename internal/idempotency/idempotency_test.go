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

// TestKeysRunOnce plays double clicks through entries whose slots are handed over, buried and taken, with agents that
// remember what they let in; no key may run twice.
func TestKeysRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newKeyModel(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			w.step()
		}
	})
}

// keyModel is entries that own one slot in turn, and an agent that remembers.
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
	w := &keyModel{t: t, keys: make(map[string]*Keys), alive: make(map[string]bool), runCount: make(map[string]int), now: start}
	w.join()
	w.join()
	return w
}

func (w *keyModel) join() {
	w.entryCount++
	name := fmt.Sprint("entry-", w.entryCount)
	w.owners = w.owners.Join(name, "x")
	w.keys[name], w.alive[name] = NewKeys(), true
	w.takeOver()
}

// takeOver has the owner of the slot begin to own it, after it asked the agent if the last owner died.
func (w *keyModel) takeOver() {
	owner := w.owners.Owner(0)
	var ran []string
	if owner.PreviousFailed() {
		w.sealedEpoch = max(w.sealedEpoch, owner.Epoch())
		ran = append(ran, w.admitted...)
	}
	w.keys[owner.Entry()].Own(0, owner.Epoch(), ran, time.Time{}, w.now)
}

func (w *keyModel) step() {
	w.now = w.now.Add(time.Second)
	entry := rapid.SampledFrom(w.owners.Members()).Draw(w.t, "entry")
	switch rapid.IntRange(0, 6).Draw(w.t, "action") {
	case 0, 1, 2, 3:
		// Any entry that ever owned the slot may still believe that it does.
		for name := range w.keys {
			if name == entry || rapid.Bool().Draw(w.t, "click") {
				w.request(name, fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(w.t, "key")))
			}
		}
	case 4:
		w.transfer(entry)
	case 5:
		if len(w.owners.Members()) > 1 {
			w.alive[entry] = false
			w.owners = w.owners.RemoveFailed(entry)
			w.takeOver()
		}
	case 6:
		if w.entryCount < 6 {
			w.join()
		}
	}
}

func (w *keyModel) transfer(to string) {
	from := w.owners.Owner(0).Entry()
	if from == to {
		return
	}
	w.keys[from].Close(0)
	w.keys[to].Import(0, w.keys[from].Export(0), w.now)
	next, err := w.owners.Transfer(0, from, to)
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.owners = next
	w.keys[from].Drop(0)
	w.takeOver()
}

// request asks an entry, dead ones too since they may only be paused, to run a key.
func (w *keyModel) request(entry, key string) {
	ticket, err := w.keys[entry].Begin(key, 0, w.now)
	if err != nil || !ticket.IsFirst() {
		return
	}
	if ticket.Epoch() < w.sealedEpoch {
		ticket.Finish(nil, fault.New(fault.Stale, "the key's owner has changed"))
		return
	}
	w.admitted = append(w.admitted, key)
	w.runCount[key]++
	if w.runCount[key] > 1 {
		w.t.Fatalf("%s ran %d times", key, w.runCount[key])
	}
	ticket.Finish(NewAnswer(200, "", nil), nil)
}
