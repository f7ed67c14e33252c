package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// TestHostSetMatchesPlainMap checks a hostSet against a map over additions, removals and renames: the same incarnations, sorted, and by VM.
func TestHostSetMatchesPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, model := newHostSet(), make(map[job.Host]*hostState)
		name := func() job.Host {
			vm := rapid.IntRange(0, 3).Draw(t, "vm")
			return job.Host{VM: fmt.Sprintf("vm%d", vm), Incarnation: incarnation.New("i", int64(rapid.IntRange(0, 3).Draw(t, "born")))}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := name()
			existing := model[n]
			switch {
			case existing == nil:
				model[n] = &hostState{worker: plan.Worker{Host: n}}
				set.add(model[n])
			case rapid.Bool().Draw(t, "rename"):
				if next := name(); model[next] == nil {
					delete(model, n)
					model[next] = existing
					set.rename(existing, next)
				}
			default:
				delete(model, n)
				set.remove(n)
			}
		}
		names := slices.SortedFunc(maps.Keys(model), compareHosts)
		assert.Equal(t, set.len(), len(names))
		perVM := make(map[string]int)
		for i, h := range set.all() {
			assert.Equal(t, h.worker.Host, names[i])
			assert.Equal(t, set.get(names[i]), model[names[i]])
			perVM[names[i].VM]++
		}
		for vm, count := range perVM {
			assert.Equal(t, len(set.onVM(vm)), count)
		}
	})
}

// TestReportCostIsIndependentOfFleetSize compares the allocations of one report in a small and in a large fleet. A report must not do work for
// each other worker or entry, since all agents report several times a second under one lock.
func TestReportCostIsIndependentOfFleetSize(t *testing.T) {
	allocations := func(workers int) float64 {
		leader := busyTerm(workers)
		report := link.Report{VM: "vm-07", Epoch: 1, Instance: "vm-07", Service: testService, CPU: 32000, Memory: 128000, Fenced: true}
		answer, err := leader.report(fakeSession{&fakeAgent{vm: report.VM}}, report)
		assert.NilError(t, err)
		report.EntriesVersion = answer.EntriesVersion
		return testing.AllocsPerRun(20, func() {
			if _, err := leader.report(fakeSession{&fakeAgent{vm: report.VM}}, report); err != nil {
				t.Error(err)
			}
		})
	}
	small, large := allocations(62), allocations(1600)
	assert.Assert(t, large <= small+1, "%v allocations with 1600 workers, %v with 62", large, small)
}

// TestSampleOfEntriesChangesLittle checks that the sample of a process changes by at most one address when an entry joins.
func TestSampleOfEntriesChangesLittle(t *testing.T) {
	var list []string
	for i := range 200 {
		list = append(list, fmt.Sprintf("10.0.%03d.1:7720", i))
	}
	before := sampleOf(list, "vm-1")
	after := sampleOf(append(list, "10.0.999.1:7720"), "vm-1")
	assert.Equal(t, len(before), maxEntriesSent)
	kept := 0
	for _, a := range after {
		if slices.Contains(before, a) {
			kept++
		}
	}
	assert.Assert(t, kept >= maxEntriesSent-1, "%d of %d kept", kept, maxEntriesSent)
	assert.Assert(t, !slices.Equal(before, sampleOf(list, "vm-2")))
	assert.DeepEqual(t, sampleOf(list[:3], "vm-1"), list[:3])
}
