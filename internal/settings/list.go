package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Setting is one entry of the list of all settings.
type Setting struct {
	key      string
	fallback string
	allowed  string
	about    string
	roles    string
	optional bool
	read     func(s *Settings, text string) bool
}

// Key returns the place of the setting in the file, its parts joined by dots.
func (s Setting) Key() string { return s.key }

// Default returns what holds where nothing is given, empty where something must be.
func (s Setting) Default() string { return s.fallback }

// Allowed returns what may be given.
func (s Setting) Allowed() string { return s.allowed }

// Description returns what the setting does.
func (s Setting) Description() string { return s.about }

// IsOptional reports whether nothing need be given.
func (s Setting) IsOptional() bool { return s.optional }

// Roles returns the role that needs the setting, empty for all.
func (s Setting) Roles() string { return s.roles }

// Environment returns the variable that goes before the file.
func (s Setting) Environment() string {
	return "SAFFRONPULLEY_" + strings.ToUpper(strings.ReplaceAll(s.key, ".", "_"))
}

// List returns all settings in the order of the page.
func List() []Setting { return list }

var list = []Setting{
	choice("role", "", "", "Says what the process is.", func(s *Settings) *string { return &s.role }, RoleEntry, RoleAgent),
	name("id", "", "Names the process; no other of the region has the name.", func(s *Settings) *string { return &s.id }),
	name("hall", "", "Names the hall of the VM.", func(s *Settings) *string { return &s.hall }),
	number("rack", "1", RoleAgent, "Numbers the rack of the VM in its hall.", 1, 10_000, func(s *Settings) *int { return &s.rack }),
	text("secret", "", "Is the secret that all processes of the system share, at least 8 bytes long.", 8,
		func(s *Settings) *string { return &s.secret }),
	address("store.address", "", "Is where the platform's key-value service answers.", func(s *Settings) *string { return &s.store }),
	address("vms.address", "", "Is where the platform's list of VMs answers.", func(s *Settings) *string { return &s.vms }),
	address("worker.address", RoleAgent, "Is where the worker beside the agent answers.", func(s *Settings) *string { return &s.worker }),
	address("listen.callers", RoleEntry, "Is where callers reach the entry.", func(s *Settings) *string { return &s.listen.callers }),
	address("listen.peers", RoleEntry, "Is where other entries reach the entry.", func(s *Settings) *string { return &s.listen.peers }),
	address("listen.requests", RoleAgent, "Is where entries reach the agent.", func(s *Settings) *string { return &s.listen.requests }),
	address("listen.control", RoleAgent, "Is where the cell reaches the agent while it leads.", func(s *Settings) *string { return &s.listen.control }),
	address("listen.admin", "", "Is where operators reach the process; keep callers away from it.", func(s *Settings) *string { return &s.listen.admin }),
	optional(address("advertise.peers", RoleEntry, "Is where other entries reach the entry, where that is not the listen address.",
		func(s *Settings) *string { return &s.advertise.peers })),
	optional(address("advertise.requests", RoleAgent, "Is where entries reach the agent, where that is not the listen address.",
		func(s *Settings) *string { return &s.advertise.requests })),
	optional(address("advertise.control", RoleAgent, "Is where the cell reaches the agent, where that is not the listen address.",
		func(s *Settings) *string { return &s.advertise.control })),
	optional(Setting{
		key: "source", about: "Is the IP number from which connections are made, where the VM has several.", allowed: "an IP number",
		read: func(s *Settings, text string) bool {
			address, err := netip.ParseAddr(text)
			s.source = address
			return err == nil
		},
	}),
	choice("log.level", "info", "", "Is the lowest level that is logged.", func(s *Settings) *string { return &s.log.level }, "debug", "info", "warn", "error"),
	choice("log.format", "json", "", "Is the form of the log.", func(s *Settings) *string { return &s.log.format }, "json", "console"),
	number("limits.body_bytes", "1048576", "", "Is the largest body of a request.", 1, 64<<20, func(s *Settings) *int { return &s.maxBody }),
	span("drain", "30s", "", "Is how long requests in flight may take at a planned stop.", func(s *Settings) *time.Duration { return &s.drain }),
	span("agent.heartbeat", "5s", "", "Is how often an agent tells its lead that nothing changed; all of a cell have the same.",
		func(s *Settings) *time.Duration { return &s.agent.heartbeat }),
	span("agent.reconcile", "500ms", RoleAgent, "Is how often the worker is compared with what is wanted.",
		func(s *Settings) *time.Duration { return &s.agent.reconcile }),
	span("agent.task_lease", "30s", RoleAgent, "Is how long a task runs on when its agent does not renew it.",
		func(s *Settings) *time.Duration { return &s.agent.taskLease }),
	span("agent.measure", "1s", RoleAgent, "Is how often latency and usage are looked at.",
		func(s *Settings) *time.Duration { return &s.agent.measure }),
	span("lead.lease", "10s", RoleAgent, "Is how long the lease of a cell lasts unless it is prolonged.",
		func(s *Settings) *time.Duration { return &s.lead.lease }),
	span("lead.window", "200ms", RoleAgent, "Is how long changes that are not urgent are gathered for one commit.",
		func(s *Settings) *time.Duration { return &s.lead.window }),
	span("lead.list", "10s", RoleAgent, "Is how often a lead reads the list of VMs.",
		func(s *Settings) *time.Duration { return &s.lead.list }),
	number("lead.commit_bytes", "4000", RoleAgent, "Is how many bytes a second a lead's commits write on average.", 100, 100<<20,
		func(s *Settings) *int { return &s.lead.commitRate }),
	span("entry.list", "10s", RoleEntry, "Is how often an entry reads the list of VMs.",
		func(s *Settings) *time.Duration { return &s.entry.list }),
	span("entry.subscribe", "5s", RoleEntry, "Is how often an entry asks each lead whether it still is one.",
		func(s *Settings) *time.Duration { return &s.entry.subscribe }),
	span("entry.keys", "1s", RoleEntry, "Is how often an entry looks at the owners of callers' keys.",
		func(s *Settings) *time.Duration { return &s.entry.keys }),
	span("entry.default_deadline", "10s", RoleEntry, "Is the deadline of requests that name none.",
		func(s *Settings) *time.Duration { return &s.entry.deadline }),
	span("entry.announce", "2s", RoleEntry, "Is how long a stopping entry still takes requests after it says that it is not ready.",
		func(s *Settings) *time.Duration { return &s.entry.announce }),
}

