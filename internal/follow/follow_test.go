package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

func text(data []byte) (string, error) { return string(data), nil }

func put(t *testing.T, store *kvtest.Store, key, value string) {
	t.Helper()
	_, err := store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

func TestFollowsChangesRemovalsAndForgottenHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		put(t, store, "other", "x")
		f := New(store, "key", text, logging.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		synctest.Wait()
		value, known := f.Value()
		assert.Assert(t, known)
		assert.Equal(t, value.Revision, kv.Revision(0))

		put(t, store, "key", "one")
		synctest.Wait()
		value, _ = f.Value()
		assert.Equal(t, value.Held, "one")

		store.Forget()
		put(t, store, "key", "two")
		time.Sleep(time.Second)
		value, _ = f.Value()
		assert.Equal(t, value.Held, "two")

		_, err := store.Commit(context.Background(), kv.Txn{Removes: []string{"key"}})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		value, known = f.Value()
		assert.Assert(t, known)
		assert.Equal(t, value.Revision, kv.Revision(0))
		cancel()
		<-f.Done()
	})
}

func TestNeverGoesBack(t *testing.T) {
	f := New(kvtest.New(), "key", text, logging.Discard())
	f.Offer(Value[string]{Held: "new", Revision: 9})
	f.Offer(Value[string]{Held: "old", Revision: 4})
	value, known := f.Value()
	assert.Assert(t, known)
	assert.Equal(t, value.Held, "new")
}

func TestChangedIsClosedByAChange(t *testing.T) {
	f := New(kvtest.New(), "key", text, logging.Discard())
	changed := f.Changed()
	f.Offer(Value[string]{Held: "new", Revision: 1})
	select {
	case <-changed:
	default:
		t.Fatal("the channel is open after a change")
	}
}
