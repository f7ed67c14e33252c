package store

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// fakeStore is a store of one key that fails as configured.
type fakeStore struct {
	record     Record
	stale      *Record
	failures   []fault.Kind
	swaps      int
	beforeSwap func()
}

func (f *fakeStore) Get(context.Context, string) (Record, error) {
	if f.stale != nil {
		return *f.stale, nil
	}
	return f.record, nil
}

func (f *fakeStore) Swap(_ context.Context, _ string, from Version, value []byte) (Version, error) {
	f.swaps++
	kind := fault.Internal
	if len(f.failures) > 0 {
		kind, f.failures = f.failures[0], f.failures[1:]
	}
	if kind == fault.Unavailable {
		return 0, fault.New(fault.Unavailable, "down")
	}
	if f.beforeSwap != nil {
		f.beforeSwap()
		f.beforeSwap = nil
	}
	if f.record.Version() != from {
		return 0, fault.New(fault.Conflict, "another version")
	}
	f.record = NewRecord(from+1, value)
	if kind == fault.OutcomeUnknown {
		return 0, fault.New(fault.OutcomeUnknown, "lost")
	}
	return from + 1, nil
}

func (f *fakeStore) Watch(ctx context.Context, key string, _ Version) (Record, error) {
	return f.Get(ctx, key)
}

func (f *fakeStore) Acquire(context.Context, string, string, time.Duration) (Lease, error) {
	return Lease{}, nil
}

func (f *fakeStore) Holder(context.Context, string) (Lease, error) { return Lease{}, nil }

func (f *fakeStore) Release(context.Context, string, string) error { return nil }

func newNumberDocument(f *fakeStore) *Document[int] {
	return NewDocument(f, "key", NewCodec(
		func(n int) ([]byte, error) { return []byte(strconv.Itoa(n)), nil },
		func(value []byte) (int, error) {
			n, _ := strconv.Atoi(string(value))
			return n, nil
		}))
}

// raiseTo returns a change that reports false if it is already done.
func raiseTo(wanted int) func(int) (int, bool, error) {
	return func(n int) (int, bool, error) { return max(n, wanted), n < wanted, nil }
}

func TestUpdate(t *testing.T) {
	cases := []struct {
		name     string
		failures []fault.Kind
		swaps    int
		want     fault.Kind
	}{
		{"swap succeeds", nil, 1, -1},
		{"its answer is lost", []fault.Kind{fault.OutcomeUnknown}, 1, -1},
		{"the store is down", []fault.Kind{fault.Unavailable}, 1, fault.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeStore{failures: c.failures}
			got, err := newNumberDocument(f).Update(context.Background(), raiseTo(5))
			assert.Equal(t, f.swaps, c.swaps)
			if c.want >= 0 {
				assert.Equal(t, fault.KindOf(err), c.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, 5)
		})
	}
}

func TestUpdateAppliesTheChangeToAConcurrentWrite(t *testing.T) {
	f := &fakeStore{}
	f.beforeSwap = func() { f.record = NewRecord(1, []byte("100")) }
	got, err := newNumberDocument(f).Update(context.Background(), func(n int) (int, bool, error) { return n + 1, true, nil })
	assert.NilError(t, err)
	assert.Equal(t, got, 101)
}

func TestUpdateReturnsTheErrorOfTheChange(t *testing.T) {
	refused := fault.New(fault.Conflict, "rejected by the change")
	f := &fakeStore{}
	_, err := newNumberDocument(f).Update(context.Background(), func(n int) (int, bool, error) { return n, false, refused })
	assert.Equal(t, err, error(refused))
	assert.Equal(t, f.swaps, 0)
}

func TestDocumentNeverRevertsToAnOlderVersion(t *testing.T) {
	f := &fakeStore{record: NewRecord(3, []byte("3"))}
	d := newNumberDocument(f)
	assert.NilError(t, d.Load(context.Background()))
	older := NewRecord(2, []byte("2"))
	f.stale = &older
	assert.Equal(t, fault.KindOf(d.Load(context.Background())), fault.Unavailable)
	value, version, _ := d.Current()
	assert.Equal(t, value, 3)
	assert.Equal(t, version, Version(3))
}
