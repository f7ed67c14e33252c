package policy

import (
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Version is the number of a configuration; it rises in uneven steps.
type Version uint64

// Route is a queue with the host and path prefix of its calls.
type Route struct {
	Host   string
	Prefix string
	Queue  job.Queue
	// Timeout is the time limit for answering a call.
	Timeout time.Duration
}

// Policy is one version of the configuration.
type Policy struct {
	version Version
	routes  []Route
	// connections is the number of concurrent connections that a worker accepts, by its service.
	connections map[string]int
	maxBody     int
}

// New returns a version of the configuration; connections is the number of concurrent connections that a worker
// accepts, by its service.
func New(version Version, routes []Route, connections map[string]int, maxBody int) *Policy {
	return &Policy{version: version, routes: routes, connections: connections, maxBody: maxBody}
}

// Version returns the number of the configuration.
func (p *Policy) Version() Version { return p.version }

// Connections returns the number of concurrent connections that a worker of a service accepts, 0 if unknown.
func (p *Policy) Connections(service string) int { return p.connections[service] }

// HasService reports whether the configuration contains a service.
func (p *Policy) HasService(service string) bool {
	_, known := p.connections[service]
	return known
}

// MaxBody returns the maximum size of a call's body in bytes.
func (p *Policy) MaxBody() int { return p.maxBody }

// Allows reports whether a call's body may have a size in bytes.
func (p *Policy) Allows(size int) bool { return p.maxBody <= 0 || size <= p.maxBody }

// Routes returns all routes, which must not be changed.
func (p *Policy) Routes() []Route { return p.routes }

// Route returns the route of a host with the longest prefix of the path, or nil.
func (p *Policy) Route(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	var best *Route
	for i := range p.routes {
		r := &p.routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) &&
			(best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Queue returns the queue with a name, or false.
func (p *Policy) Queue(name string) (job.Queue, bool) {
	for i := range p.routes {
		if p.routes[i].Queue.Name == name {
			return p.routes[i].Queue, true
		}
	}
	return job.Queue{}, false
}
