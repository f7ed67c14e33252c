package fleet

import (
	"bufio"
	"cmp"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var binaries string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

// runAll builds the program once for all tests.
func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "github.com/saffronpulley/saffronpulley/cmd/saffronpulleyd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// TestSoak runs the seeds of testdata/seeds.txt for a few seconds each: representative ones, and each that once failed.
func TestSoak(t *testing.T) {
	runSeeds(t, "testdata/seeds.txt", Size{Entries: 3, Agents: 4}, Soak{Duration: 8 * time.Second})
}

// TestSoakOfReturningWorkers runs seeds in which tasks crash workers, which restart under ids used before.
func TestSoakOfReturningWorkers(t *testing.T) {
	runSeeds(t, "testdata/seeds_returning.txt", Size{Entries: 3, Agents: 6}, Soak{Duration: 12 * time.Second, CrashWorkers: true, ReuseIDs: true})
}

// TestSoakWithRates runs seeds in which the store is rate limited in alternating periods.
func TestSoakWithRates(t *testing.T) {
	runSeeds(t, "testdata/seeds_rates.txt", Size{Entries: 3, Agents: 4}, Soak{Duration: 8 * time.Second, LimitRates: true})
}

// TestSoakOfComposedFaults runs seeds with gangs, workers that fail what they start, reloads during stops, and long-running tasks whose worker is lost
// just before all entries are killed.
func TestSoakOfComposedFaults(t *testing.T) {
	runSeeds(t, "testdata/seeds_composed.txt", Size{Entries: 3, Agents: 5}, Soak{Duration: 8 * time.Second, Composed: true})
}

// TestSoakOfRestartedWorkersThatAreCutOff runs seeds in which workers restart under their ids and hold calls open meanwhile, and their VMs are cut off.
func TestSoakOfRestartedWorkersThatAreCutOff(t *testing.T) {
	runSeeds(t, "testdata/seeds_recut.txt", Size{Entries: 3, Agents: 9}, Soak{Duration: 5 * time.Second, JobInterval: 60 * time.Millisecond, Recut: true})
}

// TestSoakOfLateSubmissions runs seeds in which jobs are canceled before the store writes their records.
func TestSoakOfLateSubmissions(t *testing.T) {
	runSeeds(t, "testdata/seeds_late.txt", Size{Entries: 3, Agents: 4}, Soak{Duration: 8 * time.Second, LateSubmissions: true})
}

// runSeeds runs the seeds of a file, which has one per line with the reason for it.
func runSeeds(t *testing.T, name string, size Size, s Soak) {
	t.Helper()
	file, err := os.Open(name)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		number, reason, _ := strings.Cut(lines.Text(), " ")
		if number == "#" || number == "" {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		assert.NilError(t, err)
		t.Run(number, func(t *testing.T) {
			t.Parallel()
			t.Log(reason)
			dir := t.ArtifactDir()
			f, err := New(size, binaries, dir)
			assert.NilError(t, err)
			defer f.Close()
			soak := s
			soak.Seed, soak.JobInterval, soak.Logf = seed, cmp.Or(s.JobInterval, 120*time.Millisecond), t.Logf
			if err := f.RunSoak(soak); err != nil {
				keepLogs(t, dir, f.checker.Unfinished())
				t.Fatal(err)
			}
			t.Log(f.Checker().Counts())
		})
	}
}
