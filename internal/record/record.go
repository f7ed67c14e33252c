package record

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Keys of the store. Entries write under InputPrefix, only the lead under ProgressPrefix; both hold a key for each job.
const (
	LeaderKey     = "saffronpulley/lead"
	LastCommitKey = "saffronpulley/chain"
	// PressureKey holds what the leads have learned of images that slow each other.
	PressureKey    = "saffronpulley/pressure"
	InputPrefix    = "saffronpulley/in/"
	ProgressPrefix = "saffronpulley/run/"

	jobs    = InputPrefix + "job/"
	cancels = InputPrefix + "cancel/"
)

// JobKey returns the key of an accepted job, which never changes.
func JobKey(id job.ID) string { return jobs + string(id) }

// CancelKey returns the key that stands once a job was canceled.
func CancelKey(id job.ID) string { return cancels + string(id) }

// ProgressKey returns the key of how far a job is.
func ProgressKey(id job.ID) string { return ProgressPrefix + string(id) }

// ParseJobKey returns the job of an accepted job's key.
func ParseJobKey(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, jobs)
	return job.ID(id), ok
}

// ParseCancelKey returns the job of a cancellation's key.
func ParseCancelKey(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, cancels)
	return job.ID(id), ok
}

// ParseProgressKey returns the job of a progress' key.
func ParseProgressKey(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, ProgressPrefix)
	return job.ID(id), ok
}

// Leader says who leads; it stands under a lease.
type Leader struct {
	_ struct{} `cbor:",toarray"`
	// Process and Boot name the process and its life, Address is where agents and entries reach it.
	Process string
	Boot    string
	Address string
	// Epoch rises with each lead.
	Epoch uint64
}

// LastCommit is written with each commit of a lead, so that a commit of an earlier one, or one that was given up, fails.
type LastCommit struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Boot  string
	// Commit numbers the commits of the epoch from 0.
	Commit uint64
}

// Encode returns the record as it is stored.
func Encode[T Leader | LastCommit](record T) ([]byte, error) { return cbor.Marshal(record) }

// DecodeLeader reads who leads.
func DecodeLeader(data []byte) (Leader, error) { return decode[Leader](data, LeaderKey) }

// DecodeLastCommit reads the last commit; no data is a chain that has not begun.
func DecodeLastCommit(data []byte) (LastCommit, error) {
	if len(data) == 0 {
		return LastCommit{}, nil
	}
	return decode[LastCommit](data, LastCommitKey)
}

func decode[T any](data []byte, key string) (T, error) {
	var record T
	if err := cbor.Unmarshal(data, &record); err != nil {
		return record, fault.Wrap(err, fault.Internal, "the record "+key+" cannot be read")
	}
	return record, nil
}
