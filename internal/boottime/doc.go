// Package boottime is the clock by which time runs on while a VM is suspended.
//
// The steady clock of the language stands still then: whoever wakes would believe that a permission, or what was confirmed, is as
// fresh as before. Bounds on which safety rests are points on this clock; durations for patience and pace may stay on the other.
package boottime
