package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/proving/relay"
)

// Size is the number of processes of a fleet, and what its workers allow.
type Size struct {
	Entries int
	Agents  int
	// MaxLease is the longest lease that workers accept, and that the settings name; 0 for maxLease, which the settings do not name.
	MaxLease time.Duration
}

// workerCapacity is the capacity of each worker. Few tasks fit at once, so that jobs have to wait for each other.
var workerCapacity = job.Size{CPU: 8000, Memory: 16000}

// Fleet runs entries and agents as processes, with workers and a store as stand-ins in this process.
type Fleet struct {
	store   *Store
	checker *Checker
	workers []*Worker
	entries []*Process
	agents  []*Process

	// storeRelays relay the connections of each process, by its name, to the store; peerRelays those to the entries, in
	// their order.
	storeRelays map[string]*relay.Relay
	peerRelays  []*relay.Relay
	// workerRelays relay the connections to the workers, in their order.
	workerRelays []*relay.Relay

	// cuts counts the overlapping cuts of each agent, by its name.
	cutsMu sync.Mutex
	cuts   map[string]int

	// dir is where the logs are, runLog that of the runs, nil for none.
	dir    string
	runLog *os.File

	stop      chan struct{}
	servers   []*fasthttp.Server
	listeners []net.Listener
	serving   sync.WaitGroup
}

// New starts a fleet with the programs in binaries and writes its logs and settings to dir.
func New(size Size, binaries, dir string) (*Fleet, error) {
	var err error
	// Another process may take a free port before the fleet listens on it.
	for range startAttempts {
		f := &Fleet{store: NewStore(), checker: NewChecker(), storeRelays: make(map[string]*relay.Relay), cuts: make(map[string]int), dir: dir, stop: make(chan struct{})}
		if err = f.start(size, binaries, dir); err == nil {
			return f, nil
		}
		f.Close()
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, err
}

// startAttempts is how often the start of a fleet is attempted.
const startAttempts = 3

// start starts the store, the entries and the agents, in this order.
func (f *Fleet) start(size Size, binaries, dir string) error {
	// Each fleet has its own block of loopback addresses, so that fleets of this and other processes can run at the same
	// time.
	a := addresses{block: fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, fleets.Add(1)%250)}
	ports, err := freePorts(6)
	if err != nil {
		return err
	}
	a.callers, a.ready, a.reports, a.peers, a.metric, a.listen = ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]
	if a.store, err = f.serve("127.0.0.1:0", f.store.Handle); err != nil {
		return err
	}
	if err := f.configure(1, 0); err != nil {
		return err
	}
	for i := range size.Entries {
		a.neighbors += hostPort(a.entry(i), a.reports) + ","
	}
	for i := range size.Entries {
		if err := f.addEntry(i, a, binaries, dir); err != nil {
			return err
		}
	}
	for i := range size.Agents {
		if err := f.addAgent(i, a, size.MaxLease, binaries, dir); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// addEntry starts an entry with its relays.
func (f *Fleet) addEntry(i int, a addresses, binaries, dir string) error {
	entry := newProcess(fmt.Sprintf("entry-%d", i+1), hostPort(a.entry(i), a.callers), binaries, dir)
	f.entries = append(f.entries, entry)
	peers, err := relay.New(hostPort(a.entry(i), a.peers), hostPort(a.entry(i), a.listen))
	if err != nil {
		return err
	}
	f.peerRelays = append(f.peerRelays, peers)
	if a.store, err = f.addStoreRelay(entry.name, a.store); err != nil {
		return err
	}
	return entry.start(settings(a, entry.name, "entry", a.entry(i), hallOf(i), ""))
}

// addStoreRelay starts a process's own relay to the store and returns the relay's address.
func (f *Fleet) addStoreRelay(name, store string) (string, error) {
	r, err := relay.New("127.0.0.1:0", store)
	if err != nil {
		return "", err
	}
	f.storeRelays[name] = r
	return r.Address(), nil
}

// addAgent starts a worker and its agent.
func (f *Fleet) addAgent(i int, a addresses, longest time.Duration, binaries, dir string) error {
	name := fmt.Sprintf("side-%d", i+1)
	w := NewWorker(name, hallOf(i), hostPort(a.agent(i), a.reports), workerCapacity, f.checker)
	address, err := f.serve(a.agent(i)+":0", w.Handle)
	if err != nil {
		return err
	}
	if longest > 0 {
		w.setMaxLease(longest)
	}
	f.workers = append(f.workers, w)
	workerRelay, err := relay.New(a.agent(i)+":0", address)
	if err != nil {
		return err
	}
	f.workerRelays = append(f.workerRelays, workerRelay)
	w.relay = workerRelay
	f.serving.Go(func() { w.Run(f.stop) })
	agent := newProcess(name, "", binaries, dir)
	f.agents = append(f.agents, agent)
	if a.store, err = f.addStoreRelay(name, a.store); err != nil {
		return err
	}
	text := settings(a, name, "agent", a.agent(i), hallOf(i), workerRelay.Address())
	if longest > 0 {
		text += fmt.Sprintf("longest_hold_ms: %d\n", longest.Milliseconds())
	}
	return agent.start(text)
}

// serve starts a stand-in on an address and returns the address it listens on.
func (f *Fleet) serve(address string, handle fasthttp.RequestHandler) (string, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	f.servers, f.listeners = append(f.servers, server), append(f.listeners, listener)
	f.serving.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// relays returns all relays of the fleet.
func (f *Fleet) relays() []*relay.Relay {
	all := append(slices.Clone(f.peerRelays), f.workerRelays...)
	for _, r := range f.storeRelays {
		all = append(all, r)
	}
	return all
}

// Checker returns the checker that records the calls and runs of the fleet.
func (f *Fleet) Checker() *Checker { return f.checker }

// Close ends all processes and servers of the fleet.
func (f *Fleet) Close() {
	for _, p := range append(append([]*Process(nil), f.entries...), f.agents...) {
		p.close()
	}
	close(f.stop)
	for _, r := range f.relays() {
		_ = r.Close()
		r.Reset()
	}
	// A server that is not serving yet ignores Shutdown and ends only when its listener is closed.
	for _, l := range f.listeners {
		_ = l.Close()
	}
	for _, s := range f.servers {
		_ = s.Shutdown()
	}
	f.serving.Wait()
	if f.runLog != nil {
		_ = f.runLog.Close()
	}
}
