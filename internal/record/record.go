package record

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Keys of the store. Entries write under InputPrefix, only the leader writes under ProgressPrefix; each has a key per job.
const (
	LeaderKey     = "saffronpulley/lead"
	LastCommitKey = "saffronpulley/chain"
	// PressureKey holds the model of interference between images that the leaders have learned.
	PressureKey = "saffronpulley/pressure"
	// EstimatesKey holds the model of run times that the leaders have learned.
	EstimatesKey = "saffronpulley/estimates"
	// LeasesKey holds how long the agent leases of the last leaders may last; leaders of the previous release do not write it.
	LeasesKey      = "saffronpulley/leases"
	InputPrefix    = "saffronpulley/in/"
	ProgressPrefix = "saffronpulley/run/"

	jobPrefix    = InputPrefix + "job/"
	cancelPrefix = InputPrefix + "cancel/"
)

// tombstone is no encoded job: releases that do not know it log an unreadable record and start nothing.
const tombstone = "canceled"

// Tombstone returns the value that takes the place of a job's record if the job is canceled before it is accepted. Submissions require that the key
// is absent, so that none is accepted after it.
func Tombstone() []byte { return []byte(tombstone) }

// IsTombstone reports whether the value of a job's key is a tombstone.
func IsTombstone(value []byte) bool { return string(value) == tombstone }

// JobKey returns the key of an accepted job, whose value never changes.
func JobKey(id job.ID) string { return jobPrefix + string(id) }

// CancelKey returns the key that is written when an accepted job is canceled; one written before the job was accepted is none of this job.
func CancelKey(id job.ID) string { return cancelPrefix + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id job.ID) string { return ProgressPrefix + string(id) }

// ParseJobKey returns the job of a key made by JobKey.
func ParseJobKey(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, jobPrefix)
	return job.ID(id), ok
}

// ParseCancelKey returns the job of a key made by CancelKey.
func ParseCancelKey(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, cancelPrefix)
	return job.ID(id), ok
}

// ParseProgressKey returns the job of a key made by ProgressKey.
func ParseProgressKey(key string) (job.ID, bool) {
	id, ok := strings.CutPrefix(key, ProgressPrefix)
	return job.ID(id), ok
}

// Leader is the record of the current leader; it is deleted when the leader's lease expires.
type Leader struct {
	_ struct{} `cbor:",toarray"`
	// Process and Boot identify the process and its incarnation; Address is where agents and entries reach it.
	Process string
	Boot    string
	Address string
	// Epoch increases with each leader.
	Epoch uint64
}

// LastCommit is written with each commit of a leader, so that a late commit of an earlier leader, or one that was given up, fails.
type LastCommit struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Boot  string
	// Commit is the number of the commit in its epoch, from 0.
	Commit uint64
}

// Leases bounds the agent leases that the leader of an epoch and all leaders before it have granted.
type Leases struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	// Millis is the time in milliseconds from when another leader takes over until the last of the leases has expired.
	Millis int64
}

// Encode returns the stored form of the record.
func Encode[T Leader | LastCommit | Leases](record T) ([]byte, error) { return cbor.Marshal(record) }

// DecodeLeader decodes the record of the leader.
func DecodeLeader(data []byte) (Leader, error) { return decode[Leader](data, LeaderKey) }

// DecodeLastCommit decodes the record of the last commit; without data it returns the zero value, as before the first commit.
func DecodeLastCommit(data []byte) (LastCommit, error) {
	if len(data) == 0 {
		return LastCommit{}, nil
	}
	return decode[LastCommit](data, LastCommitKey)
}

// DecodeLeases decodes the bound of the agent leases; without data it returns the zero value, as before the first leader.
func DecodeLeases(data []byte) (Leases, error) {
	if len(data) == 0 {
		return Leases{}, nil
	}
	return decode[Leases](data, LeasesKey)
}

func decode[T any](data []byte, key string) (T, error) {
	var record T
	if err := cbor.Unmarshal(data, &record); err != nil {
		return record, fault.Wrap(err, fault.Internal, "the record "+key+" cannot be read")
	}
	return record, nil
}
