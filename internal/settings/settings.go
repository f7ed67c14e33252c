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

// Settings holds the settings of a daemon.
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
	// advertise holds the addresses at which others reach the process, where they differ from the listen addresses.
	advertise listen
	source    netip.Addr
	log       logSettings
	agent     agentSettings
	leader    leaderSettings
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

type leaderSettings struct {
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

// Role returns the role of the process: entry or agent.
func (s *Settings) Role() string { return s.role }

// ID returns the name of the process, unique in the region.
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

// Worker returns the address of the worker on the agent's VM.
func (s *Settings) Worker() string { return s.worker }

// Callers returns the address on which an entry listens for callers.
func (s *Settings) Callers() string { return s.listen.callers }

// Peers returns the address on which an entry listens for other entries.
func (s *Settings) Peers() string { return s.listen.peers }

// Requests returns the address on which an agent listens for entries.
func (s *Settings) Requests() string { return s.listen.requests }

// Control returns the address on which an agent listens for its cell while it is the leader.
func (s *Settings) Control() string { return s.listen.control }

// Admin returns the address on which the process listens for operators.
func (s *Settings) Admin() string { return s.listen.admin }

// AdvertisePeers returns the address at which other entries reach an entry that listens at an address.
func (s *Settings) AdvertisePeers(listening string) string { return or(s.advertise.peers, listening) }

// AdvertiseRequests returns the address at which entries reach an agent that listens at an address.
func (s *Settings) AdvertiseRequests(listening string) string {
	return or(s.advertise.requests, listening)
}

// AdvertiseControl returns the address at which the cell reaches an agent that listens at an address.
func (s *Settings) AdvertiseControl(listening string) string {
	return or(s.advertise.control, listening)
}

func or(value, defaultValue string) string {
	if value == "" {
		return defaultValue
	}
	return value
}

// Source returns the IP number from which connections are made; it is invalid if none is set.
func (s *Settings) Source() netip.Addr { return s.source }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.log.level }

// LogFormat returns the format of the log: json or console.
func (s *Settings) LogFormat() string { return s.log.format }

// Heartbeat returns the interval of an agent's reports to its leader while nothing changes.
func (s *Settings) Heartbeat() time.Duration { return s.agent.heartbeat }

// Reconcile returns the interval at which an agent compares its worker with the desired state.
func (s *Settings) Reconcile() time.Duration { return s.agent.reconcile }

// TaskLease returns how long a task keeps running if its agent does not renew it.
func (s *Settings) TaskLease() time.Duration { return s.agent.taskLease }

// Measure returns the interval at which an agent measures latency and usage.
func (s *Settings) Measure() time.Duration { return s.agent.measure }

// Lease returns how long the lease of a cell lasts unless it is renewed.
func (s *Settings) Lease() time.Duration { return s.leader.lease }

// CommitWindow returns how long a leader collects changes that are not urgent for one commit.
func (s *Settings) CommitWindow() time.Duration { return s.leader.window }

// LeaderList returns the interval at which a leader reads the list of VMs.
func (s *Settings) LeaderList() time.Duration { return s.leader.list }

// CommitRate returns the limit of the bytes a second that a leader's commits write on average.
func (s *Settings) CommitRate() int { return s.leader.commitRate }

// EntryList returns the interval at which an entry reads the list of VMs.
func (s *Settings) EntryList() time.Duration { return s.entry.list }

// Subscribe returns the interval at which an entry renews its subscription to each leader.
func (s *Settings) Subscribe() time.Duration { return s.entry.subscribe }

// Keys returns the interval at which an entry checks the owners of keys.
func (s *Settings) Keys() time.Duration { return s.entry.keys }

// DefaultDeadline returns the deadline of requests without one.
func (s *Settings) DefaultDeadline() time.Duration { return s.entry.deadline }

// Announce returns how long a stopping entry still accepts requests after it reports that it is not ready.
func (s *Settings) Announce() time.Duration { return s.entry.announce }

// Drain returns the maximum time for requests in flight at a planned stop.
func (s *Settings) Drain() time.Duration { return s.drain }

// MaxBody returns the maximum size of a request's body in bytes.
func (s *Settings) MaxBody() int { return s.maxBody }

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
