package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

func noEnvironment(string) (string, bool) { return "", false }

// TestProblems parses the files of testdata: the section "file" must be refused with each line of "problems".
func TestProblems(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		_, err := parse("s.yaml", archive.Files[0].Data, nil, noEnvironment)
		assert.Equal(t, fault.KindOf(err), fault.BadInput)
		for line := range strings.Lines(string(archive.Files[1].Data)) {
			assert.ErrorContains(t, err, strings.TrimSpace(line))
		}
	})
}

func TestExamplesAreValid(t *testing.T) {
	for _, role := range []string{RoleEntry, RoleAgent} {
		s, err := Load(filepath.Join("..", "..", "docs", "examples", role+".yaml"), nil, noEnvironment)
		assert.NilError(t, err)
		assert.Equal(t, s.Role(), role)
	}
}

func TestOrderOfSources(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", "agent.yaml"))
	assert.NilError(t, err)
	environment := func(name string) (string, bool) {
		switch name {
		case "SAFFRONPULLEY_AGENT_TASK_LEASE":
			return "40s", true
		case "SAFFRONPULLEY_DRAIN":
			return "7s", true
		default:
			return "", false
		}
	}
	s, err := parse("s.yaml", content, []string{"agent.task_lease=50s"}, environment)
	assert.NilError(t, err)
	assert.Equal(t, s.TaskLease(), 50*time.Second)
	assert.Equal(t, s.Drain(), 7*time.Second)
	assert.Equal(t, s.Heartbeat(), 5*time.Second)
	_, err = parse("s.yaml", content, []string{"agent.lease=50s"}, environment)
	assert.ErrorContains(t, err, "--set agent.lease=50s: give a known setting")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("role: entry\nlisten:\n  callers: 127.0.0.1:1\n"))
	f.Add([]byte("a: [1, 2\n"))
	f.Add([]byte("? a\n: b\n- c\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		_, err := parse("s.yaml", content, nil, noEnvironment)
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.BadInput)
		}
	})
}
