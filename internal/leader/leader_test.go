package leader

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

// memoryStore is an in-memory store without leases.
type memoryStore map[string]store.Record

func (m memoryStore) Get(_ context.Context, key string) (store.Record, error) { return m[key], nil }

func (m memoryStore) Swap(_ context.Context, key string, from store.Version, value []byte) (store.Version, error) {
	if m[key].Version() != from {
		return 0, fault.New(fault.Conflict, "another version")
	}
	m[key] = store.NewRecord(from+1, value)
	return from + 1, nil
}

func (m memoryStore) Watch(_ context.Context, key string, _ store.Version) (store.Record, error) {
	return m[key], nil
}

func (m memoryStore) Acquire(_ context.Context, _, holder string, ttl time.Duration) (store.Lease, error) {
	return store.NewLease(holder, ttl), nil
}

func (m memoryStore) Holder(context.Context, string) (store.Lease, error) { return store.Lease{}, nil }

func (m memoryStore) Release(context.Context, string, string) error { return nil }

func beginLeader(t *testing.T, m memoryStore, name string) *Leader {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	l := New(Config{
		Cell: "h-0", Agent: name, Store: m, Logger: logging.Discard(), Recorder: timeline.NewRecorder(clock, name, 8),
		Timing: Timing{Lease: time.Hour, Heartbeat: time.Second, CommitRate: 1 << 20},
	})
	assert.NilError(t, l.Begin(t.Context(), store.NewLease(name, time.Hour), time.Now()))
	return l
}

func TestStaleLeaderCommitsNothing(t *testing.T) {
	m := memoryStore{}
	old := beginLeader(t, m, "old")
	beginLeader(t, m, "new")
	version := m[DocumentKey("h-0")].Version()
	old.enqueue(newOperation(func(d *cell.Document) (bool, error) {
		d.Scale("lookups", 1)
		return true, nil
	}))
	assert.Equal(t, fault.KindOf(old.CommitOnce(t.Context())), fault.Stale)
	assert.Equal(t, m[DocumentKey("h-0")].Version(), version)
}

func TestLeaderWithExpiredLeaseDecidesNothing(t *testing.T) {
	l := beginLeader(t, memoryStore{}, "lead")
	beat := control.Heartbeat{Instance: "vm-1", Boot: "b", Profile: &control.Profile{Capacity: control.Size{1000, 100}}}
	answer, err := l.Heartbeat(t.Context(), &rpc.Peer{}, beat)
	assert.NilError(t, err)
	assert.Assert(t, answer.Known)
	beat.Reports = []control.Report{{Run: control.Run{Job: "gone", Incarnation: 1}, State: "finished"}}
	answer, err = l.Heartbeat(t.Context(), &rpc.Peer{}, beat)
	assert.NilError(t, err)
	assert.Assert(t, answer.Desired != nil && len(answer.Acked) == 1)
	l.setLease(time.Now().Add(-time.Minute), store.NewLease("lead", time.Second))
	answer, err = l.Heartbeat(t.Context(), &rpc.Peer{}, beat)
	assert.NilError(t, err)
	assert.Assert(t, answer.Desired == nil && len(answer.Acked) == 0)
}

func TestCanceledRunIsDroppedOnlyOnceAgentAppliedIt(t *testing.T) {
	l := beginLeader(t, memoryStore{}, "lead")
	vm := control.Heartbeat{Instance: "vm-1", Boot: "b", Profile: &control.Profile{Capacity: control.Size{1000, 100}}}
	l.UpdateVMs([]vmlist.VM{vmlist.NewVM("vm-1", "h", 1, vmlist.Live)})
	_, err := l.Heartbeat(t.Context(), &rpc.Peer{}, vm)
	assert.NilError(t, err)
	commitChange(t, l, func(d *cell.Document) error {
		d.Submit(cell.NewJob("job", "mailing", "", 1, time.Now()))
		_, err := d.Assign(task.NewID("job", 0), "vm-1", resource.New(500, 10, 0))
		return err
	})
	answer, err := l.Heartbeat(t.Context(), &rpc.Peer{}, vm)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Desired.Runs), 1)
	commitChange(t, l, func(d *cell.Document) error { return d.Cancel("job") })
	// The agent has not applied the cancellation yet and may still start the run.
	vm.Applied = answer.Desired.Position
	answer, err = l.Heartbeat(t.Context(), &rpc.Peer{}, vm)
	assert.NilError(t, err)
	assert.NilError(t, l.CommitOnce(t.Context()))
	d, _, _ := l.document.Current()
	assert.Equal(t, len(d.Tasks()), 1)
	vm.Applied = answer.Desired.Position
	_, err = l.Heartbeat(t.Context(), &rpc.Peer{}, vm)
	assert.NilError(t, err)
	assert.NilError(t, l.CommitOnce(t.Context()))
	d, _, _ = l.document.Current()
	assert.Equal(t, len(d.Tasks()), 0)
}

