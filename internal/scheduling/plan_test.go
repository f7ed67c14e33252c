package scheduling

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/table"
)

var now = time.Unix(1_700_000_000, 0)

func rows(tb testing.TB, text string) table.Table {
	tb.Helper()
	parsed, err := table.Parse([]byte(text))
	assert.NilError(tb, err)
	t, err := table.Table{}.Apply(table.NewEdit(0, parsed, "x", "x"), now)
	assert.NilError(tb, err)
	return t
}

func workers(n int, capacity resource.Vector) []Worker {
	list := make([]Worker, 0, n)
	for i := range n {
		list = append(list, NewWorker(fmt.Sprintf("vm-%02d", i), capacity, 1+i/3))
	}
	return list
}

const testTable = `workload,kind,team,processors,memory_mb,replicas,runtime_s,urgent,accelerators,concurrency,evictions
lookups,service,a,4,1000,2,,,,,
mailing,batch,a,2,1000,,60,,,100,1
rush,batch,b,2,1000,,60,yes,,100,1
training,batch,b,2,1000,,60,,2,100,1
b,team,b,4,,,,,,,
`

func TestMake(t *testing.T) {
	cases := []struct {
		name    string
		jobs    map[string]int
		workers []Worker
		placed  map[string]int
		reasons map[string]string
	}{
		{"replicas on different racks", nil, workers(4, resource.New(8000, 9000, 0)), map[string]int{"lookups": 2}, nil},
		{"a second replica finds no worker", nil, workers(1, resource.New(8000, 9000, 0)), map[string]int{"lookups": 1},
			map[string]string{"lookups": "a replica of the service runs there"}},
		{"batch uses the capacity that services leave", map[string]int{"mailing": 9}, workers(2, resource.New(8000, 9000, 0)), map[string]int{"mailing": 4},
			map[string]string{"job-mailing": "not enough free processors"}},
		{"urgent work goes first", map[string]int{"mailing": 9, "rush": 1}, workers(2, resource.New(8000, 9000, 0)),
			map[string]int{"rush": 1, "mailing": 3}, nil},
		{"a team keeps its quota", map[string]int{"rush": 9}, workers(3, resource.New(20000, 9000, 0)), map[string]int{"rush": 2},
			map[string]string{"job-rush": "the team's quota is used up"}},
		{"no accelerators", map[string]int{"training": 1}, workers(2, resource.New(8000, 9000, 0)), map[string]int{"training": 0},
			map[string]string{"job-training": "no worker of the cell is large enough, even empty"}},
		{"all workers are leaving", map[string]int{"mailing": 1}, closed(workers(2, resource.New(8000, 9000, 0))), map[string]int{"mailing": 0},
			map[string]string{"job-mailing": "worker is leaving or not heard of"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := cell.New()
			for workload, tasks := range c.jobs {
				d.Submit(cell.NewJob("job-"+workload, workload, "", tasks, now))
			}
			plan := Make(d, NewSnapshot(now, rows(t, testTable), c.workers, FullShare()))
			for workload, want := range c.placed {
				assert.Equal(t, placedOf(d, workload), want, workload)
			}
			for name, want := range c.reasons {
				assert.Equal(t, plan.Waiting()[name].String(), want)
			}
		})
	}
}

func closed(list []Worker) []Worker {
	for i := range list {
		list[i] = list[i].WithClosed(placement.WorkerLeaving)
	}
	return list
}

func placedOf(d *cell.Document, workload string) int {
	count := 0
	for _, t := range d.Tasks() {
		if t.Workload() == workload && t.IsPlaced() {
			count++
		}
	}
	return count
}

func TestUnplaceableReplicaEvictsBatchTasks(t *testing.T) {
	d := cell.New()
	d.Submit(cell.NewJob("job", "mailing", "", 4, now))
	single := workers(1, resource.New(8000, 9000, 0))
	text := "workload,kind,team,processors,memory_mb,replicas,concurrency,evictions\nmailing,batch,a,2,1000,,100,1\n"
	Make(d, NewSnapshot(now, rows(t, text), single, FullShare()))
	assert.Equal(t, placedOf(d, "mailing"), 4)
	plan := Make(d, NewSnapshot(now, rows(t, text+"lookups,service,a,4,1000,1,,\n"), single, FullShare()))
	assert.Equal(t, len(plan.Evict()), 2)
}

func TestInterferencePreventsPlacement(t *testing.T) {
	model := interference.New()
	for range 50 {
		model.Observe("lookups", 1, nil, 10*time.Millisecond, 100, now)
	}
	for range 50 {
		model.Observe("lookups", 1, []interference.Neighbor{interference.NewNeighbor("mailing", 0.25)}, 15*time.Millisecond, 100, now)
	}
	list := workers(2, resource.New(8000, 9000, 0))
	list[0] = list[0].WithBands(map[string]interference.Band{"lookups": 1})
	d := cell.New()
	d.Submit(cell.NewJob("job", "mailing", "", 3, now))
	text := "workload,kind,team,processors,memory_mb,concurrency\nmailing,batch,a,2,1000,100\n"
	Make(d, NewSnapshot(now, rows(t, text), list, FullShare()).WithModel(model))
	assert.Equal(t, len(d.PlacedOn("vm-00")), 0)
	assert.Equal(t, len(d.PlacedOn("vm-01")), 3)
	// A service far from its target tolerates more interference.
	list[0] = list[0].WithTolerance(10)
	d.Submit(cell.NewJob("more", "mailing", "", 3, now))
	Make(d, NewSnapshot(now, rows(t, text), list, FullShare()).WithModel(model))
	assert.Assert(t, len(d.PlacedOn("vm-00")) > 0)
}

// BenchmarkMake measures the time of a plan for each placed task, in a cell of 32 workers with 500 tasks.
func BenchmarkMake(b *testing.B) {
	text := "workload,kind,team,processors,memory_mb,replicas,concurrency\nmailing,batch,a,1,100,,4096\n"
	for i := range 3 {
		text += fmt.Sprintf("service-%d,service,a,4,1000,32,\n", i)
	}
	t := rows(b, text)
	list := workers(32, resource.New(64000, 200000, 0))
	for i := range list {
		list[i] = list[i].WithBands(map[string]interference.Band{"service-0": 0, "service-1": 0, "service-2": 0})
	}
	weights := placement.DefaultWeights()
	weights.MaxInterference = 1000
	snapshot := NewSnapshot(now, t, list, FullShare()).WithWeights(weights)
	loaded := cell.New()
	loaded.Submit(cell.NewJob("base", "mailing", "", 404, now))
	for range 4 {
		Make(loaded, snapshot)
	}
	assert.Equal(b, len(loaded.Tasks()), 500)
	loaded.Submit(cell.NewJob("more", "mailing", "", MaxAssignments, now))
	b.ReportAllocs()
	for b.Loop() {
		d := loaded.Clone()
		plan := Make(d, snapshot)
		assert.Equal(b, len(plan.Assigned()), MaxAssignments)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/MaxAssignments, "ns/task")
}