func optional(s Setting) Setting {
	s.optional = true
	return s
}

func choice(key, fallback, roles, about string, field func(*Settings) *string, choices ...string) Setting {
	return Setting{
		key: key, fallback: fallback, roles: roles, about: about, allowed: "one of " + strings.Join(choices, ", "),
		read: func(s *Settings, text string) bool {
			for _, c := range choices {
				if c == text {
					*field(s) = text
					return true
				}
			}
			return false
		},
	}
}

func name(key, roles, about string, field func(*Settings) *string) Setting {
	return Setting{
		key: key, roles: roles, about: about, allowed: "a name of a-z, 0-9 and -, up to 40 long",
		read: func(s *Settings, text string) bool {
			if text == "" || len(text) > 40 || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
				return false
			}
			*field(s) = text
			return true
		},
	}
}

func text(key, roles, about string, shortest int, field func(*Settings) *string) Setting {
	return Setting{
		key: key, roles: roles, about: about, allowed: fmt.Sprintf("at least %d bytes", shortest),
		read: func(s *Settings, text string) bool {
			*field(s) = text
			return len(text) >= shortest
		},
	}
}

func address(key, roles, about string, field func(*Settings) *string) Setting {
	return Setting{
		key: key, roles: roles, about: about, allowed: "an IP number and a port, like 10.0.0.7:4100",
		read: func(s *Settings, text string) bool {
			*field(s) = text
			return isAddress(text)
		},
	}
}

func number(key, fallback, roles, about string, low, high int, field func(*Settings) *int) Setting {
	return Setting{
		key: key, fallback: fallback, roles: roles, about: about, allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		read: func(s *Settings, text string) bool {
			n, err := strconv.Atoi(text)
			*field(s) = n
			return err == nil && n >= low && n <= high
		},
	}
}

func span(key, fallback, roles, about string, field func(*Settings) *time.Duration) Setting {
	return Setting{
		key: key, fallback: fallback, roles: roles, about: about, allowed: "a time from 10ms to 24h with its unit, like 500ms or 5s",
		read: func(s *Settings, text string) bool {
			d, err := time.ParseDuration(text)
			*field(s) = d
			return err == nil && d >= 10*time.Millisecond && d <= 24*time.Hour
		},
	}
}
