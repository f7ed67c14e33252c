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
	key          string
	defaultValue string
	allowed      string
	description  string
	role         string
	optional     bool
	read         func(s *Settings, text string) bool
}

// Key returns the path of the setting in the file, its parts joined by dots.
func (s Setting) Key() string { return s.key }

// Default returns the value that applies if none is given, empty if there is no default.
func (s Setting) Default() string { return s.defaultValue }

// Allowed describes the allowed values.
func (s Setting) Allowed() string { return s.allowed }

// Description returns what the setting controls.
func (s Setting) Description() string { return s.description }

// IsOptional reports whether the setting may be omitted.
func (s Setting) IsOptional() bool { return s.optional }

// Roles returns the role that needs the setting, empty for all.
func (s Setting) Roles() string { return s.role }

// Environment returns the environment variable that overrides the file.
func (s Setting) Environment() string {
	return "SAFFRONPULLEY_" + strings.ToUpper(strings.ReplaceAll(s.key, ".", "_"))
}

// List returns all settings in the order of their documentation.
func List() []Setting { return list }

var list = []Setting{
	choice("role", "", "", "Selects the role of the process.", func(s *Settings) *string { return &s.role }, RoleEntry, RoleAgent),
	name("id", "", "Names the process; the name is unique in the region.", func(s *Settings) *string { return &s.id }),
	name("hall", "", "Names the hall of the VM.", func(s *Settings) *string { return &s.hall }),
	number("rack", "1", RoleAgent, "Numbers the rack of the VM in its hall.", 1, 10_000, func(s *Settings) *int { return &s.rack }),
	text("secret", "", "Sets the secret that all processes of the system share, at least 8 bytes long.", 8,
		func(s *Settings) *string { return &s.secret }),
	address("store.address", "", "Sets the address of the platform's key-value service.", func(s *Settings) *string { return &s.store }),
	address("vms.address", "", "Sets the address of the platform's list of VMs.", func(s *Settings) *string { return &s.vms }),
	address("worker.address", RoleAgent, "Sets the address of the worker on the agent's VM.", func(s *Settings) *string { return &s.worker }),
	address("listen.callers", RoleEntry, "Sets the address on which the entry listens for callers.", func(s *Settings) *string { return &s.listen.callers }),
	address("listen.peers", RoleEntry, "Sets the address on which the entry listens for other entries.", func(s *Settings) *string { return &s.listen.peers }),
	address("listen.requests", RoleAgent, "Sets the address on which the agent listens for entries.", func(s *Settings) *string { return &s.listen.requests }),
	address("listen.control", RoleAgent, "Sets the address on which the agent listens for its cell while it is the leader.", func(s *Settings) *string { return &s.listen.control }),
	address("listen.admin", "", "Sets the address on which the process listens for operators; callers must not reach it.", func(s *Settings) *string { return &s.listen.admin }),
	optional(address("advertise.peers", RoleEntry, "Sets the address at which other entries reach the entry, if it is not the listen address.",
		func(s *Settings) *string { return &s.advertise.peers })),
	optional(address("advertise.requests", RoleAgent, "Sets the address at which entries reach the agent, if it is not the listen address.",
		func(s *Settings) *string { return &s.advertise.requests })),
	optional(address("advertise.control", RoleAgent, "Sets the address at which the cell reaches the agent, if it is not the listen address.",
		func(s *Settings) *string { return &s.advertise.control })),
	optional(Setting{
		key: "source", description: "Sets the IP number from which connections are made, if the VM has several.", allowed: "an IP number",
		read: func(s *Settings, text string) bool {
			address, err := netip.ParseAddr(text)
			s.source = address
			return err == nil
		},
	}),
	choice("log.level", "info", "", "Sets the lowest level that is logged.", func(s *Settings) *string { return &s.log.level }, "debug", "info", "warn", "error"),
	choice("log.format", "json", "", "Sets the format of the log.", func(s *Settings) *string { return &s.log.format }, "json", "console"),
	number("limits.body_bytes", "1048576", "", "Sets the maximum size of a request's body in bytes.", 1, 64<<20, func(s *Settings) *int { return &s.maxBody }),
	duration("drain", "30s", "", "Sets the maximum time for requests in flight at a planned stop.", func(s *Settings) *time.Duration { return &s.drain }),
	duration("agent.heartbeat", "5s", "", "Sets the interval of an agent's reports to its leader while nothing changes; it is the same for all agents of a cell.",
		func(s *Settings) *time.Duration { return &s.agent.heartbeat }),
	duration("agent.reconcile", "500ms", RoleAgent, "Sets the interval at which the worker is compared with its desired state.",
		func(s *Settings) *time.Duration { return &s.agent.reconcile }),
	duration("agent.task_lease", "30s", RoleAgent, "Sets how long a task keeps running if its agent does not renew it.",
		func(s *Settings) *time.Duration { return &s.agent.taskLease }),
	duration("agent.measure", "1s", RoleAgent, "Sets the interval at which latency and usage are measured.",
		func(s *Settings) *time.Duration { return &s.agent.measure }),
	duration("lead.lease", "10s", RoleAgent, "Sets how long the lease of a cell lasts unless it is renewed.",
		func(s *Settings) *time.Duration { return &s.leader.lease }),
	duration("lead.window", "200ms", RoleAgent, "Sets how long changes that are not urgent are collected for one commit.",
		func(s *Settings) *time.Duration { return &s.leader.window }),
	duration("lead.list", "10s", RoleAgent, "Sets the interval at which a leader reads the list of VMs.",
		func(s *Settings) *time.Duration { return &s.leader.list }),
	number("lead.commit_bytes", "4000", RoleAgent, "Limits the bytes a second that a leader's commits write on average.", 100, 100<<20,
		func(s *Settings) *int { return &s.leader.commitRate }),
	duration("entry.list", "10s", RoleEntry, "Sets the interval at which an entry reads the list of VMs.",
		func(s *Settings) *time.Duration { return &s.entry.list }),
	duration("entry.subscribe", "5s", RoleEntry, "Sets the interval at which an entry renews its subscription to each leader, which checks its leadership.",
		func(s *Settings) *time.Duration { return &s.entry.subscribe }),
	duration("entry.keys", "1s", RoleEntry, "Sets the interval at which an entry checks the owners of callers' keys.",
		func(s *Settings) *time.Duration { return &s.entry.keys }),
	duration("entry.default_deadline", "10s", RoleEntry, "Sets the deadline of requests without one.",
		func(s *Settings) *time.Duration { return &s.entry.deadline }),
	duration("entry.announce", "2s", RoleEntry, "Sets how long a stopping entry still accepts requests after it reports that it is not ready.",
		func(s *Settings) *time.Duration { return &s.entry.announce }),
}

