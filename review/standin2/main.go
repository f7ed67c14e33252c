// Command standin2 plays one case of the review: stand-ins of the platform, the workers and the clients beside the real processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxLines = 5
)

// scenario plays a case with or without its disruption, and reports whether the rule was broken.
type scenario struct {
	shape func(*state) config
	play  func(s *system, trouble bool, st *state) (int, error)
}

// state is what a scenario and the behavior of its workers share.
type state struct {
	mu     sync.Mutex
	values map[string]int
}

func (s *state) get(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[name]
}

func (s *state) set(name string, value int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = value
}

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) int {
	chosen, found := scenarios[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	st := &state{values: map[string]int{}}
	s, err := newSystem(root, chosen.shape(st))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	defer func() {
		s.stop(os.Getenv("KEEP") != "")
		s.record.write(filepath.Join(folder, "record.txt"))
	}()
	outcome := make(chan int, 1)
	go func() {
		code, err := chosen.play(s, trouble, st)
		if err != nil {
			s.record.note("the case could not run: %v", err)
			code = notRun
		}
		outcome <- code
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
		s.record.note("the case was stopped")
		return notRun
	case code := <-outcome:
		s.record.note("result: %d", code)
		return code
	case <-time.After(115 * time.Second):
		s.record.note("the case took too long")
		return notRun
	}
}

// same returns a function that gives each worker the same value.
func same[T any](value T) func(int) T { return func(int) T { return value } }

// racks gives each worker a kind and a rack of three.
func racks(kind func(n int) string) func(int) []string {
	return func(n int) []string { return []string{kind(n), fmt.Sprintf("r1-%d", n/3+1)} }
}
