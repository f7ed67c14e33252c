package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/idempotency"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const (
	ownersKey   = "keys"
	deadAfter   = 3 * time.Second
	tickEach    = 200 * time.Millisecond
	pauseLimit  = 1500 * time.Millisecond
	handTimeout = 5 * time.Second

	movePatience = 3 * time.Second
	movePoll     = 50 * time.Millisecond
)

// keyring is the entry's part in owning the callers' keys.
type keyring struct {
	entry    *Entry
	member   string
	keys     *idempotency.Keys
	document *store.Document[idempotency.Owners]
	closing  atomic.Bool
	ticked   atomic.Int64
	paused   atomic.Bool
	started  time.Time

	mu      sync.Mutex
	silent  map[string]time.Time
	clients map[string]*fasthttp.HostClient
}

func newKeyring(e *Entry, keys *idempotency.Keys) *keyring {
	k := &keyring{
		entry: e, member: e.ID + "/" + ulid.Make().String(), keys: keys, started: time.Now(),
		document: store.NewDocument(e.Store, ownersKey, store.NewCodec(idempotency.EncodeOwners, idempotency.DecodeOwners)),
		silent:   make(map[string]time.Time),
		clients:  make(map[string]*fasthttp.HostClient),
	}
	k.ticked.Store(time.Since(k.started).Nanoseconds())
	return k
}

// run joins the owners and keeps to what the document says until ctx ends.
func (k *keyring) run(ctx context.Context) error {
	go k.tick(ctx)
	go store.Follow(ctx, k.document, func(idempotency.Owners, store.Version) {},
		func(err error) { k.entry.Logger.Debug("cannot watch the owners of keys: %v", err) })
	for ctx.Err() == nil {
		if !k.closing.Load() {
			k.round(ctx)
		}
		store.Pause(ctx, k.entry.Timing.Keys)
	}
	return ctx.Err()
}

// tick notices when the process was paused, after which it no longer trusts what it knew.
func (k *keyring) tick(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Since(k.started).Nanoseconds()
		if now-k.ticked.Swap(now) > pauseLimit.Nanoseconds() {
			k.paused.Store(true)
		}
		store.Pause(ctx, tickEach)
	}
}

// trusts reports whether the process has not been paused since it last read the owners.
func (k *keyring) trusts() bool {
	return !k.paused.Load() && time.Since(k.started).Nanoseconds()-k.ticked.Load() <= pauseLimit.Nanoseconds()
}

func (k *keyring) round(ctx context.Context) {
	if k.paused.Load() {
		if err := k.document.Load(ctx); err != nil {
			return
		}
		k.paused.Store(false)
	}
	owners, _, loaded := k.document.Current()
	if !loaded {
		return
	}
	if _, ok := owners.Address(k.member); !ok {
		k.join(ctx)
		return
	}
	k.buryDead(ctx, owners)
	k.settleSlots(ctx, owners)
}

func (k *keyring) join(ctx context.Context) {
	_, err := k.document.Update(ctx, func(o idempotency.Owners) (idempotency.Owners, bool, error) {
		if _, ok := o.Address(k.member); ok {
			return o, false, nil
		}
		return o.Join(k.member, k.entry.PeerAddress), true, nil
	})
	if err != nil {
		k.entry.Logger.Debug("cannot join the owners of keys: %v", err)
	}
}

// buryDead gives the slots of members that do not answer for a while to others.
func (k *keyring) buryDead(ctx context.Context, owners idempotency.Owners) {
	for _, member := range owners.Members() {
		if member == k.member {
			continue
		}
		address, _ := owners.Address(member)
		if !k.isDead(member, k.ping(address, member), time.Now()) {
			continue
		}
		_, err := k.document.Update(ctx, func(o idempotency.Owners) (idempotency.Owners, bool, error) {
			if _, ok := o.Address(member); !ok {
				return o, false, nil
			}
			return o.RemoveFailed(member), true, nil
		})
		if err == nil {
			k.entry.Logger.Warn("entry %s does not answer, and others own its keys now", member)
		}
	}
}

func (k *keyring) isDead(member string, answers bool, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if answers {
		delete(k.silent, member)
		return false
	}
	since, ok := k.silent[member]
	if !ok {
		k.silent[member] = now
		return false
	}
	return now.Sub(since) >= deadAfter
}

