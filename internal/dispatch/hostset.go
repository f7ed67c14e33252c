package dispatch

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// hostSet holds the known incarnations of workers, by identity, by VM and in order.
//
// Its slices are replaced and never changed in place, so that one that was returned stays valid while hosts are added and removed.
type hostSet struct {
	byHost map[job.Host]*hostState
	byVM   map[string][]*hostState
	sorted []*hostState
}

func newHostSet() *hostSet {
	return &hostSet{byHost: make(map[job.Host]*hostState), byVM: make(map[string][]*hostState)}
}

// get returns what is known of an incarnation, nil for an unknown one.
func (s *hostSet) get(name job.Host) *hostState { return s.byHost[name] }

// all returns the incarnations in an order that does not depend on when they were added, so that neither does a plan.
func (s *hostSet) all() []*hostState { return s.sorted }

// onVM returns the incarnations known on a VM, in order.
func (s *hostSet) onVM(vm string) []*hostState { return s.byVM[vm] }

func (s *hostSet) len() int { return len(s.sorted) }

// add adds an incarnation that is not in the set.
func (s *hostSet) add(h *hostState) {
	name := h.worker.Host
	s.byHost[name] = h
	s.byVM[name.VM] = insertHost(s.byVM[name.VM], h)
	s.sorted = insertHost(s.sorted, h)
}

// remove removes an incarnation; an unknown one is ignored.
func (s *hostSet) remove(name job.Host) {
	if s.byHost[name] == nil {
		return
	}
	delete(s.byHost, name)
	s.byVM[name.VM] = withoutHost(s.byVM[name.VM], name)
	if len(s.byVM[name.VM]) == 0 {
		delete(s.byVM, name.VM)
	}
	s.sorted = withoutHost(s.sorted, name)
}

// rename gives an incarnation another identity.
func (s *hostSet) rename(h *hostState, name job.Host) {
	s.remove(h.worker.Host)
	h.worker.Host = name
	s.add(h)
}

// searchHost returns where an incarnation stands in a sorted slice, or would stand.
func searchHost(sorted []*hostState, name job.Host) (int, bool) {
	return slices.BinarySearchFunc(sorted, name, func(h *hostState, name job.Host) int { return compareHosts(h.worker.Host, name) })
}

func insertHost(sorted []*hostState, h *hostState) []*hostState {
	at, _ := searchHost(sorted, h.worker.Host)
	return slices.Insert(slices.Clone(sorted), at, h)
}

func withoutHost(sorted []*hostState, name job.Host) []*hostState {
	at, found := searchHost(sorted, name)
	if !found {
		return sorted
	}
	return slices.Delete(slices.Clone(sorted), at, at+1)
}
