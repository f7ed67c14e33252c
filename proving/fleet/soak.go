package fleet

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Soak says what a soak plays.
type Soak struct {
	Seed uint64
	// Duration is how long faults come, JobEvery how often a job is handed in.
	Duration    time.Duration
	JobInterval time.Duration
	// Crashes lets some of the jobs crash their workers, every other time with the agent.
	Crashes bool
	// ReuseIDs lets workers start again under ids that they had.
	ReuseIDs bool
	// LimitRates lets the store refuse calls for their rate now and then.
	LimitRates bool
	// Logf tells of each fault as it begins.
	Logf func(format string, args ...any)
}

// completionTimeout is how long after the last fault all accepted jobs have to be completed.
const completionTimeout = 45 * time.Second

// additionalOneIn is how many faults there are to one of laterDisturbances.
const additionalOneIn = 2

// How long a fault lasts and how long after its begin the next one begins, in milliseconds: the least, and below how much more.
const (
	minFaultMillis   = 300
	faultRangeMillis = 6000
	minGapMillis     = 200
	gapRangeMillis   = 2500
)

// RunSoak plays faults in series, which overlap, and returns what was broken.
func (f *Fleet) RunSoak(s Soak) error {
	caller, stop := NewCaller(f, s.Seed), make(chan struct{})
	caller.CrashWorkers = s.Crashes
	if s.Crashes {
		f.crashAgentsWithWorkers()
	}
	if s.ReuseIDs {
		for n, w := range f.workers {
			w.SetIdentities(randomIdentities(s.Seed + uint64(n)<<32))
		}
	}
	var calls sync.WaitGroup
	calls.Go(func() { caller.Run(s.JobInterval, stop) })
	calls.Go(func() { f.closeHalls(s, stop) })
	if s.LimitRates {
		calls.Go(func() { f.alternateRateLimit(s, stop) })
	}
	f.injectFaults(s)
	close(stop)
	calls.Wait()
	if err := f.awaitFinished(caller, completionTimeout); err != nil {
		return fmt.Errorf("%w\n%s", err, f.checker)
	}
	if err := f.checker.verify(); err != nil {
		return err
	}
	return f.checker.checkFirstCalls()
}

// limitedRate is a rate of the store that a fleet of a few processes exceeds by its callers and its leader.
const limitedRate = 40

// alternateRateLimit bounds the rate of the store by turns, until stop is closed.
func (f *Fleet) alternateRateLimit(s Soak, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.Seed, 14))
	defer f.store.SetRate(0)
	for rate := 0; ; rate = limitedRate - rate {
		f.store.SetRate(rate)
		s.Logf("the store takes %d calls a second, 0 for any number", rate)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(minFaultMillis+random.IntN(faultRangeMillis)) * time.Millisecond):
		}
	}
}

// injectFaults begins a fault every so often; each ends by itself some time later.
func (f *Fleet) injectFaults(s Soak) {
	first, second := rand.New(rand.NewPCG(s.Seed, 11)), rand.New(rand.NewPCG(s.Seed, 12))
	third := rand.New(rand.NewPCG(s.Seed, 13))
	var faults sync.WaitGroup
	for began := time.Now(); time.Since(began) < s.Duration; {
		next := disturbances[first.IntN(len(disturbances))]
		duration := time.Duration(minFaultMillis+first.IntN(faultRangeMillis)) * time.Millisecond
		target := first.IntN(1 << 16)
		s.Logf("%v %s for %v on %d", time.Since(began).Round(time.Millisecond), next.name, duration, target)
		faults.Go(func() { next.inject(f, target, duration) })
		if second.IntN(additionalOneIn) == 0 {
			next := secondDisturbances[second.IntN(len(secondDisturbances))]
			s.Logf("%v %s besides", time.Since(began).Round(time.Millisecond), next.name)
			faults.Go(func() { next.inject(f, target, duration) })
		}
		if third.IntN(additionalOneIn) == 0 {
			next := thirdDisturbances[third.IntN(len(thirdDisturbances))]
			s.Logf("%v %s as well", time.Since(began).Round(time.Millisecond), next.name)
			faults.Go(func() { next.inject(f, target, duration) })
		}
		<-time.After(time.Duration(minGapMillis+first.IntN(gapRangeMillis)) * time.Millisecond)
	}
	faults.Wait()
}
