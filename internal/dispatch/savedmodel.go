package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// modelSaveInterval is the least time between two saves of the models, each part of a commit of jobs. The interference model
// has a few hundred bytes, as have the run times of a few queues; without the first the next leader would place interfering tasks for
// some ten seconds.
const modelSaveInterval = 3 * time.Second

// savedModel is a model that the leaders hand on through the store.
type savedModel interface {
	Encode() ([]byte, error)
	Restore(data []byte) error
}

// namedModel is a model with its key and its name in log lines.
type namedModel struct {
	key, name string
	model     savedModel
}

// savedModels returns the models to save and to load.
func (t *term) savedModels() []namedModel {
	models := []namedModel{{key: record.PressureKey, name: "interference model", model: t.pressure}}
	if t.runTimes != nil {
		models = append(models, namedModel{key: record.EstimatesKey, name: "run times", model: t.runTimes.model})
	}
	return models
}

// addModels adds the models to a batch that commits jobs, if their save is due.
func (t *term) addModels(b *batch) {
	if time.Since(t.modelSavedAt) < modelSaveInterval || len(b.versions) == 0 || b.alone || t.modelsRefused {
		return
	}
	for _, m := range t.savedModels() {
		value, err := m.model.Encode()
		if err != nil {
			t.logger.Error("cannot encode the %s: %v", m.name, err)
			continue
		}
		t.modelSavedAt, b.models = time.Now(), true
		b.txn.Puts = append(b.txn.Puts, kv.Put{Key: m.key, Value: value})
	}
}

// loadModels restores the models that the previous leader saved; one that cannot be restored starts empty.
func (t *term) loadModels(ctx context.Context) {
	for _, m := range t.savedModels() {
		item, err := t.store.Get(ctx, m.key)
		if err == nil && item.Revision() > 0 {
			err = m.model.Restore(item.Value())
		}
		if err != nil {
			t.logger.Warn("cannot restore the saved %s: %v", m.name, err)
		}
	}
}
