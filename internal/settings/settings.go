package settings

import (
	"net/netip"
	"time"
)

// Roles of a daemon.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Settings are the settings of a daemon.
type Settings struct {
	role   string
	id     string
	hall   string
	rack   int
	secret string
	store  string
	vms    string
	worker string
	listen listen
	// advertise holds the addresses that differ from those listened on.
	advertise listen
	source    netip.Addr
	log       logSettings
	agent     agentSettings
	lead      leadSettings
	entry     entrySettings
	drain     time.Duration
	maxBody   int
}

type listen struct {
	callers  string
	peers    string
	requests string
	control  string
	admin    string
}

type logSettings struct {
	level  string
	format string
}

type agentSettings struct {
	heartbeat time.Duration
	reconcile time.Duration
	taskLease time.Duration
	measure   time.Duration
}

type leadSettings struct {
	lease      time.Duration
	window     time.Duration
	list       time.Duration
	commitRate int
}

type entrySettings struct {
	list      time.Duration
	subscribe time.Duration
	keys      time.Duration
	deadline  time.Duration
	announce  time.Duration
}

// Role returns entry or agent.
func (s *Settings) Role() string { return s.role }

// ID returns the name of the process, which no other of the region has.
func (s *Settings) ID() string { return s.id }

// Hall returns the hall of the VM.
func (s *Settings) Hall() string { return s.hall }

// Rack returns the rack of the VM, from 1.
func (s *Settings) Rack() int { return s.rack }

// Secret returns the secret that all processes of the system share.
func (s *Settings) Secret() string { return s.secret }

// Store returns the address of the platform's key-value service.
func (s *Settings) Store() string { return s.store }

// VMs returns the address of the platform's list of VMs.
func (s *Settings) VMs() string { return s.vms }

// Worker returns the address of the worker beside the agent.
func (s *Settings) Worker() string { return s.worker }

// Callers returns where an entry listens for callers.
func (s *Settings) Callers() string { return s.listen.callers }

// Peers returns where an entry listens for other entries.
func (s *Settings) Peers() string { return s.listen.peers }

// Requests returns where an agent listens for entries.
func (s *Settings) Requests() string { return s.listen.requests }

// Control returns where an agent listens as the lead of its cell.
func (s *Settings) Control() string { return s.listen.control }

// Admin returns where the process listens for operators.
func (s *Settings) Admin() string { return s.listen.admin }

// AdvertisePeers returns where other entries reach the entry, which listens at an address.
func (s *Settings) AdvertisePeers(listening string) string { return or(s.advertise.peers, listening) }

// AdvertiseRequests returns where entries reach the agent, which listens at an address.
func (s *Settings) AdvertiseRequests(listening string) string {
	return or(s.advertise.requests, listening)
}

// AdvertiseControl returns where the cell reaches the agent, which listens at an address.
func (s *Settings) AdvertiseControl(listening string) string {
	return or(s.advertise.control, listening)
}

func or(given, otherwise string) string {
	if given == "" {
		return otherwise
	}
	return given
}

// Source returns the IP number from which connections are made; it is not valid where any will do.
func (s *Settings) Source() netip.Addr { return s.source }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.log.level }

// LogFormat returns json or console.
func (s *Settings) LogFormat() string { return s.log.format }

// Heartbeat returns how often an agent beats.
func (s *Settings) Heartbeat() time.Duration { return s.agent.heartbeat }

// Reconcile returns how often an agent compares its worker with what is wanted.
func (s *Settings) Reconcile() time.Duration { return s.agent.reconcile }

// TaskLease returns how long a task runs on without its agent.
func (s *Settings) TaskLease() time.Duration { return s.agent.taskLease }

// Measure returns how often an agent looks at latency and usage.
func (s *Settings) Measure() time.Duration { return s.agent.measure }

// Lease returns how long the lease of a cell lasts.
func (s *Settings) Lease() time.Duration { return s.lead.lease }

// CommitWindow returns how long a lead gathers changes for one commit.
func (s *Settings) CommitWindow() time.Duration { return s.lead.window }

// LeaderList returns how often a lead reads the list of VMs.
func (s *Settings) LeaderList() time.Duration { return s.lead.list }

// CommitRate returns how many bytes a second a lead's commits write on average.
func (s *Settings) CommitRate() int { return s.lead.commitRate }

// EntryList returns how often an entry reads the list of VMs.
func (s *Settings) EntryList() time.Duration { return s.entry.list }

// Subscribe returns how often an entry asks each lead whether it still is one.
func (s *Settings) Subscribe() time.Duration { return s.entry.subscribe }

// Keys returns how often an entry looks at the owners of keys.
func (s *Settings) Keys() time.Duration { return s.entry.keys }

// DefaultDeadline returns the deadline of requests that name none.
func (s *Settings) DefaultDeadline() time.Duration { return s.entry.deadline }

// Announce returns how long a stopping entry still takes requests after it says that it is not ready.
func (s *Settings) Announce() time.Duration { return s.entry.announce }

// Drain returns how long requests in flight may take at a planned stop.
func (s *Settings) Drain() time.Duration { return s.drain }

// MaxBody returns the largest body of a request in bytes.
func (s *Settings) MaxBody() int { return s.maxBody }

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
