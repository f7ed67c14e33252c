package intake

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// accept stores the record of a job. The error is of kind Gone if the job was canceled before.
func (s *Server) accept(ctx context.Context, id job.ID, value []byte) error {
	err := s.config.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.JobKey(id)}},
		Puts:       []kv.Put{{Key: record.JobKey(id), Value: value}},
	})
	if fault.Is(err, fault.Conflict) {
		err = s.earlierOutcome(ctx, id)
	}
	return s.callerError(err)
}

// earlierOutcome returns nil if a job whose key exists was accepted, and an error of kind Gone if it was canceled.
func (s *Server) earlierOutcome(ctx context.Context, id job.ID) error {
	accepted, err := s.config.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return unknownOutcome(err)
	}
	if accepted.Revision() == 0 {
		return fault.New(fault.OutcomeUnknown, "the record of job %s was removed meanwhile", id)
	}
	if record.IsTombstone(accepted.Value()) {
		return errCanceled(id)
	}
	canceled, err := s.config.Store.Get(ctx, record.CancelKey(id))
	if err != nil {
		return unknownOutcome(err)
	}
	if canceled.Revision() > accepted.Revision() {
		return errCanceled(id)
	}
	return nil
}

func unknownOutcome(err error) error {
	return fault.Wrap(err, fault.OutcomeUnknown, "the outcome of an earlier submission cannot be read")
}

func errCanceled(id job.ID) error { return fault.New(fault.Gone, "job %s was canceled", id) }

func errNoJob(id job.ID) error { return fault.New(fault.Gone, "there is no job %s", id) }

// maxCancelAttempts bounds the attempts at a cancellation whose commit conflicts with changes of the same job.
const maxCancelAttempts = 4

// Cancel cancels a job. The error is of kind Gone if there is no such job; none is accepted later either, although the write of a submission with an
// unknown outcome may still be under way.
func (s *Server) Cancel(ctx context.Context, a Address) error {
	start := time.Now()
	_, id, err := s.jobAt(ctx, a)
	if err != nil {
		return err
	}
	err = s.cancel(ctx, id)
	s.countCall("cancel", start, err)
	s.logger.Info("job canceled; job=%s ms=%d outcome=%s", id, time.Since(start).Milliseconds(), outcome(err))
	return err
}

func (s *Server) cancel(ctx context.Context, id job.ID) error {
	for range maxCancelAttempts {
		err := s.tryCancel(ctx, id)
		if !fault.Is(err, fault.Conflict) {
			return s.callerError(err)
		}
	}
	return fault.New(fault.Unavailable, "job %s was changed concurrently in every attempt", id).WithRetryAfter(retryAfter)
}

// tryCancel returns an error of kind Conflict if the record of the job was written or removed meanwhile.
func (s *Server) tryCancel(ctx context.Context, id job.ID) error {
	accepted, err := s.config.Store.Get(ctx, record.JobKey(id))
	switch {
	case err != nil:
		return err
	case accepted.Revision() == 0:
		return s.writeTombstone(ctx, id)
	case record.IsTombstone(accepted.Value()):
		return errNoJob(id)
	}
	err = s.config.Store.Commit(ctx, cancelTxn(id, accepted, 0))
	if !fault.Is(err, fault.Conflict) {
		return err
	}
	canceled, err := s.config.Store.Get(ctx, record.CancelKey(id))
	if err != nil || canceled.Revision() > accepted.Revision() {
		return err
	}
	return s.config.Store.Commit(ctx, cancelTxn(id, accepted, canceled.Revision()))
}

// writeTombstone keeps a job without a record from being accepted, and returns an error of kind Gone once that is stored.
func (s *Server) writeTombstone(ctx context.Context, id job.ID) error {
	err := s.config.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.JobKey(id)}},
		Puts:       []kv.Put{{Key: record.JobKey(id), Value: record.Tombstone()}},
	})
	if err != nil {
		return err
	}
	return errNoJob(id)
}

// cancelTxn returns the transaction that cancels an accepted job whose cancellation has a revision, 0 for none. It requires the job's record as it was
// read: a cancellation that is committed after the removal of the job must not apply to a later job of that name.
func cancelTxn(id job.ID, accepted kv.Item, canceled kv.Revision) kv.Txn {
	return kv.Txn{
		Conditions: []kv.Condition{
			{Key: record.JobKey(id), Revision: accepted.Revision()},
			{Key: record.CancelKey(id), Revision: canceled},
		},
		Puts: []kv.Put{{Key: record.CancelKey(id), Value: []byte{1}}},
	}
}
