package fleet

import (
	"encoding/json"
	"fmt"
	"path/filepath"
)

// Names shared by the configuration, the workers and the callers.
const (
	service       = "desk"
	queueHost     = "jobs.example"
	pathPrefix    = "/q/"
	configKey     = "op/config"
	closurePrefix = "op/evacuate/"
)

// queueAttempts is how many failed runs of a task or gang fail its job.
const queueAttempts = 3

// halls are the halls of a fleet, to which entries and agents are assigned in turn.
var halls = []string{"h1", "h2"}

func hallOf(i int) string { return halls[i%len(halls)] }

// settings returns the settings file of a process, with the names of deploy/node.yaml.
func settings(a addresses, name, role, ip, hall, worker string) string {
	text := fmt.Sprintf("id: %s\nrole: %s\naddress: %s\nhall: %s\nstrength: 0.4\nmemory_mb: 256\nports:\n  peers: %d\n  metrics: %d\n",
		name, role, ip, hall, a.peers, a.metric)
	text += fmt.Sprintf("listen:\n  callers: %q\n  ready: %q\n  reports: %q\n  peers: %q\n",
		hostPort(ip, a.callers), hostPort(ip, a.ready), hostPort(ip, a.reports), hostPort(ip, a.listen))
	return text + fmt.Sprintf("neighbors: %q\nworker: %q\nstore: %q\nadvice: \"\"\ngrace_s: 6\nlog: info\n", a.neighbors, worker, a.store)
}

// settingsPath returns the path of a process's settings file.
func settingsPath(dir, name string) string { return filepath.Join(dir, name+".yaml") }

// route returns a queue of the configuration.
func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "path-prefix": prefix, "timeout-ms": 3000, "target-latency-ms": 1000,
		"priority": 0, "service": service, "attempts": queueAttempts, "stretch": 2.0,
	}
}

// addedPrefix returns the path prefix of a queue that configure adds, from 1.
func addedPrefix(i int) string { return fmt.Sprintf("/added%d/", i) }

// configure writes a version of the configuration as an operator, with a number of queues besides the one of pathPrefix.
func (f *Fleet) configure(version, added int) error {
	routes := []map[string]any{route("queue", pathPrefix)}
	for i := range added {
		routes = append(routes, route(fmt.Sprintf("added-%d", i+1), addedPrefix(i+1)))
	}
	value, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": service, "admission-check": false}},
		"limits":   map[string]any{},
	})
	if err != nil {
		return err
	}
	return f.store.Put(configKey, value)
}
