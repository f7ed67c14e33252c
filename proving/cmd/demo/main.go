package main

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"runtime"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/saffronpulley/saffronpulley/proving/stage"
)

//go:embed demo.txtar
var script []byte

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "demo: %v\n", err)
		os.Exit(1)
	}
}

// run runs the script with the programs in the directory of this one.
func run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := os.WriteFile(filepath.Join(dir, "demo.txtar"), script, 0o600); err != nil {
		return err
	}
	p := &scriptRunner{ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		testscript.RunT(p, stage.Params(dir, filepath.Dir(program)))
	}()
	<-p.ended
	if p.failed {
		return fmt.Errorf("a step failed")
	}
	if err := runOnPlatform(filepath.Dir(program)); err != nil {
		return err
	}
	fmt.Println("demo: all steps succeeded")
	return nil
}

// scriptRunner runs a script outside a test.
type scriptRunner struct {
	ended  chan struct{}
	failed bool
}

// Skip implements testscript.T.
func (p *scriptRunner) Skip(args ...any) {
	p.failed = true
	fmt.Println(args...)
	runtime.Goexit()
}

// Fatal implements testscript.T.
func (p *scriptRunner) Fatal(args ...any) {
	p.Log(args...)
	p.FailNow()
}

// Parallel implements testscript.T.
func (p *scriptRunner) Parallel() {}

// Log implements testscript.T.
func (p *scriptRunner) Log(args ...any) { fmt.Println(args...) }

// FailNow implements testscript.T.
func (p *scriptRunner) FailNow() {
	p.failed = true
	runtime.Goexit()
}

// Run implements testscript.T.
func (p *scriptRunner) Run(_ string, script func(testscript.T)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		script(p)
	}()
	<-done
}

// Verbose implements testscript.T.
func (p *scriptRunner) Verbose() bool { return true }
