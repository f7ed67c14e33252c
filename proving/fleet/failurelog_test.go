package fleet

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// failedSoakLogs is the directory that keeps the logs of failed soaks, relative to this package.
	failedSoakLogs = "../../out/soak-failed"
	// tracedJobs and tracedLines bound what a failed soak prints: the unfinished jobs, and the last log lines of each process about one of them.
	tracedJobs  = 3
	tracedLines = 20
)

// keepLogs keeps the logs of a failed soak and prints what its processes logged about unfinished jobs, since the files of a CI run are not kept.
func keepLogs(t *testing.T, dir string, unfinished []job.ID) {
	t.Helper()
	kept := filepath.Join(failedSoakLogs, t.Name())
	assert.Check(t, os.RemoveAll(kept))
	assert.Check(t, os.CopyFS(kept, os.DirFS(dir)))
	t.Logf("the logs are kept in %s", kept)
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	assert.Check(t, err)
	for _, id := range unfinished[:min(len(unfinished), tracedJobs)] {
		for _, name := range names {
			lines := linesAbout(t, name, id)
			t.Logf("%s about %s:\n%s", filepath.Base(name), id, strings.Join(lines[max(len(lines)-tracedLines, 0):], "\n"))
		}
	}
}

// linesAbout returns the lines of a log that name a job.
func linesAbout(t *testing.T, name string, id job.ID) []string {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Logf("cannot read a log: %v", err)
		return nil
	}
	defer func() { _ = file.Close() }()
	var lines []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if strings.Contains(scanner.Text(), string(id)) {
			lines = append(lines, scanner.Text())
		}
	}
	return lines
}

// TestLogsOfAFailedSoakAreKept guards against a soak that fails once in CI and leaves nothing to trace it by.
func TestLogsOfAFailedSoakAreKept(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "entry-1.log"), []byte("dispatch: task placed; task=aa.0.0.0\ndispatch: other\n"), 0o600))
	t.Run("failed", func(t *testing.T) {
		keepLogs(t, dir, []job.ID{"aa"})
		kept := filepath.Join(failedSoakLogs, t.Name())
		assert.DeepEqual(t, linesAbout(t, filepath.Join(kept, "entry-1.log"), "aa"), []string{"dispatch: task placed; task=aa.0.0.0"})
		assert.NilError(t, os.RemoveAll(filepath.Dir(kept)))
	})
}
