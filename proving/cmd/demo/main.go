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

// run plays the script with the programs that stand beside this one.
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
	p := &player{ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		testscript.RunT(p, stage.Params(dir, filepath.Dir(program)))
	}()
	<-p.ended
	if p.failed {
		return fmt.Errorf("a step failed")
	}
	if err := onPlatform(filepath.Dir(program)); err != nil {
		return err
	}
	fmt.Println("demo: all steps went well")
	return nil
}

// player plays a script outside a test.
type player struct {
	ended  chan struct{}
	failed bool
}

// Skip implements testscript.T.
func (p *player) Skip(args ...any) {
	p.failed = true
	fmt.Println(args...)
	runtime.Goexit()
}

// Fatal implements testscript.T.
func (p *player) Fatal(args ...any) {
	p.Log(args...)
	p.FailNow()
}

// Parallel implements testscript.T.
func (p *player) Parallel() {}

// Log implements testscript.T.
func (p *player) Log(args ...any) { fmt.Println(args...) }

// FailNow implements testscript.T.
func (p *player) FailNow() {
	p.failed = true
	runtime.Goexit()
}

// Run implements testscript.T.
func (p *player) Run(_ string, play func(testscript.T)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		play(p)
	}()
	<-done
}

// Verbose implements testscript.T.
func (p *player) Verbose() bool { return true }
