package policy

import (
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Version numbers the configurations; it rises in uneven steps.
type Version uint64

// Route is a queue and how callers name it.
type Route struct {
	Host   string
	Prefix string
	Queue  job.Queue
	// Timeout is how long the answer to a call may take.
	Timeout time.Duration
}

// Policy is one version of the configuration.
type Policy struct {
	version Version
	routes  []Route
	// connections is how many connections a worker takes at once, by its service.
	connections map[string]int
	maxBody     int
}

// New returns a version of the configuration; connections tells how many a worker takes at once, by its service.
func New(version Version, routes []Route, connections map[string]int, maxBody int) *Policy {
	return &Policy{version: version, routes: routes, connections: connections, maxBody: maxBody}
}

// Version returns the number of the configuration.
func (p *Policy) Version() Version { return p.version }

// Connections returns how many connections a worker of a service takes at once, 0 where that is not told.
func (p *Policy) Connections(service string) int { return p.connections[service] }

// HasService reports whether the configuration names a service.
func (p *Policy) HasService(service string) bool {
	_, named := p.connections[service]
	return named
}

// MaxBody returns the largest body of a call in bytes.
func (p *Policy) MaxBody() int { return p.maxBody }

// Routes returns all routes, which are not to be changed.
func (p *Policy) Routes() []Route { return p.routes }

// Route returns the route of a host with the longest prefix of the path, nil where none fits.
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

// Queue returns the queue of a name, false where there is none.
func (p *Policy) Queue(name string) (job.Queue, bool) {
	for i := range p.routes {
		if p.routes[i].Queue.Name == name {
			return p.routes[i].Queue, true
		}
	}
	return job.Queue{}, false
}
