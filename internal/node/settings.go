package node

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/saffronpulley/saffronpulley/internal/dispatch"
	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// SettingsVariable names the environment variable that holds the path of the settings.
const SettingsVariable = "SAFFRONPULLEY_CONFIG"

// Roles of a process on the platform.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// settingsFile is the format of the settings file; deploy/node.yaml is its template.
type settingsFile struct {
	ID       string  `yaml:"id"`
	Role     string  `yaml:"role"`
	Address  string  `yaml:"address"`
	Hall     string  `yaml:"hall"`
	Strength float64 `yaml:"strength"`
	MemoryMB int     `yaml:"memory_mb"`
	// Descriptors is the maximum number of open file descriptors, 0 if the platform does not specify it.
	Descriptors int `yaml:"descriptors"`
	Ports       struct {
		Peers   int `yaml:"peers"`
		Metrics int `yaml:"metrics"`
	} `yaml:"ports"`
	Listen struct {
		Callers string `yaml:"callers"`
		Ready   string `yaml:"ready"`
		Reports string `yaml:"reports"`
		// Peers is the address on which an entry listens for other processes; empty for address and ports.peers, to which they
		// connect.
		Peers string `yaml:"peers"`
	} `yaml:"listen"`
	KnownEntries string `yaml:"neighbors"`
	Worker       string `yaml:"worker"`
	Store        string `yaml:"store"`
	Advice       string `yaml:"advice"`
	// GraceSeconds is the time in seconds from SIGTERM until the process is killed.
	GraceSeconds float64 `yaml:"grace_s"`
	// ClosureMillis is the time in milliseconds after which nothing may start in a closed hall, 0 if the platform does not
	// specify it.
	ClosureMillis float64 `yaml:"closed_ms"`
	// MaxRenewalMillis is the longest lease in milliseconds that a worker grants its runs, 0 if the platform does not specify
	// it.
	MaxRenewalMillis float64 `yaml:"longest_hold_ms"`
	// Scheduling switches features of the leader on; those that are left out are off.
	Scheduling struct {
		WorkerHealth bool `yaml:"worker_health"`
		RunTimes     bool `yaml:"run_times"`
		ShortReserve bool `yaml:"short_reserve"`
	} `yaml:"scheduling"`
	Log string `yaml:"log"`
}

// Settings are the validated settings of a process.
type Settings struct{ file settingsFile }

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, fault.New(fault.BadInput, "the variable %s does not name the settings file", SettingsVariable)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "the settings cannot be read")
	}
	return Parse(data)
}

// Parse parses and validates the content of a settings file.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := yaml.UnmarshalWithOptions(data, &s.file, yaml.Strict()); err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "the settings cannot be parsed")
	}
	return s, s.check()
}

func (s *Settings) check() error {
	f := s.file
	switch {
	case f.ID == "":
		return fault.New(fault.BadInput, "id is missing; it names the process")
	case f.Role != RoleEntry && f.Role != RoleAgent:
		return fault.New(fault.BadInput, "role is %q; use %s or %s", f.Role, RoleEntry, RoleAgent)
	case f.Strength <= 0:
		return fault.New(fault.BadInput, "strength is %v; give the VM's share of a core, above 0", f.Strength)
	case f.GraceSeconds <= 0:
		return fault.New(fault.BadInput, "grace_s is %v; give the seconds from SIGTERM to the kill, above 0", f.GraceSeconds)
	case f.ClosureMillis < 0:
		return fault.New(fault.BadInput, "closed_ms is %v; give the milliseconds after which nothing may start in a closed hall, 0 for %v",
			f.ClosureMillis, defaultClosureDelay)
	case f.MaxRenewalMillis < 0:
		return fault.New(fault.BadInput, "longest_hold_ms is %v; give the longest lease in milliseconds that a worker grants its runs, 0 for %v",
			f.MaxRenewalMillis, defaultMaxRenewal)
	case f.MemoryMB < minMemoryMB:
		return fault.New(fault.BadInput, "memory_mb is %d; at least %d are needed", f.MemoryMB, minMemoryMB)
	case f.Descriptors != 0 && f.Descriptors < minDescriptors:
		return fault.New(fault.BadInput, "descriptors is %d; at least %d are needed, or 0 if the number is unknown",
			f.Descriptors, minDescriptors)
	}
	if _, err := netip.ParseAddr(f.Address); err != nil {
		return fault.New(fault.BadInput, "address is %q; give the IP address of the VM", f.Address)
	}
	for name, port := range map[string]int{"ports.peers": f.Ports.Peers, "ports.metrics": f.Ports.Metrics} {
		if port < 1 || port > 65535 {
			return fault.New(fault.BadInput, "%s is %d; give a port from 1 to 65535", name, port)
		}
	}
	return s.checkAddresses()
}

