package main

import (
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/goccy/go-yaml"
)

//go:embed mutants.yaml
var mutantList []byte

// mutant is a change that disables a guard, and the test that must fail for it.
type mutant struct {
	Name string `yaml:"name"`
	File string `yaml:"file"`
	From string `yaml:"from"`
	To   string `yaml:"to"`
	Test string `yaml:"test"`
}

func main() {
	app := kingpin.New("mutants", "Disables guards one by one; a test must fail for each.")
	only := app.Flag("only", "Only mutants whose name contains this.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*only); err != nil {
		fmt.Fprintf(os.Stderr, "mutants: %v\n", err)
		os.Exit(1)
	}
}

func run(only string) error {
	var mutants []mutant
	if err := yaml.UnmarshalWithOptions(mutantList, &mutants, yaml.Strict()); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if out, err := exec.Command("sh", "-c", "git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "+dir).CombinedOutput(); err != nil {
		return fmt.Errorf("cannot copy the repository: %w: %s", err, out)
	}
	survivors := 0
	for _, m := range mutants {
		if !strings.Contains(m.Name, only) {
			continue
		}
		killed, err := runMutant(dir, m)
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		result := "red, as it must be"
		if !killed {
			result = "STILL GREEN"
			survivors++
		}
		fmt.Printf("%-50s %s\n", m.Name, result)
	}
	if survivors > 0 {
		return fmt.Errorf("%d guards can be disabled without a failing test", survivors)
	}
	return nil
}

// runMutant changes the file, runs the test and restores the file. It reports whether the test failed.
func runMutant(dir string, m mutant) (bool, error) {
	file := filepath.Join(dir, m.File)
	original, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	if strings.Count(string(original), m.From) != 1 {
		return false, fmt.Errorf("the guard does not occur exactly once")
	}
	mutated := strings.Replace(string(original), m.From, m.To, 1)
	if err := os.WriteFile(file, []byte(mutated), 0o600); err != nil {
		return false, err
	}
	defer func() { _ = os.WriteFile(file, original, 0o600) }()
	build := exec.Command("go", "build", "./...")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("the mutant does not build: %s", out)
	}
	test := exec.Command("sh", "-c", m.Test)
	test.Dir = dir
	return test.Run() != nil, nil
}
