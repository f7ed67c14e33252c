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
	ownersKey       = "keys"
	memberTimeout   = 3 * time.Second
	tickInterval    = 200 * time.Millisecond
	maxPause        = 1500 * time.Millisecond
	handOverTimeout = 5 * time.Second

	moveTimeout      = 3 * time.Second
	movePollInterval = 50 * time.Millisecond
)

// keyOwner owns the slots of callers' keys that the owners document assigns to the entry.
type keyOwner struct {
	entry     *Entry
	member    string
	keys      *idempotency.Keys
	document  *store.Document[idempotency.Owners]
	closing   atomic.Bool
	lastTick  atomic.Int64
	paused    atomic.Bool
	startedAt time.Time

	mu          sync.Mutex
	silentSince map[string]time.Time
	clients     map[string]*fasthttp.HostClient
}

func newKeyOwner(e *Entry, keys *idempotency.Keys) *keyOwner {
	k := &keyOwner{
		entry: e, member: e.ID + "/" + ulid.Make().String(), keys: keys, startedAt: time.Now(),
		document:    store.NewDocument(e.Store, ownersKey, store.NewCodec(idempotency.EncodeOwners, idempotency.DecodeOwners)),
		silentSince: make(map[string]time.Time),
		clients:     make(map[string]*fasthttp.HostClient),
	}
	k.lastTick.Store(time.Since(k.startedAt).Nanoseconds())
	return k
}

// run joins the owners document and follows its assignments until ctx ends.
func (k *keyOwner) run(ctx context.Context) error {
	go k.detectPauses(ctx)
	go store.Follow(ctx, k.document, func(idempotency.Owners, store.Version) {},
		func(err error) { k.entry.Logger.Debug("cannot watch the owners of keys: %v", err) })
	for ctx.Err() == nil {
		if !k.closing.Load() {
			k.reconcile(ctx)
		}
		store.Pause(ctx, k.entry.Timing.Keys)
	}
	return ctx.Err()
}

// detectPauses detects that the process was paused; the owners must then be read again before keys are served.
func (k *keyOwner) detectPauses(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Since(k.startedAt).Nanoseconds()
		if now-k.lastTick.Swap(now) > maxPause.Nanoseconds() {
			k.paused.Store(true)
		}
		store.Pause(ctx, tickInterval)
	}
}

// isCurrent reports whether the process has not been paused since it last read the owners.
func (k *keyOwner) isCurrent() bool {
	return !k.paused.Load() && time.Since(k.startedAt).Nanoseconds()-k.lastTick.Load() <= maxPause.Nanoseconds()
}

func (k *keyOwner) reconcile(ctx context.Context) {
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
	k.removeFailedMembers(ctx, owners)
	k.reconcileSlots(ctx, owners)
}

func (k *keyOwner) join(ctx context.Context) {
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

// removeFailedMembers removes members that have not answered for memberTimeout, which assigns their slots to others.
func (k *keyOwner) removeFailedMembers(ctx context.Context, owners idempotency.Owners) {
	for _, member := range owners.Members() {
		if member == k.member {
			continue
		}
		address, _ := owners.Address(member)
		if !k.hasFailed(member, k.ping(address, member), time.Now()) {
			continue
		}
		_, err := k.document.Update(ctx, func(o idempotency.Owners) (idempotency.Owners, bool, error) {
			if _, ok := o.Address(member); !ok {
				return o, false, nil
			}
			return o.RemoveFailed(member), true, nil
		})
		if err == nil {
			k.entry.Logger.Warn("entry %s does not answer; its keys are assigned to other entries", member)
		}
	}
}

func (k *keyOwner) hasFailed(member string, answered bool, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if answered {
		delete(k.silentSince, member)
		return false
	}
	since, ok := k.silentSince[member]
	if !ok {
		k.silentSince[member] = now
		return false
	}
	return now.Sub(since) >= memberTimeout
}

// reconcileSlots takes the slots that the document newly assigns to this entry, drops those that it no longer owns, and
// moves those that another member should own.
func (k *keyOwner) reconcileSlots(ctx context.Context, owners idempotency.Owners) {
	var newSlots []int
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
			newSlots = append(newSlots, slot)
		case owners.Preferred(slot) != k.member:
			moving[owners.Preferred(slot)] = append(moving[owners.Preferred(slot)], slot)
		}
	}
	if len(newSlots) > 0 {
		k.takeSlots(owners, newSlots)
	}
	for to, slots := range moving {
		k.moveSlots(ctx, owners, slots, to)
	}
}

