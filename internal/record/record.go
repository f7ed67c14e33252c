package record

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Keys of the store. Entries write under Inputs, only the lead under Progress; both hold a key for each job.
const (
	LeadKey  = "saffronpulley/lead"
	ChainKey = "saffronpulley/chain"
	// PressureKey holds what the leads have learned of images that slow each other.
	PressureKey = "saffronpulley/pressure"
	Inputs      = "saffronpulley/in/"
	Progress    = "saffronpulley/run/"

	jobs    = Inputs + "job/"
	cancels = Inputs + "cancel/"
)

// JobKey returns the key of an accepted job, which never changes.
func JobKey(id job.ID) string { return jobs + string(id) }

// CancelKey returns the key that stands once a job was canceled.
func CancelKey(id job.ID) string { return cancels + string(id) }

// ProgressKey returns the key of how far a job is.
func ProgressKey(id job.ID) string { return Progress + string(id) }

// JobOf returns the job of an accepted job's key.
func JobOf(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, jobs)
	return job.ID(id), ok
}

// CancelOf returns the job of a cancellation's key.
func CancelOf(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, cancels)
	return job.ID(id), ok
}

// ProgressOf returns the job of a progress' key.
func ProgressOf(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, Progress)
	return job.ID(id), ok
}

// Lead says who leads; it stands under a lease.
type Lead struct {
	_ struct{} `cbor:",toarray"`
	// Node and Boot name the process and its life, Address is where agents and entries reach it.
	Node    string
	Boot    string
	Address string
	// Epoch rises with each lead.
	Epoch uint64
}

// Chain is written with each commit of a lead, so that a commit of an earlier one, or one that was given up, fails.
type Chain struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Boot  string
	// Commit numbers the commits of the epoch from 0.
	Commit uint64
}

// Encode returns the record as it is stored.
func Encode[T Lead | Chain](record T) ([]byte, error) { return cbor.Marshal(record) }

// DecodeLead reads who leads.
func DecodeLead(data []byte) (Lead, error) { return decode[Lead](data, LeadKey) }

// DecodeChain reads the last commit; no data is a chain that has not begun.
func DecodeChain(data []byte) (Chain, error) {
	if len(data) == 0 {
		return Chain{}, nil
	}
	return decode[Chain](data, ChainKey)
}

func decode[T any](data []byte, key string) (T, error) {
	var record T
	if err := cbor.Unmarshal(data, &record); err != nil {
		return record, fault.Wrap(err, fault.Internal, "the record "+key+" cannot be read")
	}
	return record, nil
}
