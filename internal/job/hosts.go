package job

import (
	"slices"
	"strconv"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// HostState is what the next leader needs to know of a host of a job.
type HostState struct {
	// Lease is how long the lease of the worker may last without its agent.
	Lease time.Duration
	// Unsettled reports whether a later incarnation of the worker may carry out a start of a run of the job.
	Unsettled bool
}

// StoredHost returns the state of a host when the progress was stored that the job was restored from.
func (j *Job) StoredHost(h Host) HostState { return j.storedHosts[h] }

// storedHost is a host by the identifier of its worker. Lists of numbers follow the hosts, as entries without a VM in the same order: the start times
// of the incarnations, the milliseconds for which their leases may last, and whether they have unsettled runs. Trailing lists are left out if all numbers
// are 0, except the start times. Leaders of earlier releases ignore what they don't know.
type storedHost struct {
	_        struct{} `cbor:",toarray"`
	VM       string
	Instance string
}

// decodeHosts returns the stored hosts with the start times of their incarnations, and their states, if those are stored.
func decodeHosts(stored []storedHost) ([]Host, map[Host]HostState) {
	count := slices.IndexFunc(stored, func(h storedHost) bool { return h.VM == "" })
	if count < 0 {
		count = len(stored)
	}
	hosts, states := make([]Host, count), make(map[Host]HostState)
	for i, h := range stored[:count] {
		hosts[i] = Host{VM: h.VM, Incarnation: incarnation.New(h.Instance, storedNumber(stored, count+i))}
		state := HostState{Lease: millis(max(storedNumber(stored, 2*count+i), 0)), Unsettled: storedNumber(stored, 3*count+i) != 0}
		if state != (HostState{}) {
			states[hosts[i]] = state
		}
	}
	return hosts, states
}

// storedNumber returns the number in an entry without a VM, 0 if there is none or it is unreadable.
func storedNumber(stored []storedHost, index int) int64 {
	if index >= len(stored) {
		return 0
	}
	n, err := strconv.ParseInt(stored[index].Instance, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// encodeHosts returns the stored form of hosts with their states.
func encodeHosts(hosts []Host, stateOf func(Host) HostState) []storedHost {
	var names, startTimes, leases, unsettled []storedHost
	anyLease, anyUnsettled := false, false
	number := func(n int64) storedHost { return storedHost{Instance: strconv.FormatInt(n, 10)} }
	for _, h := range hosts {
		state := stateOf(h)
		flag := int64(0)
		if state.Unsettled {
			flag = 1
		}
		anyLease, anyUnsettled = anyLease || state.Lease.Milliseconds() > 0, anyUnsettled || state.Unsettled
		names = append(names, storedHost{VM: h.VM, Instance: h.Incarnation.Worker()})
		startTimes = append(startTimes, number(h.Incarnation.StartMillis()))
		leases = append(leases, number(state.Lease.Milliseconds()))
		unsettled = append(unsettled, number(flag))
	}
	switch {
	case anyUnsettled:
		return slices.Concat(names, startTimes, leases, unsettled)
	case anyLease:
		return slices.Concat(names, startTimes, leases)
	}
	return slices.Concat(names, startTimes)
}