// An empty list once scaled every service of the cell to zero replicas.
func TestVMListWithoutVMsOfCellIsIgnored(t *testing.T) {
	l := beginLeader(t, memoryStore{}, "lead")
	_, err := l.Heartbeat(t.Context(), &rpc.Peer{}, control.Heartbeat{Instance: "vm-1", Boot: "b", Profile: &control.Profile{Capacity: control.Size{1000, 100}}})
	assert.NilError(t, err)
	l.UpdateVMs([]vmlist.VM{vmlist.NewVM("vm-1", "h", 1, vmlist.Live)})
	share := l.share
	l.UpdateVMs(nil)
	assert.Equal(t, l.share, share)
	assert.Equal(t, share.Of(3), 3)
}

func commitChange(t *testing.T, l *Leader, do func(d *cell.Document) error) {
	t.Helper()
	l.enqueue(newOperation(func(d *cell.Document) (bool, error) {
		assert.NilError(t, do(d))
		return true, nil
	}))
	assert.NilError(t, l.CommitOnce(t.Context()))
}

func TestSharesOfAllCellsSumToTotal(t *testing.T) {
	var vms []vmlist.VM
	for hall, workers := range map[string]int{"a": 3, "b": 31, "c": 7} {
		for i := range workers {
			vms = append(vms, vmlist.NewVM(hall, hall, 1+i/3, vmlist.Live))
		}
	}
	cells := make(map[string]struct{})
	for _, v := range vms {
		cells[v.Cell()] = struct{}{}
	}
	for total := range 50 {
		sum := 0
		for name := range cells {
			sum += ShareOf(name, vms).Of(total)
		}
		assert.Equal(t, sum, total)
	}
}

// TestWorkerLostWithPreviousLeaderIsShownAsSilent guards against a status without the lost worker: vm-2 was missing from it.
func TestWorkerLostWithPreviousLeaderIsShownAsSilent(t *testing.T) {
	l := beginLeader(t, memoryStore{}, "vm-1")
	commitChange(t, l, func(d *cell.Document) error {
		d.Submit(cell.NewJob("job", "mailing", "", 1, time.Now()))
		_, err := d.Assign(task.NewID("job", 0), "vm-2", resource.New(500, 10, 0))
		return err
	})
	d, _, _ := l.document.Current()
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := l.workerStatuses(d, time.Now())
	assert.Equal(t, len(statuses), 1)
	assert.Equal(t, statuses[0].Instance, "vm-2")
	assert.Equal(t, statuses[0].State, "silent")
	assert.Equal(t, statuses[0].Tasks, 1)
}

// holderStore is a store whose leases all have one holder, or whose Holder fails.
type holderStore struct {
	memoryStore
	holder string
	err    error
}

func (h holderStore) Holder(context.Context, string) (store.Lease, error) {
	return store.NewLease(h.holder, time.Second), h.err
}

// TestLeaderReportsItsExpiredLease guards against a leader that lost the store, but not its agents, and kept its cell forever.
func TestLeaderReportsItsExpiredLease(t *testing.T) {
	l := beginLeader(t, memoryStore{}, "vm-1")
	profile := &control.Profile{Agent: "vm-2", Hall: "h", Rack: 0}
	// The entry polls a leader without heartbeats: any change would be pushed to the entry, whose peer has no connection.
	polled, entry := beginLeader(t, memoryStore{}, "vm-1"), &rpc.Peer{}
	polled.subscribers[entry] = struct{}{}
	for _, expired := range []bool{false, true} {
		if expired {
			for _, leader := range []*Leader{l, polled} {
				leader.setLease(time.Now().Add(-2*time.Hour), store.NewLease("vm-1", time.Hour))
			}
		}
		answer, err := l.Heartbeat(t.Context(), nil, control.Heartbeat{Instance: "vm-2", Boot: "b", Profile: profile})
		assert.NilError(t, err)
		assert.Equal(t, answer.LeaseExpired, expired)
		subscribed, err := polled.Subscribe(t.Context(), entry, control.Subscribe{})
		assert.NilError(t, err)
		assert.Equal(t, subscribed.LeaseExpired, expired)
	}
}

func TestLeaderIsSupersededOnlyIfStoreConfirmsIt(t *testing.T) {
	cases := []struct {
		name       string
		store      holderStore
		superseded bool
	}{
		{"another process holds the lease", holderStore{holder: "b"}, true},
		{"no process holds the lease", holderStore{}, true},
		{"the leader holds it again", holderStore{holder: "a"}, false},
		{"the store does not answer", holderStore{err: fault.New(fault.Unavailable, "down")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, fault.Is(CheckSuperseded(t.Context(), c.store, "h-0", "a"), fault.Stale), c.superseded)
		})
	}
}
