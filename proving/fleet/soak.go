package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Soak is the configuration of a soak.
type Soak struct {
	Seed uint64
	// Duration is how long faults are injected, JobInterval the interval between submitted jobs.
	Duration    time.Duration
	JobInterval time.Duration
	// CrashWorkers makes some of the jobs crash their workers, every second time with the agent.
	CrashWorkers bool
	// ReuseIDs makes workers restart under ids used before.
	ReuseIDs bool
	// Composed adds composedDisturbances and gangs, and ends the soak with the loss of a worker that runs long-running tasks.
	Composed bool
	// Recut replaces the faults by series in which workers restart under their ids and their VMs are cut off, with jobs of long tasks.
	Recut bool
	// LimitRates makes the store rate limited in alternating periods.
	LimitRates bool
	// LateSubmissions adds jobs that are canceled before the store writes their records.
	LateSubmissions bool
	// Logf logs each fault when it starts.
	Logf func(format string, args ...any)
}

// completionTimeout is the time after the last fault within which all accepted jobs have to complete.
const completionTimeout = 45 * time.Second

// additionalOneIn is the number of faults per additional fault of secondDisturbances, and of thirdDisturbances, on average.
const additionalOneIn = 2

// The duration of a fault and the time from its start to the next one, in milliseconds: the minimum and the width of the
// random range above it.
const (
	minFaultMillis   = 300
	faultRangeMillis = 6000
	minGapMillis     = 200
	gapRangeMillis   = 2500
)

// RunSoak injects overlapping faults and returns an error that lists the violations.
func (f *Fleet) RunSoak(s Soak) error {
	caller, stop := NewCaller(f, s.Seed), make(chan struct{})
	if err := f.prepare(s, caller); err != nil {
		return err
	}
	var lasting job.ID
	if s.Composed || s.Recut {
		var err error
		if lasting, err = f.submitLasting(caller); err != nil {
			return err
		}
	}
	var calls sync.WaitGroup
	calls.Go(func() { caller.Run(s.JobInterval, stop) })
	if s.LimitRates {
		calls.Go(func() { f.alternateRateLimit(s, stop) })
	}
	if s.LateSubmissions {
		calls.Go(func() { f.cancelLateSubmissions(s, stop) })
	}
	if s.Recut {
		f.injectRecuts(s, caller, stop)
	} else {
		calls.Go(func() { f.closeHalls(s, stop) })
		f.injectFaults(s)
	}
	close(stop)
	calls.Wait()
	if s.Composed {
		if err := f.loseWorker(s, lasting); err != nil {
			return fmt.Errorf("%w\n%s", err, f.checker)
		}
	}
	if s.Composed || s.Recut {
		if err := f.await(completionTimeout, func() bool { return caller.cancel(lasting) }); err != nil {
			return err
		}
	}
	return f.finish(s, caller)
}

// prepare sets up the workers and the caller as the soak requires.
func (f *Fleet) prepare(s Soak, caller *Caller) error {
	caller.CrashWorkers = s.CrashWorkers
	if s.CrashWorkers {
		f.crashAgentsWithWorkers()
	}
	if s.ReuseIDs {
		for n, w := range f.workers {
			w.SetIdentities(randomIdentities(s.Seed + uint64(n)<<32))
		}
	}
	if s.Composed {
		caller.gangs = rand.New(rand.NewPCG(s.Seed, 15))
	}
	if s.Recut {
		return f.prepareRecuts(s, caller)
	}
	return nil
}

// finish waits until all accepted jobs are finished and returns an error that lists the violations.
func (f *Fleet) finish(s Soak, caller *Caller) error {
	if err := f.awaitFinished(caller, completionTimeout); err != nil {
		return fmt.Errorf("%w\n%s", err, f.checker)
	}
	if err := errors.Join(f.checker.verify(), f.checkHangups()); err != nil {
		return err
	}
	if s.Composed {
		// Lost workers stay silent after their crash, so their first call says nothing about the agents.
		return nil
	}
	return f.checker.checkFirstCalls()
}

// checkHangups returns an error if SIGHUP has ended a process.
func (f *Fleet) checkHangups() error {
	for _, p := range slices.Concat(f.entries, f.agents) {
		p.mu.Lock()
		hangups := p.hangups
		p.mu.Unlock()
		if hangups > 0 {
			return fmt.Errorf("%s was ended %d times by SIGHUP", p.name, hangups)
		}
	}
	return nil
}

// limitedRate is a rate limit of the store that the callers and the leader of a fleet of a few processes exceed.
const limitedRate = 40

// alternateRateLimit turns the store's rate limit on and off until stop is closed.
func (f *Fleet) alternateRateLimit(s Soak, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.Seed, 14))
	defer f.store.SetRate(0)
	for rate := 0; ; rate = limitedRate - rate {
		f.store.SetRate(rate)
		s.Logf("the store answers %d calls a second, 0 for no limit", rate)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(minFaultMillis+random.IntN(faultRangeMillis)) * time.Millisecond):
		}
	}
}

// injectFaults starts a fault in each random interval; each ends by itself.
func (f *Fleet) injectFaults(s Soak) {
	first, second := rand.New(rand.NewPCG(s.Seed, 11)), rand.New(rand.NewPCG(s.Seed, 12))
	third, composed := rand.New(rand.NewPCG(s.Seed, 13)), rand.New(rand.NewPCG(s.Seed, 17))
	var faults sync.WaitGroup
	for began := time.Now(); time.Since(began) < s.Duration; {
		next := disturbances[first.IntN(len(disturbances))]
		duration := time.Duration(minFaultMillis+first.IntN(faultRangeMillis)) * time.Millisecond
		target := first.IntN(1 << 16)
		s.Logf("%v %s for %v on %d", time.Since(began).Round(time.Millisecond), next.name, duration, target)
		faults.Go(func() { next.inject(f, target, duration) })
		if second.IntN(additionalOneIn) == 0 {
			next := secondDisturbances[second.IntN(len(secondDisturbances))]
			s.Logf("%v %s in addition", time.Since(began).Round(time.Millisecond), next.name)
			faults.Go(func() { next.inject(f, target, duration) })
		}
		if third.IntN(additionalOneIn) == 0 {
			next := thirdDisturbances[third.IntN(len(thirdDisturbances))]
			s.Logf("%v %s in addition", time.Since(began).Round(time.Millisecond), next.name)
			faults.Go(func() { next.inject(f, target, duration) })
		}
		if s.Composed && composed.IntN(additionalOneIn) == 0 {
			next := composedDisturbances[composed.IntN(len(composedDisturbances))]
			s.Logf("%v %s in addition", time.Since(began).Round(time.Millisecond), next.name)
			faults.Go(func() { next.inject(f, target, duration) })
		}
		<-time.After(time.Duration(minGapMillis+first.IntN(gapRangeMillis)) * time.Millisecond)
	}
	faults.Wait()
}