// defaultClosureDelay is the time after which nothing may start in a closed hall if the platform does not specify it.
const defaultClosureDelay = 5 * time.Second

// defaultMaxRenewal is the assumed longest lease that a worker grants its runs if the platform does not specify it.
const defaultMaxRenewal = 10 * time.Second

// minDescriptors leaves descriptors for connections of other processes and callers beside the reserved ones.
const minDescriptors = 2 * reservedDescriptors

// minMemoryMB is the memory that the Go runtime and a small state need.
const minMemoryMB = 32

func (s *Settings) checkAddresses() error {
	f := s.file
	required := map[string]string{"listen.reports": f.Listen.Reports, "store": f.Store}
	if f.Role == RoleEntry {
		required["listen.callers"], required["listen.ready"] = f.Listen.Callers, f.Listen.Ready
	} else {
		required["worker"] = f.Worker
	}
	for name, address := range map[string]string{"advice": f.Advice, "listen.peers": f.Listen.Peers} {
		if address != "" {
			required[name] = address
		}
	}
	for name, address := range required {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fault.New(fault.BadInput, "%s is %q; give an IP address and a port", name, address)
		}
	}
	return nil
}

// ID returns the name of the process's VM.
func (s *Settings) ID() string { return s.file.ID }

// Role returns entry or agent.
func (s *Settings) Role() string { return s.file.Role }

// Hall returns the hall of the VM.
func (s *Settings) Hall() string { return s.file.Hall }

// Strength returns the VM's share of a core.
func (s *Settings) Strength() float64 { return s.file.Strength }

// MemoryBytes returns the memory of the process in bytes.
func (s *Settings) MemoryBytes() int64 { return int64(s.file.MemoryMB) << 20 }

// Limits returns the maximum numbers of connections that the process accepts.
func (s *Settings) Limits() limits { return connectionLimits(s.file.Descriptors, s.MemoryBytes()) }

// PeerAddress returns the address at which other processes reach this one.
func (s *Settings) PeerAddress() string { return s.join(s.file.Address, s.file.Ports.Peers) }

// ListenPeers returns the address on which an entry listens for other processes.
func (s *Settings) ListenPeers() string {
	if s.file.Listen.Peers != "" {
		return s.file.Listen.Peers
	}
	return s.PeerAddress()
}

// MetricsAddress returns the address on which the metrics are served.
func (s *Settings) MetricsAddress() string { return s.join(s.file.Address, s.file.Ports.Metrics) }

// KnownEntries returns the addresses of some entries; all processes use the same port.
func (s *Settings) KnownEntries() []string {
	var found []string
	for _, address := range strings.Split(s.file.KnownEntries, ",") {
		if a, err := netip.ParseAddrPort(strings.TrimSpace(address)); err == nil {
			found = append(found, s.join(a.Addr().String(), s.file.Ports.Peers))
		}
	}
	return found
}

func (s *Settings) join(address string, port int) string { return address + ":" + strconv.Itoa(port) }

// Callers returns the address on which an entry listens for callers.
func (s *Settings) Callers() string { return s.file.Listen.Callers }

// Ready returns the address on which an entry serves the platform's readiness check.
func (s *Settings) Ready() string { return s.file.Listen.Ready }

// Reports returns the address on which a process listens for workers.
func (s *Settings) Reports() string { return s.file.Listen.Reports }

// Worker returns the address of the worker beside an agent.
func (s *Settings) Worker() string { return s.file.Worker }

// Store returns the address of the store.
func (s *Settings) Store() string { return s.file.Store }

// Grace returns the time from SIGTERM until the process is killed.
func (s *Settings) Grace() time.Duration {
	return time.Duration(s.file.GraceSeconds * float64(time.Second))
}

// ClosureDelay returns the time after which nothing may start in a hall that the operators have closed.
func (s *Settings) ClosureDelay() time.Duration {
	if s.file.ClosureMillis == 0 {
		return defaultClosureDelay
	}
	return time.Duration(s.file.ClosureMillis * float64(time.Millisecond))
}

// MaxRenewal returns the longest lease that a worker grants its runs.
func (s *Settings) MaxRenewal() time.Duration {
	if s.file.MaxRenewalMillis == 0 {
		return defaultMaxRenewal
	}
	return time.Duration(s.file.MaxRenewalMillis * float64(time.Millisecond))
}

// Advice returns the address of the service that advises queues, empty for none.
func (s *Settings) Advice() string { return s.file.Advice }

// Features returns the scheduling features that are switched on.
func (s *Settings) Features() dispatch.Features {
	f := s.file.Scheduling
	return dispatch.Features{WorkerHealth: f.WorkerHealth, RunTimes: f.RunTimes, ShortReserve: f.ShortReserve}
}

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.file.Log }
