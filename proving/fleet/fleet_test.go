package fleet

import (
	"bufio"
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

// TestSoak plays the seeds of testdata/seeds.txt for a few seconds each: some that stand for all, and each that ever failed.
func TestSoak(t *testing.T) {
	file, err := os.Open("testdata/seeds.txt")
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		number, why, _ := strings.Cut(lines.Text(), " ")
		if number == "#" || number == "" {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		assert.NilError(t, err)
		t.Run(number, func(t *testing.T) {
			t.Parallel()
			t.Log(why)
			f, err := New(Size{Entries: 3, Agents: 4}, binaries, t.TempDir())
			assert.NilError(t, err)
			defer f.Close()
			assert.NilError(t, f.Play(Soak{Seed: seed, Length: 8 * time.Second, JobEvery: 120 * time.Millisecond, Say: t.Logf}))
			t.Log(f.Books().Counts())
		})
	}
}
