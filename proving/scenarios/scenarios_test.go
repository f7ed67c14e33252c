package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/saffronpulley/saffronpulley/proving/stage"
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs once for all scripts.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenarios")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"github.com/saffronpulley/saffronpulley/cmd/...", "github.com/saffronpulley/saffronpulley/proving/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, stage.Params("testdata", binaries))
}
