package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/saffronpulley/saffronpulley/proving/fleet"
)

// jobInterval is the interval between submitted jobs, recutJobInterval the same for --recut.
const (
	jobInterval      = 120 * time.Millisecond
	recutJobInterval = 60 * time.Millisecond
)

// platformSoak runs seeds on the stand-in for the users' platform, one after another, and keeps the logs of those that fail.
type platformSoak struct {
	first, seeds    uint64
	length          time.Duration
	entries, agents int
	crashes         bool
	reuseIDs        bool
	limitRates      bool
	composed        bool
	lateSubmissions bool
	recut           bool
	maxLease        time.Duration
	logDir          string
	keepAll         bool
}

func (p *platformSoak) run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	failed := 0
	for seed := p.first; seed < p.first+p.seeds; seed++ {
		if err := p.runSeed(seed, filepath.Dir(program)); err != nil {
			failed++
			fmt.Printf("seed %d failed: %v\n", seed, err)
		}
	}
	fmt.Printf("%d seeds from %d on, %d failed\n", p.seeds, p.first, failed)
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; their logs are under %s", failed, p.seeds, p.logDir)
	}
	return nil
}

func (p *platformSoak) runSeed(seed uint64, binaries string) error {
	dir := filepath.Join(p.logDir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	faults, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return err
	}
	defer func() { _ = faults.Close() }()
	f, err := fleet.New(fleet.Size{Entries: p.entries, Agents: p.agents, MaxLease: p.maxLease}, binaries, dir)
	if err != nil {
		return err
	}
	defer f.Close()
	logf := func(format string, args ...any) {
		fmt.Fprintf(faults, "%s "+format+"\n", append([]any{time.Now().UTC().Format(time.RFC3339Nano)}, args...)...)
	}
	interval := jobInterval
	if p.recut {
		interval = recutJobInterval
	}
	err = f.RunSoak(fleet.Soak{
		Seed: seed, Duration: p.length, JobInterval: interval, CrashWorkers: p.crashes && !p.recut, ReuseIDs: p.reuseIDs && !p.recut, LimitRates: p.limitRates,
		Composed: p.composed, Recut: p.recut, LateSubmissions: p.lateSubmissions, Logf: logf,
	})
	crashing, harmless := f.Checker().GivenUp()
	fmt.Printf("seed %d: %s; %d workers crashed by tasks, %d crashing jobs given up, %d others\n",
		seed, f.Checker().Counts(), f.Checker().CrashCount(), crashing, harmless)
	fmt.Printf("seed %d: %s\n", seed, f.Checker().FirstCalls())
	if err == nil && !p.keepAll {
		return os.RemoveAll(dir)
	}
	return err
}
