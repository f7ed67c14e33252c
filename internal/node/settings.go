package node

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// SettingsVariable names the environment variable that holds the path of the settings.
const SettingsVariable = "SAFFRONPULLEY_CONFIG"

// Roles of a process on the platform.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// settingsFile is the file as it is written; deploy/node.yaml is its template.
type settingsFile struct {
	ID       string  `yaml:"id"`
	Role     string  `yaml:"role"`
	Address  string  `yaml:"address"`
	Hall     string  `yaml:"hall"`
	Strength float64 `yaml:"strength"`
	MemoryMB int     `yaml:"memory_mb"`
	// Descriptors is how many the process may have open, 0 where the platform tells none.
	Descriptors int `yaml:"descriptors"`
	Ports       struct {
		Peers   int `yaml:"peers"`
		Metrics int `yaml:"metrics"`
	} `yaml:"ports"`
	Listen struct {
		Callers string `yaml:"callers"`
		Ready   string `yaml:"ready"`
		Reports string `yaml:"reports"`
		// Peers is where an entry listens for other processes; empty for address and ports.peers, where they connect to.
		Peers string `yaml:"peers"`
	} `yaml:"listen"`
	KnownEntries string `yaml:"neighbors"`
	Worker       string `yaml:"worker"`
	Store        string `yaml:"store"`
	Advice       string `yaml:"advice"`
	// GraceSeconds is how long after SIGTERM the process is killed.
	GraceSeconds float64 `yaml:"grace_s"`
	// ClosureMillis is within how many milliseconds nothing starts in a closed hall any more, 0 where the platform tells none.
	ClosureMillis float64 `yaml:"closed_ms"`
	// MaxRenewalMillis is the longest time for which a worker lets itself be held, 0 where the platform tells none.
	MaxRenewalMillis float64 `yaml:"longest_hold_ms"`
	Log              string  `yaml:"log"`
}

// Settings are the checked settings of a process.
type Settings struct{ file settingsFile }

// Load reads and checks the settings of a file.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, fault.New(fault.BadInput, "the variable %s does not name the settings", SettingsVariable)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "the settings cannot be read")
	}
	return Parse(data)
}

// Parse checks settings as they are written.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := yaml.UnmarshalWithOptions(data, &s.file, yaml.Strict()); err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "the settings are not in their form")
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
		return fault.New(fault.BadInput, "closed_ms is %v; give the milliseconds within which a closed hall gets nothing new, 0 for %v",
			f.ClosureMillis, defaultClosureDelay)
	case f.MaxRenewalMillis < 0:
		return fault.New(fault.BadInput, "longest_hold_ms is %v; give the milliseconds for which a worker lets itself be held, 0 for %v",
			f.MaxRenewalMillis, defaultMaxRenewal)
	case f.MemoryMB < minMemoryMB:
		return fault.New(fault.BadInput, "memory_mb is %d; at least %d are needed", f.MemoryMB, minMemoryMB)
	case f.Descriptors != 0 && f.Descriptors < minDescriptors:
		return fault.New(fault.BadInput, "descriptors is %d; at least %d are needed, or 0 where the number is not known",
			f.Descriptors, minDescriptors)
	}
	if _, err := netip.ParseAddr(f.Address); err != nil {
		return fault.New(fault.BadInput, "address is %q; give the IP number of the VM", f.Address)
	}
	for name, port := range map[string]int{"ports.peers": f.Ports.Peers, "ports.metrics": f.Ports.Metrics} {
		if port < 1 || port > 65535 {
			return fault.New(fault.BadInput, "%s is %d; give a port from 1 to 65535", name, port)
		}
	}
	return s.checkAddresses()
}

// defaultClosureDelay is within what time a closed hall gets nothing new where the platform tells no time.
const defaultClosureDelay = 5 * time.Second

// defaultMaxRenewal is for how long a worker is taken to let itself be held where the platform tells no time.
const defaultMaxRenewal = 10 * time.Second

// minDescriptors leaves some connections for others beside what is reserved.
const minDescriptors = 2 * reservedDescriptors

