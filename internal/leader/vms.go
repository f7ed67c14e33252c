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

// followList reads the list of VMs from time to time.
func (l *Leader) followList(ctx context.Context) error {
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

// UpdateVMs takes note of the list: the cell's share of the region, and VMs that are gone.
//
// A list that names no VM of the cell, whose agents are heard, is not believed.
func (l *Leader) UpdateVMs(vms []vmlist.VM) {
	now := time.Now()
	l.mu.Lock()
	if len(l.agents) > 0 && !namesCell(l.Cell, vms) {
		l.mu.Unlock()
		l.Logger.Warn("the list names no VM of %s, and is not believed", l.Cell)
		return
	}
	l.listed = make(map[string]vmlist.State)
	for _, v := range vms {
		if v.Cell() == l.Cell {
			l.listed[v.Instance()] = v.State()
		}
	}
	l.share = ShareOf(l.Cell, vms)
	l.dirty = true
	gone := l.goneInstances(now)
	l.mu.Unlock()
	for _, instance := range gone {
		l.lose(instance)
	}
	l.signal()
}

func namesCell(cellName string, vms []vmlist.VM) bool {
	return slices.ContainsFunc(vms, func(v vmlist.VM) bool { return v.Cell() == cellName })
}

// ShareOf works out the share of a cell from the list.
func ShareOf(cellName string, vms []vmlist.VM) scheduling.Share {
	counts := make(map[string]int)
	all := 0
	for _, v := range vms {
		if v.State() == vmlist.Live {
			counts[v.Cell()]++
			all++
		}
	}
	before := 0
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if name < cellName {
			before += counts[name]
		}
	}
	return scheduling.NewShare(before, counts[cellName], all)
}

// goneInstances are those that the list calls gone and that are silent too, since the list may be wrong; l.mu is held.
func (l *Leader) goneInstances(now time.Time) []string {
	if now.Sub(l.began) < missedBeats*l.Timing.Heartbeat {
		return nil
	}
	var gone []string
	for instance, state := range l.listed {
		a, known := l.agents[instance]
		if state == vmlist.Gone && (!known || !a.isHeard(now, l.Timing.Heartbeat)) {
			gone = append(gone, instance)
		}
	}
	return gone
}

func (l *Leader) lose(instance string) {
	var lost []cell.LostRun
	o := newOperation(func(d *cell.Document) (bool, error) {
		lost = d.LoseInstance(instance)
		return len(lost) > 0, nil
	})
	o.after = func() {
		for _, loss := range lost {
			l.Recorder.Record(timeline.TaskLost, subjectOf(loss.Run(), instance), "the platform says that the VM is gone")
			if loss.GivenUp() {
				l.Recorder.Record(timeline.TaskFailed, subjectOf(loss.Run(), instance), "run after run of the task was lost with its VM")
			}
		}
	}
	l.enqueue(o)
}
