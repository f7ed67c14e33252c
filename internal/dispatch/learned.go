package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// learnedEvery is how often what was learned is stored, beside a commit that is made anyway: a few hundred bytes that
// spare the next lead some ten seconds of harm.
const learnedEvery = 3 * time.Second

// addLearned adds what was learned of pressures to a batch that is written anyway.
func (t *term) addLearned(b *batch) {
	if time.Since(t.learned) < learnedEvery || len(b.versions) == 0 {
		return
	}
	value, err := t.pressure.Encode()
	if err != nil {
		t.logger.Error("what was learned cannot be encoded: %v", err)
		return
	}
	t.learned = time.Now()
	b.change.Puts = append(b.change.Puts, kv.Put{Key: record.PressureKey, Value: value})
}

// loadLearned takes over what the last lead had learned; without it the term learns anew.
func (t *term) loadLearned(ctx context.Context) {
	item, err := t.store.Get(ctx, record.PressureKey)
	if err == nil && item.Revision() > 0 {
		err = t.pressure.Restore(item.Value())
	}
	if err != nil {
		t.logger.Warn("what the last lead had learned is not taken over: %v", err)
	}
}
