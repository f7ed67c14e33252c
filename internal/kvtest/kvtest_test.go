package kvtest

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/kv"
)

// TestKeyIsRemovedWithItsLatestLease guards against an expired earlier lease removing the key of the next leader repeatedly.
func TestKeyIsRemovedWithItsLatestLease(t *testing.T) {
	ctx := context.Background()
	s := New()
	first, err := s.Grant(ctx, time.Second)
	assert.NilError(t, err)
	second, err := s.Grant(ctx, time.Second)
	assert.NilError(t, err)
	for _, lease := range []kv.LeaseID{first, second} {
		_, err = s.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: "lead", Lease: lease}}})
		assert.NilError(t, err)
	}
	s.Expire(first)
	assert.DeepEqual(t, s.Keys(""), []string{"lead"})
	s.Expire(second)
	assert.Equal(t, len(s.Keys("")), 0)
}