// takeSlots owns slots; for slots of a failed owner it first collects the keys that the agents ran.
func (k *keyOwner) takeSlots(owners idempotency.Owners, slots []int) {
	now := time.Now()
	var failedSlots []int
	for _, slot := range slots {
		if owners.Owner(slot).PreviousFailed() {
			failedSlots = append(failedSlots, slot)
			continue
		}
		k.keys.Own(slot, owners.Owner(slot).Epoch(), nil, time.Time{}, now)
	}
	k.entry.Recorder.Record(timeline.KeySlotsAcquired, timeline.Subject{}, "took ownership of key slots")
	if len(failedSlots) > 0 {
		k.takeFromFailed(owners, failedSlots, now)
	}
}

// serve handles a request with a key, locally if this entry owns the key, otherwise through the owner.
//
// While its slot moves between entries the request is retried for up to moveTimeout: no owner has accepted it yet.
func (k *keyOwner) serve(r *request) (*idempotency.Answer, error) {
	r.slot = idempotency.SlotOf(r.service, r.key)
	giveUpAt := time.Now().Add(moveTimeout)
	for {
		answer, moving, err := k.tryServe(r)
		if !moving || time.Now().After(giveUpAt) || time.Until(r.deadline) < movePollInterval {
			return answer, err
		}
		<-time.After(movePollInterval)
	}
}

// tryServe makes one attempt to serve a request; moving reports that its slot has no owner that serves at the moment.
func (k *keyOwner) tryServe(r *request) (answer *idempotency.Answer, moving bool, err error) {
	if _, owns := k.keys.Owns(r.slot); owns {
		answer, err = k.serveOwned(r)
		return answer, false, err
	}
	owners, _, loaded := k.document.Current()
	if !loaded {
		return nil, true, fault.New(fault.OutcomeUnknown, "the owner of the key is not known yet")
	}
	owner := owners.Owner(r.slot)
	if owner.Entry() == k.member || owner.Entry() == "" {
		return nil, true, fault.New(fault.OutcomeUnknown, "the owner of the key is changing")
	}
	address, ok := owners.Address(owner.Entry())
	if !ok {
		return nil, true, fault.New(fault.OutcomeUnknown, "the owner of the key has no known address")
	}
	return k.forward(address, r)
}

// serveOwned runs a request if it is the first with its key, and otherwise waits for the result of the first.
func (k *keyOwner) serveOwned(r *request) (*idempotency.Answer, error) {
	if !k.isCurrent() {
		return nil, fault.New(fault.OutcomeUnknown, "the owner of the key was paused")
	}
	ticket, err := k.keys.Begin(r.storedKey(), r.slot, time.Now())
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
		return nil, fault.New(fault.OutcomeUnknown, "an earlier request with the key is still running")
	}
}

// handOver moves all slots to other members before the process ends, and leaves the owners document.
func (k *keyOwner) handOver(ctx context.Context) {
	k.closing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	owners, _, loaded := k.document.Current()
	if !loaded {
		return
	}
	remaining := owners.Leave(k.member)
	moving := make(map[string][]int)
	for slot := range idempotency.SlotCount {
		if _, owns := k.keys.Owns(slot); owns && remaining.Preferred(slot) != "" {
			moving[remaining.Preferred(slot)] = append(moving[remaining.Preferred(slot)], slot)
		}
	}
	for to, slots := range moving {
		k.moveSlots(ctx, owners, slots, to)
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
