package idempotency

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// SlotCount is the number of slots that keys are divided into.
const SlotCount = 32

// SlotOf returns the slot of a service's key.
func SlotOf(service, key string) int {
	return int(xxhash.Sum64String(service+"\x00"+key) % SlotCount)
}

// Owner is the owner of a slot, with the epoch and whether the previous owner failed.
type Owner struct {
	entry          string
	epoch          uint64
	previousFailed bool
}

// Entry returns the entry that owns the slot, empty if it has not had an owner.
func (o Owner) Entry() string { return o.entry }

// Epoch returns the epoch of the slot, which counts the changes of its owner.
func (o Owner) Epoch() uint64 { return o.epoch }

// PreviousFailed reports whether the previous owner failed without a handover.
func (o Owner) PreviousFailed() bool { return o.previousFailed }

// Owners is the stored document of the entries and of the owner of each slot.
type Owners struct {
	members map[string]string
	slots   [SlotCount]Owner
}

// Address returns the address on which an entry listens for other processes.
func (o Owners) Address(entry string) (string, bool) {
	address, ok := o.members[entry]
	return address, ok
}

// Members returns the entries that may own slots, sorted.
func (o Owners) Members() []string { return slices.Sorted(maps.Keys(o.members)) }

// Owner returns the owner of a slot.
func (o Owners) Owner(slot int) Owner { return o.slots[slot] }

// Preferred returns the entry that should own a slot; all processes choose the same one by rendezvous hashing.
func (o Owners) Preferred(slot int) string {
	best, highest := "", uint64(0)
	for _, entry := range o.Members() {
		if score := xxhash.Sum64String(entry + "/" + strconv.Itoa(slot)); best == "" || score > highest {
			best, highest = entry, score
		}
	}
	return best
}

// Join adds an entry; slots without an owner yet go to their preferred entries.
func (o Owners) Join(entry, address string) Owners {
	next := o.clone()
	next.members[entry] = address
	for i := range next.slots {
		if next.slots[i].entry == "" {
			next.slots[i] = Owner{entry: next.Preferred(i), epoch: 1}
		}
	}
	return next
}

// Transfer moves a slot from its owner to another entry.
func (o Owners) Transfer(slot int, from, to string) (Owners, error) {
	owner := o.slots[slot]
	if owner.entry != from {
		return o, fault.New(fault.Conflict, "slot %d is owned by %s", slot, owner.entry)
	}
	next := o.clone()
	next.slots[slot] = Owner{entry: to, epoch: owner.epoch + 1}
	return next, nil
}

// Leave removes an entry that has transferred its slots.
func (o Owners) Leave(entry string) Owners {
	next := o.clone()
	delete(next.members, entry)
	return next
}

// RemoveFailed removes an entry that failed; its slots go to their preferred entries, marked as PreviousFailed.
func (o Owners) RemoveFailed(entry string) Owners {
	next := o.clone()
	delete(next.members, entry)
	for i, owner := range next.slots {
		if owner.entry != entry {
			continue
		}
		next.slots[i] = Owner{entry: next.Preferred(i), epoch: owner.epoch + 1, previousFailed: true}
	}
	return next
}

func (o Owners) clone() Owners {
	members := make(map[string]string, len(o.members)+1)
	maps.Copy(members, o.members)
	return Owners{members: members, slots: o.slots}
}

type ownersWire struct {
	_       struct{} `cbor:",toarray"`
	Members map[string]string
	Slots   []ownerWire
}

type ownerWire struct {
	_              struct{} `cbor:",toarray"`
	Entry          string
	Epoch          uint64
	PreviousFailed bool
}

// EncodeOwners returns the stored form of the document.
func EncodeOwners(o Owners) ([]byte, error) {
	wire := ownersWire{Members: o.members}
	for _, s := range o.slots {
		wire.Slots = append(wire.Slots, ownerWire{Entry: s.entry, Epoch: s.epoch, PreviousFailed: s.previousFailed})
	}
	value, err := cbor.Marshal(wire)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode the owners of keys")
	}
	return value, nil
}

// DecodeOwners returns the document of a stored value; an empty value is a document without owners.
func DecodeOwners(value []byte) (Owners, error) {
	if len(value) == 0 {
		return Owners{}, nil
	}
	var wire ownersWire
	if err := cbor.Unmarshal(value, &wire); err != nil {
		return Owners{}, fault.Wrap(err, fault.Internal, "cannot decode the stored owners of keys")
	}
	if len(wire.Slots) != SlotCount {
		return Owners{}, fault.New(fault.Internal, "the stored owners of keys have %d slots, not %d", len(wire.Slots), SlotCount)
	}
	o := Owners{members: wire.Members}
	for i, s := range wire.Slots {
		o.slots[i] = Owner{entry: s.Entry, epoch: s.Epoch, previousFailed: s.PreviousFailed}
	}
	return o, nil
}
