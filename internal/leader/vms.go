package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

// pollVMs reads the list of VMs periodically.
func (l *Leader) pollVMs(ctx context.Context) error {
	for ctx.Err() == nil {
		vms, err := l.VMs.VMs(ctx)
		if err != nil {
			l.Logger.Debug("cannot read the list of VMs: %v", err)
		} else {
			l.UpdateVMs(vms)
		}
		store.Pause(ctx, jitter(l.Timing.List))
	}
	return ctx.Err()
}

// UpdateVMs applies the list of VMs: it sets the cell's share of the region and loses the runs on VMs that are gone.
//
// A list without any VM of the cell is ignored if the leader has received heartbeats from agents of the cell.
func (l *Leader) UpdateVMs(vms []vmlist.VM) {
	now := time.Now()
	l.mu.Lock()
	if len(l.agents) > 0 && !hasCell(l.Cell, vms) {
		l.mu.Unlock()
		l.Logger.Warn("list of VMs ignored, since it has no VM of the cell; cell=%s", l.Cell)
		return
	}
	l.vmStates = make(map[string]vmlist.State)
	for _, v := range vms {
		if v.Cell() == l.Cell {
			l.vmStates[v.Instance()] = v.State()
		}
	}
	l.share = ShareOf(l.Cell, vms)
	l.dirty = true
	gone := l.goneInstances(now)
	l.mu.Unlock()
	for _, instance := range gone {
		l.loseInstance(instance)
	}
	l.notify()
}

func hasCell(cellName string, vms []vmlist.VM) bool {
	return slices.ContainsFunc(vms, func(v vmlist.VM) bool { return v.Cell() == cellName })
}

// ShareOf returns the share of a cell among the live VMs of the list.
func ShareOf(cellName string, vms []vmlist.VM) scheduling.Share {
	counts := make(map[string]int)
	total := 0
	for _, v := range vms {
		if v.State() == vmlist.Live {
			counts[v.Cell()]++
			total++
		}
	}
	before := 0
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if name < cellName {
			before += counts[name]
		}
	}
	return scheduling.NewShare(before, counts[cellName], total)
}

// goneInstances returns the instances that are gone in the list and also unreachable, since the list may be wrong; l.mu is held.
func (l *Leader) goneInstances(now time.Time) []string {
	if now.Sub(l.startedAt) < maxMissedHeartbeats*l.Timing.Heartbeat {
		return nil
	}
	var gone []string
	for instance, state := range l.vmStates {
		agent, known := l.agents[instance]
		if state == vmlist.Gone && (!known || !agent.isReachable(now, l.Timing.Heartbeat)) {
			gone = append(gone, instance)
		}
	}
	return gone
}

func (l *Leader) loseInstance(instance string) {
	var lost []cell.LostRun
	o := newOperation(func(d *cell.Document) (bool, error) {
		lost = d.LoseInstance(instance)
		return len(lost) > 0, nil
	})
	o.onCommit = func() {
		for _, loss := range lost {
			l.Recorder.Record(timeline.TaskLost, subjectOf(loss.Run(), instance), "the VM is gone according to the platform")
			if loss.GivenUp() {
				l.Recorder.Record(timeline.TaskFailed, subjectOf(loss.Run(), instance), "too many runs of the task in a row were lost with their VMs")
			}
		}
	}
	l.enqueue(o)
}
