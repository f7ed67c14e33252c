package vmlist

import (
	"context"
	"strconv"
)

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is the state of a VM according to the list.
type State int

// The states of a VM; a VM that is missing from the list, or listed as gone, has ended.
const (
	Live    State = iota // live
	Leaving              // leaving
	Gone                 // gone
)

// RacksPerCell is the number of whole racks in a cell, so that a cell has at most 32 workers of one hall.
const RacksPerCell = 10

// VM is one line of the list.
type VM struct {
	instance string
	hall     string
	rack     int
	state    State
}

// NewVM returns a line for the VM instance in a rack, from 1, of a hall.
func NewVM(instance, hall string, rack int, state State) VM {
	return VM{instance, hall, rack, state}
}

// Instance returns the name of the VM instance, which is never reused.
func (v VM) Instance() string { return v.instance }

// Hall returns the hall of the VM.
func (v VM) Hall() string { return v.hall }

// Rack returns the rack, from 1.
func (v VM) Rack() int { return v.rack }

// State returns the state of the VM according to the list.
func (v VM) State() State { return v.state }

// Cell returns the cell of the VM.
func (v VM) Cell() string { return Cell(v.hall, v.rack) }

// Cell returns the cell of a rack, from 1, of a hall.
func Cell(hall string, rack int) string {
	return hall + "-" + strconv.Itoa((max(rack, 1)-1)/RacksPerCell)
}

// List is the platform's list of worker VMs, which lags and may be wrong.
type List interface {
	// VMs returns the lines of the list; an error of kind Unavailable means that the list cannot be read.
	VMs(ctx context.Context) ([]VM, error)
}