func optional(s Setting) Setting {
	s.optional = true
	return s
}

func choice(key, defaultValue, role, description string, field func(*Settings) *string, choices ...string) Setting {
	return Setting{
		key: key, defaultValue: defaultValue, role: role, description: description, allowed: "one of " + strings.Join(choices, ", "),
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

func name(key, role, description string, field func(*Settings) *string) Setting {
	return Setting{
		key: key, role: role, description: description, allowed: "a name of a-z, 0-9 and -, up to 40 long",
		read: func(s *Settings, text string) bool {
			if text == "" || len(text) > 40 || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
				return false
			}
			*field(s) = text
			return true
		},
	}
}

func text(key, role, description string, minLength int, field func(*Settings) *string) Setting {
	return Setting{
		key: key, role: role, description: description, allowed: fmt.Sprintf("at least %d bytes", minLength),
		read: func(s *Settings, text string) bool {
			*field(s) = text
			return len(text) >= minLength
		},
	}
}

func address(key, role, description string, field func(*Settings) *string) Setting {
	return Setting{
		key: key, role: role, description: description, allowed: "an IP number and a port, like 10.0.0.7:4100",
		read: func(s *Settings, text string) bool {
			*field(s) = text
			return isAddress(text)
		},
	}
}

func number(key, defaultValue, role, description string, low, high int, field func(*Settings) *int) Setting {
	return Setting{
		key: key, defaultValue: defaultValue, role: role, description: description, allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		read: func(s *Settings, text string) bool {
			n, err := strconv.Atoi(text)
			*field(s) = n
			return err == nil && n >= low && n <= high
		},
	}
}

func duration(key, defaultValue, role, description string, field func(*Settings) *time.Duration) Setting {
	return Setting{
		key: key, defaultValue: defaultValue, role: role, description: description, allowed: "a time from 10ms to 24h with its unit, like 500ms or 5s",
		read: func(s *Settings, text string) bool {
			d, err := time.ParseDuration(text)
			*field(s) = d
			return err == nil && d >= 10*time.Millisecond && d <= 24*time.Hour
		},
	}
}