// settleSlots begins to own what the document gives this entry, gives up what it does not, and hands over the rest.
func (k *keyring) settleSlots(ctx context.Context, owners idempotency.Owners) {
	var taken []int
	moving := make(map[string][]int)
	for slot := range idempotency.SlotCount {
		owner := owners.Owner(slot)
		epoch, owns := k.keys.Owns(slot)
		switch {
		case owner.Entry() != k.member:
			if owns {
				k.keys.Drop(slot)
			}
		case !owns || epoch != owner.Epoch():
			taken = append(taken, slot)
		case owners.Preferred(slot) != k.member:
			moving[owners.Preferred(slot)] = append(moving[owners.Preferred(slot)], slot)
		}
	}
	if len(taken) > 0 {
		k.take(owners, taken)
	}
	for to, slots := range moving {
		k.hand(ctx, owners, slots, to)
	}
}

// take owns slots; those whose owner died only after the agents were asked what they ran.
func (k *keyring) take(owners idempotency.Owners, slots []int) {
	now := time.Now()
	var doubtful []int
	for _, slot := range slots {
		if owners.Owner(slot).PreviousFailed() {
			doubtful = append(doubtful, slot)
			continue
		}
		k.keys.Own(slot, owners.Owner(slot).Epoch(), nil, time.Time{}, now)
	}
	k.entry.Recorder.Record(timeline.KeySlotsAcquired, timeline.Subject{}, "owns keys of slots anew")
	if len(doubtful) > 0 {
		k.takeDoubtful(owners, doubtful, now)
	}
}

// serve answers a request with a key, here if this entry owns the key, else through the owner.
//
// While a slot moves from one entry to another the request waits a little, since nothing was decided about it yet.
func (k *keyring) serve(r *request) (*idempotency.Answer, error) {
	r.slot = idempotency.SlotOf(r.service, r.key)
	patience := time.Now().Add(movePatience)
	for {
		answer, moving, err := k.tryServe(r)
		if !moving || time.Now().After(patience) || time.Until(r.deadline) < movePoll {
			return answer, err
		}
		<-time.After(movePoll)
	}
}

// tryServe serves a request as things stand; moving says that its slot has no owner that serves at the moment.
func (k *keyring) tryServe(r *request) (answer *idempotency.Answer, moving bool, err error) {
	if _, owns := k.keys.Owns(r.slot); owns {
		answer, err = k.serveOwned(r)
		return answer, false, err
	}
	owners, _, loaded := k.document.Current()
	if !loaded {
		return nil, true, fault.New(fault.OutcomeUnknown, "it is not known yet who owns the key")
	}
	owner := owners.Owner(r.slot)
	if owner.Entry() == k.member || owner.Entry() == "" {
		return nil, true, fault.New(fault.OutcomeUnknown, "the owner of the key is changing")
	}
	address, ok := owners.Address(owner.Entry())
	if !ok {
		return nil, true, fault.New(fault.OutcomeUnknown, "the owner of the key is not known")
	}
	return k.forward(address, r)
}

// serveOwned runs the request if it is the first with its key, and waits for the first otherwise.
func (k *keyring) serveOwned(r *request) (*idempotency.Answer, error) {
	if !k.trusts() {
		return nil, fault.New(fault.OutcomeUnknown, "the owner of the key was paused")
	}
	ticket, err := k.keys.Begin(r.keyed(), r.slot, time.Now())
	if err != nil {
		return nil, err
	}
	if ticket.IsFirst() {
		r.epoch = ticket.Epoch()
		answer, err := k.entry.route(r)
		ticket.Finish(answer, err)
		return answer, err
	}
	select {
	case <-ticket.Done():
		return ticket.Result()
	case <-time.After(time.Until(r.deadline)):
		return nil, fault.New(fault.OutcomeUnknown, "an earlier request with the key still runs")
	}
}

// handOver hands all slots to others before the process ends, and leaves the owners.
func (k *keyring) handOver(ctx context.Context) {
	k.closing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	owners, _, loaded := k.document.Current()
	if !loaded {
		return
	}
	rest := owners.Leave(k.member)
	moving := make(map[string][]int)
	for slot := range idempotency.SlotCount {
		if _, owns := k.keys.Owns(slot); owns && rest.Preferred(slot) != "" {
			moving[rest.Preferred(slot)] = append(moving[rest.Preferred(slot)], slot)
		}
	}
	for to, slots := range moving {
		k.hand(ctx, owners, slots, to)
	}
	_, err := k.document.Update(ctx, func(o idempotency.Owners) (idempotency.Owners, bool, error) {
		if _, ok := o.Address(k.member); !ok || ownsAny(o, k.member) {
			return o, false, nil
		}
		return o.Leave(k.member), true, nil
	})
	if err != nil {
		k.entry.Logger.Warn("cannot leave the owners of keys: %v", err)
	}
}

func ownsAny(o idempotency.Owners, member string) bool {
	for slot := range idempotency.SlotCount {
		if o.Owner(slot).Entry() == member {
			return true
		}
	}
	return false
}
