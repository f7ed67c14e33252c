package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/proving/relay"
)

// The times of a series: how long the workers hang before they crash, how long they are down, when the cut begins and how long it and an outage of the
// store last, within which time processes are killed, and the time to the first and to the next series.
const (
	maxHang           = 600 * time.Millisecond
	minDowntime       = 600 * time.Millisecond
	downtimeRange     = 5400 * time.Millisecond
	minLongDowntime   = 4500 * time.Millisecond
	longDowntimeRange = 4500 * time.Millisecond
	minCutDelay       = 100 * time.Millisecond
	cutDelayRange     = 1900 * time.Millisecond
	minCut            = 3 * time.Second
	cutRange          = 6 * time.Second
	minOutage         = 1500 * time.Millisecond
	outageRange       = 3 * time.Second
	killRange         = 3 * time.Second
	firstSeries       = 1500 * time.Millisecond
	minSeriesGap      = time.Second
	seriesGapRange    = 7 * time.Second
)

// burstJobs jobs are submitted within burstDelayRange after the start of a series, so that workers crash while starts are on their way.
const (
	burstJobs       = 15
	burstDelayRange = 500 * time.Millisecond
)

// recutParts is the number of parts of the workers, of which a series takes one.
const recutParts = 3

// injectRecuts starts series of faults until s.Duration has passed: in each, a third of the workers restart under their ids, and their VMs are cut off a
// moment later, while the leader and agents are killed and the store is down.
func (f *Fleet) injectRecuts(s Soak, caller *Caller, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.Seed, 18))
	var faults sync.WaitGroup
	<-time.After(firstSeries)
	for began := time.Now(); time.Since(began) < s.Duration; {
		draws := rand.New(rand.NewPCG(s.Seed, random.Uint64()))
		burstDelay := drawDuration(draws, 0, burstDelayRange)
		faults.Go(func() {
			<-time.After(burstDelay)
			for range burstJobs {
				caller.submitNext(&faults, stop)
			}
		})
		f.injectRecut(s, draws, &faults)
		<-time.After(drawDuration(random, minSeriesGap, seriesGapRange))
	}
	faults.Wait()
}

// injectRecut starts the faults of one series.
func (f *Fleet) injectRecut(s Soak, random *rand.Rand, faults *sync.WaitGroup) {
	down := drawDowntime(random)
	cutDelay, cut := drawDuration(random, minCutDelay, cutDelayRange), drawDuration(random, minCut, cutRange)
	if random.IntN(2) == 0 {
		cutDelay += down
	}
	part := random.IntN(recutParts)
	s.Logf("part %d: down for %v, cut off after %v for %v", part, down, cutDelay, cut)
	for n := part; n < len(f.workers); n += recutParts {
		hang := max(0, drawDuration(random, -maxHang, 2*maxHang))
		faults.Go(func() { f.worker(n).CrashDark(hang, down) })
		faults.Go(func() {
			<-time.After(hang + cutDelay)
			f.cutOff(n, cut)
		})
		if random.IntN(2) == 0 {
			f.killLater(s, func() *Process { return f.agent(n) }, drawDuration(random, 0, killRange), faults)
		}
	}
	if random.IntN(3) != 0 {
		f.killLater(s, f.leader, drawDuration(random, 0, killRange), faults)
	}
	if random.IntN(2) == 0 {
		outageDelay, outage := drawDuration(random, 0, killRange), drawDuration(random, minOutage, outageRange)
		faults.Go(func() {
			<-time.After(outageDelay)
			s.Logf("the store is down for %v", outage)
			f.store.SetDown(true)
			<-time.After(outage)
			f.store.SetDown(false)
		})
	}
}

// drawDowntime returns how long workers are down: a third of the series each has the minimum, some seconds, and longer than agent leases last.
func drawDowntime(random *rand.Rand) time.Duration {
	switch random.IntN(3) {
	case 0:
		return drawDuration(random, minDowntime, downtimeRange)
	case 1:
		return drawDuration(random, minLongDowntime, longDowntimeRange)
	}
	return minDowntime
}

// killLater kills a process after a delay, at the end of which it is chosen; nil chooses none.
func (f *Fleet) killLater(s Soak, choose func() *Process, delay time.Duration, faults *sync.WaitGroup) {
	faults.Go(func() {
		<-time.After(delay)
		if p := choose(); p != nil {
			s.Logf("%s is killed", p.name)
			p.Signal(syscall.SIGKILL)
		}
	})
}

// leader returns the entry that leads by the record in the store, nil if there is none.
func (f *Fleet) leader() *Process {
	item, err := f.store.data.Get(context.Background(), record.LeaderKey)
	if err != nil || item.Revision() == 0 {
		return nil
	}
	leader, err := record.DecodeLeader(item.Value())
	if err != nil {
		return nil
	}
	for _, e := range f.entries {
		if e.name == leader.Process {
			return e
		}
	}
	return nil
}

// cutOff drops all bytes between an agent and the entries, and the store, for a time. The agent still reaches its worker. Only the last of overlapping
// cuts restores the traffic.
func (f *Fleet) cutOff(n int, d time.Duration) {
	f.setCutOff(n, 1)
	<-time.After(d)
	f.setCutOff(n, -1)
}

// setCutOff begins or ends one of the overlapping cuts of an agent.
func (f *Fleet) setCutOff(n, change int) {
	f.cutsMu.Lock()
	defer f.cutsMu.Unlock()
	agent := f.agent(n)
	f.cuts[agent.name] += change
	isCut := f.cuts[agent.name] > 0
	for _, r := range f.peerRelays {
		r.SetCut(agent.name, isCut)
	}
	if isCut {
		f.storeRelays[agent.name].Drop(relay.ToTarget | relay.FromTarget)
	} else {
		f.storeRelays[agent.name].Drop(0)
	}
}

// prepareRecuts makes the workers return under their ids, and take time to start and stop runs, and the caller submit jobs of long tasks. The runs are
// logged beside the logs of the processes.
func (f *Fleet) prepareRecuts(s Soak, caller *Caller) error {
	caller.long = rand.New(rand.NewPCG(s.Seed, 21))
	file, err := os.Create(filepath.Join(f.dir, "runs.log"))
	if err != nil {
		return err
	}
	f.runLog = file
	logf := func(format string, args ...any) {
		fmt.Fprintf(file, "%s "+format+"\n", append([]any{time.Now().UTC().Format(time.RFC3339Nano)}, args...)...)
	}
	for _, r := range f.peerRelays {
		r.SetIdentify(f.agentOf)
	}
	for n, w := range f.workers {
		seed := s.Seed + uint64(n)<<32
		w.SetIdentities(sameIDAnyClock(seed))
		w.setDelays(rand.New(rand.NewPCG(seed, 20)), logf)
	}
	return nil
}
