package dispatch

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// loadMedian is the median run time of the jobs of a load in seconds, loadDeviation the standard deviation of its logarithm, and
	// withinDeviation that of the tasks of one job.
	loadMedian      = 3.0
	loadDeviation   = 0.5
	withinDeviation = 0.25
	// loadSeeds is the number of loads of each line, loadLimit the longest time of one load.
	loadSeeds = 10
	loadLimit = 5 * time.Minute
)

// batchLoad is a line of testdata/runtimes.txt: a number of batch jobs, one a second, on one worker for a number of tasks, with estimates
// that are too low by a factor and differ from the run times by a standard deviation of the logarithm.
type batchLoad struct {
	slots, jobs, tasks int
	factor, spread     float64
}

// loadResult sums up what the callers of a load get: how long jobs take, and their value, which falls from 1 at the objective to 0 at
// lateFactor times the objective; and the mean backlog level while jobs arrive.
type loadResult struct{ seconds, value, level float64 }

// TestLearnedRunTimesServeCallers guards against learned run times that make jobs take longer or that lose value for their callers, and
// against a backlog level that stays low while more work waits than the estimates show. The limits are ratios to the results by estimates
// and, for the level, a difference.
func TestLearnedRunTimesServeCallers(t *testing.T) {
	file, err := os.Open("testdata/runtimes.txt")
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var l batchLoad
		var maxSeconds, minValue, minLevel float64
		_, err := fmt.Sscanf(line, "slots=%d jobs=%d tasks=%d factor=%f spread=%f -> seconds<=%f value>=%f level>=%f",
			&l.slots, &l.jobs, &l.tasks, &l.factor, &l.spread, &maxSeconds, &minValue, &minLevel)
		assert.NilError(t, err, line)
		t.Run(strings.ReplaceAll(line, " ", "_"), func(t *testing.T) {
			estimated, learned := l.results(t, false), l.results(t, true)
			t.Logf("by estimates %+v, learned %+v", estimated, learned)
			assert.Check(t, learned.seconds <= maxSeconds*estimated.seconds)
			assert.Check(t, learned.value >= minValue*estimated.value)
			assert.Check(t, learned.level >= estimated.level+minLevel)
		})
	}
}

// results returns the mean results over all seeds.
func (l batchLoad) results(t *testing.T, learn bool) loadResult {
	t.Helper()
	var mean loadResult
	for seed := range uint64(loadSeeds) {
		synctest.Test(t, func(t *testing.T) {
			r := l.run(t, seed, learn)
			mean.seconds += r.seconds / loadSeeds
			mean.value += r.value / loadSeeds
			mean.level += r.level / loadSeeds
		})
	}
	return mean
}

// run submits the jobs and waits until all are done.
func (l batchLoad) run(t *testing.T, seed uint64, learn bool) loadResult {
	t.Helper()
	f := newSlowFleet(t, learn)
	f.times = make(map[string]time.Duration)
	random := rand.New(rand.NewPCG(seed, 1))
	var result loadResult
	var jobs []*trackedJob
	for range l.jobs {
		jobs = append(jobs, l.submit(f, random, len(jobs)))
		f.run(time.Second)
		result.level += f.leader.backlog.level / float64(l.jobs)
	}
	for start := time.Now(); openJobs(jobs) > 0 && time.Since(start) < loadLimit; {
		f.run(time.Second)
	}
	assert.Equal(t, openJobs(jobs), 0)
	for _, tracked := range jobs {
		took, objective := tracked.endedAt.Sub(tracked.acceptedAt).Seconds(), tracked.job.Objective().Seconds()
		result.seconds += took / float64(l.jobs)
		result.value += min(max((lateFactor-took/objective)/(lateFactor-1), 0), 1) / float64(l.jobs)
	}
	return result
}

// submit adds a job with random run times.
func (l batchLoad) submit(f *slowFleet, random *rand.Rand, n int) *trackedJob {
	mean := math.Log(loadMedian) + loadDeviation*random.NormFloat64()
	estimate := math.Exp(mean+l.spread*random.NormFloat64()) / l.factor
	step := job.Step{
		Count: l.tasks, BestEffort: true, Estimate: time.Duration(1000*estimate) * time.Millisecond,
		Size: job.Size{CPU: testReport("").CPU / l.slots / 2, Memory: testReport("").Memory / l.slots},
	}
	id := job.ID(fmt.Sprintf("%016x", 100+n))
	queue := job.Queue{Name: "batch", Service: testService, Attempts: 2, Priority: 2, Stretch: 4, Target: 4 * time.Second}
	tracked := newTracked(job.New(id, job.Spec{Steps: []job.Step{step}}, queue, time.Now()))
	f.leader.jobs[id] = tracked
	for i := range l.tasks {
		took := math.Exp(mean + withinDeviation*random.NormFloat64())
		f.times[job.TaskID{Job: id, Index: i}.String()] = time.Duration(1000*took) * time.Millisecond
	}
	return tracked
}

// openJobs returns the number of jobs that are not done.
func openJobs(jobs []*trackedJob) int {
	open := 0
	for _, tracked := range jobs {
		if tracked.job.State() != job.Completed {
			open++
		}
	}
	return open
}
