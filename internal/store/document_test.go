package store

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// fake is a store of one key that fails as told.
type fake struct {
	record Record
	old    *Record
	fails  []fault.Kind
	swaps  int
	before func()
}

func (f *fake) Get(context.Context, string) (Record, error) {
	if f.old != nil {
		return *f.old, nil
	}
	return f.record, nil
}

func (f *fake) Swap(_ context.Context, _ string, from Version, value []byte) (Version, error) {
	f.swaps++
	kind := fault.Internal
	if len(f.fails) > 0 {
		kind, f.fails = f.fails[0], f.fails[1:]
	}
	if kind == fault.Unavailable {
		return 0, fault.New(fault.Unavailable, "down")
	}
	if f.before != nil {
		f.before()
		f.before = nil
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

func (f *fake) Watch(ctx context.Context, key string, _ Version) (Record, error) {
	return f.Get(ctx, key)
}

func (f *fake) Acquire(context.Context, string, string, time.Duration) (Lease, error) {
	return Lease{}, nil
}

func (f *fake) Holder(context.Context, string) (Lease, error) { return Lease{}, nil }

func (f *fake) Release(context.Context, string, string) error { return nil }

func numbers(f *fake) *Document[int] {
	return NewDocument(f, "key", NewCodec(
		func(n int) ([]byte, error) { return []byte(strconv.Itoa(n)), nil },
		func(value []byte) (int, error) {
			n, _ := strconv.Atoi(string(value))
			return n, nil
		}))
}

// atLeast is a change that finds itself done.
func atLeast(wanted int) func(int) (int, bool, error) {
	return func(n int) (int, bool, error) { return max(n, wanted), n < wanted, nil }
}

func TestUpdate(t *testing.T) {
	cases := []struct {
		name  string
		fails []fault.Kind
		swaps int
		want  fault.Kind
	}{
		{"goes well", nil, 1, -1},
		{"its answer is lost", []fault.Kind{fault.OutcomeUnknown}, 1, -1},
		{"the store is down", []fault.Kind{fault.Unavailable}, 1, fault.Unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{fails: c.fails}
			got, err := numbers(f).Update(context.Background(), atLeast(5))
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

func TestUpdateMergesWithAnother(t *testing.T) {
	f := &fake{}
	f.before = func() { f.record = NewRecord(1, []byte("100")) }
	got, err := numbers(f).Update(context.Background(), func(n int) (int, bool, error) { return n + 1, true, nil })
	assert.NilError(t, err)
	assert.Equal(t, got, 101)
}

func TestUpdateReturnsTheErrorOfTheChange(t *testing.T) {
	refused := fault.New(fault.Conflict, "the change itself refuses")
	f := &fake{}
	_, err := numbers(f).Update(context.Background(), func(n int) (int, bool, error) { return n, false, refused })
	assert.Equal(t, err, error(refused))
	assert.Equal(t, f.swaps, 0)
}

func TestDocumentNeverGoesBack(t *testing.T) {
	f := &fake{record: NewRecord(3, []byte("3"))}
	d := numbers(f)
	assert.NilError(t, d.Load(context.Background()))
	older := NewRecord(2, []byte("2"))
	f.old = &older
	assert.Equal(t, fault.KindOf(d.Load(context.Background())), fault.Unavailable)
	value, version, _ := d.Current()
	assert.Equal(t, value, 3)
	assert.Equal(t, version, Version(3))
}
