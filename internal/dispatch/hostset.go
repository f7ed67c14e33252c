package dispatch

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// hostSet holds the states of worker incarnations, indexed by host and by VM, and sorted.
//
// Its slices are copied on write, so a returned slice stays valid while hosts are added and removed.
type hostSet struct {
	byHost map[job.Host]*hostState
	byVM   map[string][]*hostState
	sorted []*hostState
}

func newHostSet() *hostSet {
	return &hostSet{byHost: make(map[job.Host]*hostState), byVM: make(map[string][]*hostState)}
}

// get returns the state of an incarnation, nil for an unknown one.
func (s *hostSet) get(host job.Host) *hostState { return s.byHost[host] }

// all returns the incarnations sorted by host, so that placement does not depend on the order in which they were added.
func (s *hostSet) all() []*hostState { return s.sorted }

// onVM returns the incarnations on a VM, sorted.
func (s *hostSet) onVM(vm string) []*hostState { return s.byVM[vm] }

func (s *hostSet) len() int { return len(s.sorted) }

// add adds an incarnation that is not in the set.
func (s *hostSet) add(h *hostState) {
	host := h.worker.Host
	s.byHost[host] = h
	s.byVM[host.VM] = insertHost(s.byVM[host.VM], h)
	s.sorted = insertHost(s.sorted, h)
}

// remove removes an incarnation; an unknown one is ignored.
func (s *hostSet) remove(host job.Host) {
	if s.byHost[host] == nil {
		return
	}
	delete(s.byHost, host)
	s.byVM[host.VM] = withoutHost(s.byVM[host.VM], host)
	if len(s.byVM[host.VM]) == 0 {
		delete(s.byVM, host.VM)
	}
	s.sorted = withoutHost(s.sorted, host)
}

// rename changes the host of an incarnation.
func (s *hostSet) rename(h *hostState, host job.Host) {
	s.remove(h.worker.Host)
	h.worker.Host = host
	s.add(h)
}

// searchHost returns the index of an incarnation in a sorted slice, or the index to insert it at, and whether it was found.
func searchHost(sorted []*hostState, host job.Host) (int, bool) {
	return slices.BinarySearchFunc(sorted, host, func(h *hostState, host job.Host) int { return compareHosts(h.worker.Host, host) })
}

func insertHost(sorted []*hostState, h *hostState) []*hostState {
	at, _ := searchHost(sorted, h.worker.Host)
	return slices.Insert(slices.Clone(sorted), at, h)
}

func withoutHost(sorted []*hostState, host job.Host) []*hostState {
	at, found := searchHost(sorted, host)
	if !found {
		return sorted
	}
	return slices.Delete(slices.Clone(sorted), at, at+1)
}