// minMemoryMB is what the runtime and a small state take.
const minMemoryMB = 32

func (s *Settings) checkAddresses() error {
	f := s.file
	needed := map[string]string{"listen.reports": f.Listen.Reports, "store": f.Store}
	if f.Role == RoleEntry {
		needed["listen.callers"], needed["listen.ready"] = f.Listen.Callers, f.Listen.Ready
	} else {
		needed["worker"] = f.Worker
	}
	for name, address := range map[string]string{"advice": f.Advice, "listen.peers": f.Listen.Peers} {
		if address != "" {
			needed[name] = address
		}
	}
	for name, address := range needed {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fault.New(fault.BadInput, "%s is %q; give an IP number and a port", name, address)
		}
	}
	return nil
}

// ID returns the name of the process' VM.
func (s *Settings) ID() string { return s.file.ID }

// Role returns entry or agent.
func (s *Settings) Role() string { return s.file.Role }

// Hall returns the hall of the VM.
func (s *Settings) Hall() string { return s.file.Hall }

// Strength returns the VM's share of a core.
func (s *Settings) Strength() float64 { return s.file.Strength }

// MemoryBytes returns the memory of the process in bytes.
func (s *Settings) MemoryBytes() int64 { return int64(s.file.MemoryMB) << 20 }

// Limits returns how many connections of others the process takes.
func (s *Settings) Limits() limits { return connectionLimits(s.file.Descriptors, s.MemoryBytes()) }

// PeerAddress returns where other processes reach this one.
func (s *Settings) PeerAddress() string { return s.hostPort(s.file.Address, s.file.Ports.Peers) }

// ListenPeers returns where an entry listens for other processes.
func (s *Settings) ListenPeers() string {
	if s.file.Listen.Peers != "" {
		return s.file.Listen.Peers
	}
	return s.PeerAddress()
}

// MetricsAddress returns where the metrics are served.
func (s *Settings) MetricsAddress() string { return s.hostPort(s.file.Address, s.file.Ports.Metrics) }

// KnownEntries returns where some entries may be reached; all processes use the same port.
func (s *Settings) KnownEntries() []string {
	var found []string
	for _, address := range strings.Split(s.file.KnownEntries, ",") {
		if a, err := netip.ParseAddrPort(strings.TrimSpace(address)); err == nil {
			found = append(found, s.hostPort(a.Addr().String(), s.file.Ports.Peers))
		}
	}
	return found
}

func (s *Settings) hostPort(address string, port int) string {
	return address + ":" + strconv.Itoa(port)
}

// Callers returns where an entry listens for callers.
func (s *Settings) Callers() string { return s.file.Listen.Callers }

// Ready returns where the platform asks whether an entry takes connections.
func (s *Settings) Ready() string { return s.file.Listen.Ready }

// Reports returns where a process listens for workers.
func (s *Settings) Reports() string { return s.file.Listen.Reports }

// Worker returns where the worker beside an agent answers.
func (s *Settings) Worker() string { return s.file.Worker }

// Store returns the address of the store.
func (s *Settings) Store() string { return s.file.Store }

// Grace returns how long after SIGTERM the process is killed.
func (s *Settings) Grace() time.Duration {
	return time.Duration(s.file.GraceSeconds * float64(time.Second))
}

// ClosureDelay returns within what time nothing starts any more in a hall that the operators have closed.
func (s *Settings) ClosureDelay() time.Duration {
	if s.file.ClosureMillis == 0 {
		return defaultClosureDelay
	}
	return time.Duration(s.file.ClosureMillis * float64(time.Millisecond))
}

// MaxRenewal returns the longest time for which a worker lets itself be held.
func (s *Settings) MaxRenewal() time.Duration {
	if s.file.MaxRenewalMillis == 0 {
		return defaultMaxRenewal
	}
	return time.Duration(s.file.MaxRenewalMillis * float64(time.Millisecond))
}

// Advice returns the address of the service that advises queues, empty where there is none.
func (s *Settings) Advice() string { return s.file.Advice }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.file.Log }
