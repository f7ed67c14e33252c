package fleet

import (
	"fmt"
	"slices"
	"time"
)

// contact records that a call reached an incarnation, which from then on refuses what was sent under a lower fence.
func (w *Worker) contact(l *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !l.contacted.IsZero() || w.life != l {
		return
	}
	l.contacted = time.Now()
	w.books.contacted(l.contacted.Sub(l.began))
}

// contacted records the time from the start of an incarnation to the first call that reached it.
func (b *Books) contacted(after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contacts = append(b.contacts, after)
}

// Contacts describes the times from the starts of incarnations to the first calls that reached them.
func (b *Books) Contacts() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.contacts) == 0 {
		return "no incarnation called"
	}
	sorted := slices.Sorted(slices.Values(b.contacts))
	at := func(percent int) time.Duration { return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond) }
	return fmt.Sprintf("%d incarnations called first after %v (median), %v (nine in ten), %v (longest)", len(sorted), at(50), at(90), at(100))
}

const (
	// contactAim is the time within which half of the incarnations are to be called: a start that was sent to an earlier one may run there before that.
	contactAim = 100 * time.Millisecond
	// leastContacts is how many incarnations there must be for that to be judged.
	leastContacts = 10
)

// judgeContacts returns an error where incarnations were called late.
func (b *Books) judgeContacts() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	sorted := slices.Sorted(slices.Values(b.contacts))
	if len(sorted) < leastContacts || sorted[len(sorted)/2] <= contactAim {
		return nil
	}
	return fmt.Errorf("half of %d incarnations were called later than %v after their start, %v in the middle", len(sorted), contactAim, sorted[len(sorted)/2])
}

// String describes how old the incarnation is, and when a call reached it first.
func (l *life) String() string {
	if l.contacted.IsZero() {
		return fmt.Sprintf("%s, %v old, not called yet", l.key, time.Since(l.began).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, %v old, called first after %v", l.key, time.Since(l.began).Round(time.Millisecond), l.contacted.Sub(l.began).Round(time.Millisecond))
}
