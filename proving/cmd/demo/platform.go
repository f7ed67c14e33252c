package main

import (
	"fmt"
	"os"

	"github.com/saffronpulley/saffronpulley/proving/fleet"
)

// runOnPlatform demonstrates jobs on the users' platform: entries and agents as processes, with stand-ins for the store and
// the workers.
func runOnPlatform(binaries string) error {
	dir, err := os.MkdirTemp("", "demo-platform")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("on the platform: 3 entries, 3 agents with their workers, a store")
	f, err := fleet.New(fleet.Size{Entries: 3, Agents: 3}, binaries, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Demo(func(format string, args ...any) { fmt.Printf(format+"\n", args...) })
}
