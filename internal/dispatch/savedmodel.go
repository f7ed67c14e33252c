package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// modelSaveInterval is the least time between two saves of the interference model, each part of a commit of jobs. The model
// has a few hundred bytes; without it the next leader would place interfering tasks for some ten seconds.
const modelSaveInterval = 3 * time.Second

// addModel adds the interference model to a batch that commits jobs, if its save is due.
func (t *term) addModel(b *batch) {
	if time.Since(t.modelSavedAt) < modelSaveInterval || len(b.versions) == 0 {
		return
	}
	value, err := t.pressure.Encode()
	if err != nil {
		t.logger.Error("cannot encode the interference model: %v", err)
		return
	}
	t.modelSavedAt = time.Now()
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.PressureKey, Value: value})
}

// loadModel restores the interference model that the previous leader saved; if that fails, the model starts empty.
func (t *term) loadModel(ctx context.Context) {
	item, err := t.store.Get(ctx, record.PressureKey)
	if err == nil && item.Revision() > 0 {
		err = t.pressure.Restore(item.Value())
	}
	if err != nil {
		t.logger.Warn("cannot restore the saved interference model: %v", err)
	}
}
