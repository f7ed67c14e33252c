package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// modelSaveInterval is how often what was learned is stored, beside a commit that is made anyway: a few hundred bytes that
// spare the next lead some ten seconds of harm.
const modelSaveInterval = 3 * time.Second

// addModel adds what was learned of pressures to a batch that is written anyway.
func (t *term) addModel(b *batch) {
	if time.Since(t.learnedSavedAt) < modelSaveInterval || len(b.versions) == 0 {
		return
	}
	value, err := t.pressure.Encode()
	if err != nil {
		t.logger.Error("what was learned cannot be encoded: %v", err)
		return
	}
	t.learnedSavedAt = time.Now()
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.PressureKey, Value: value})
}

// loadModel takes over what the last lead had learned; without it the term learns anew.
func (t *term) loadModel(ctx context.Context) {
	item, err := t.store.Get(ctx, record.PressureKey)
	if err == nil && item.Revision() > 0 {
		err = t.pressure.Restore(item.Value())
	}
	if err != nil {
		t.logger.Warn("what the last lead had learned is not taken over: %v", err)
	}
}
