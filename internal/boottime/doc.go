// Package boottime provides a clock that continues while a VM is suspended.
//
// Go's monotonic clock stops during a suspension, so a resumed process would take an expired lease or confirmation as still valid.
// Deadlines that safety depends on use this clock; timeouts and intervals may use the monotonic one.
package boottime
