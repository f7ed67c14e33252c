package fleet

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/proving/relay"
)

const (
	// slowStoreDelay is the delay of each answer of a slow store.
	slowStoreDelay = 250 * time.Millisecond
	// farAwayDelay is the delay in each direction of the connections to a distant entry.
	farAwayDelay = 150 * time.Millisecond
)

// disturbance is a kind of fault; target selects the process or worker.
type disturbance struct {
	name   string
	inject func(f *Fleet, target int, lasts time.Duration)
}

// disturbances are the faults that a soak draws from. Their order is fixed: a seed reproduces the same faults only while it
// stays.
var disturbances = []disturbance{
	{"entry killed", func(f *Fleet, n int, _ time.Duration) { f.entry(n).Signal(syscall.SIGKILL) }},
	{"agent killed", func(f *Fleet, n int, _ time.Duration) { f.agent(n).Signal(syscall.SIGKILL) }},
	{"entry stopped", func(f *Fleet, n int, _ time.Duration) { f.entry(n).Signal(syscall.SIGTERM) }},
	{"agent stopped", func(f *Fleet, n int, _ time.Duration) { f.agent(n).Signal(syscall.SIGTERM) }},
	{"entry frozen", func(f *Fleet, n int, d time.Duration) { freeze(f.entry(n), d) }},
	{"agent frozen", func(f *Fleet, n int, d time.Duration) { freeze(f.agent(n), d) }},
	{"all killed", func(f *Fleet, _ int, _ time.Duration) { f.killAll() }},
	{"settings read again", func(f *Fleet, n int, _ time.Duration) { f.entry(n).Reload() }},
	{"worker crashed", func(f *Fleet, n int, _ time.Duration) { f.worker(n).Crash() }},
	{"worker silent", func(f *Fleet, n int, d time.Duration) {
		f.worker(n).SetSilent(true)
		<-time.After(d)
		f.worker(n).SetSilent(false)
	}},
	{"orders late", func(f *Fleet, n int, d time.Duration) {
		f.worker(n).SetOrderDelay(d / 2)
		<-time.After(d)
		f.worker(n).SetOrderDelay(0)
	}},
	{"store down", func(f *Fleet, _ int, d time.Duration) {
		f.store.SetDown(true)
		<-time.After(d)
		f.store.SetDown(false)
	}},
	{"store slow", func(f *Fleet, _ int, d time.Duration) {
		f.store.SetDelay(slowStoreDelay)
		<-time.After(d)
		f.store.SetDelay(0)
	}},
	{"answers of commits lost", func(f *Fleet, n int, d time.Duration) { f.failCommits(n, d, kvtest.AnswerLost) }},
	{"commits late", func(f *Fleet, n int, d time.Duration) { f.failCommits(n, d, kvtest.Late) }},
	{"commits not done", func(f *Fleet, n int, d time.Duration) { f.failCommits(n, d, kvtest.RequestLost) }},
	{"entry cut from the store", func(f *Fleet, n int, d time.Duration) {
		dropBytes(f.storeRelays[f.entry(n).name], relay.ToTarget|relay.FromTarget, d)
	}},
	{"answers of the store do not reach an entry", func(f *Fleet, n int, d time.Duration) { dropBytes(f.storeRelays[f.entry(n).name], relay.FromTarget, d) }},
	{"agent cut from the store", func(f *Fleet, n int, d time.Duration) {
		dropBytes(f.storeRelays[f.agent(n).name], relay.ToTarget|relay.FromTarget, d)
	}},
	{"nothing reaches an entry", func(f *Fleet, n int, d time.Duration) { dropBytes(f.peer(n), relay.ToTarget, d) }},
	{"nothing arrives from an entry", func(f *Fleet, n int, d time.Duration) { dropBytes(f.peer(n), relay.FromTarget, d) }},
	{"entry cut off", func(f *Fleet, n int, d time.Duration) {
		var both sync.WaitGroup
		both.Go(func() { dropBytes(f.peer(n), relay.ToTarget|relay.FromTarget, d) })
		dropBytes(f.storeRelays[f.entry(n).name], relay.ToTarget|relay.FromTarget, d)
		both.Wait()
	}},
	{"entry far away", func(f *Fleet, n int, d time.Duration) {
		f.peer(n).SetDelay(farAwayDelay)
		<-time.After(d)
		f.peer(n).SetDelay(0)
	}},
	{"connections reset", func(f *Fleet, n int, _ time.Duration) { f.peer(n).Reset(); f.storeRelays[f.agent(n).name].Reset() }},
	{"history dropped", func(f *Fleet, _ int, _ time.Duration) { f.store.DropHistory() }},
}

func (f *Fleet) entry(n int) *Process { return f.entries[n%len(f.entries)] }

func (f *Fleet) agent(n int) *Process { return f.agents[n%len(f.agents)] }

func (f *Fleet) worker(n int) *Worker { return f.workers[n%len(f.workers)] }

func (f *Fleet) peer(n int) *relay.Relay { return f.peerRelays[n%len(f.peerRelays)] }

// dropBytes drops the bytes of some directions for a time.
func dropBytes(r *relay.Relay, directions relay.Direction, d time.Duration) {
	r.Drop(directions)
	<-time.After(d)
	r.Drop(0)
}

// freeze suspends a process for a time.
func freeze(p *Process, d time.Duration) {
	p.Signal(syscall.SIGSTOP)
	<-time.After(d)
	p.Signal(syscall.SIGCONT)
}

// killAll kills all entries and agents at once.
func (f *Fleet) killAll() {
	for _, p := range f.entries {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.agents {
		p.Signal(syscall.SIGKILL)
	}
}

// failCommits makes a third of the commits fail for a time.
func (f *Fleet) failCommits(n int, d time.Duration, failure kvtest.Failure) {
	random := rand.New(rand.NewPCG(uint64(n), 3))
	f.store.SetFailure(func() kvtest.Failure {
		if random.IntN(3) == 0 {
			return failure
		}
		return kvtest.None
	})
	<-time.After(d)
	f.store.SetFailure(nil)
}
