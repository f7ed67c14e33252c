package stage

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/proving/relay"
)

// Stage holds the processes of one scenario.
type Stage struct {
	binaries string
	dir      string
	client   *http.Client

	mu            sync.Mutex
	processes     map[string]*Process
	relays        map[string]*relay.Relay
	sources       map[string]string
	jobs          map[string]string
	loads         map[string]*load
	endedWorkers  []endedWorker
	extraSettings map[string]string
	noRelays      bool
}

// Secret is the shared secret of the processes of a stage.
const Secret = "a-secret-of-the-stage"

// New returns an empty stage that runs the programs in binaries and writes settings to dir.
func New(binaries, dir string) *Stage {
	return &Stage{
		binaries: binaries, dir: dir,
		client:    &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		processes: make(map[string]*Process), relays: make(map[string]*relay.Relay), sources: make(map[string]string),
		jobs: make(map[string]string), loads: make(map[string]*load), extraSettings: make(map[string]string),
	}
}

// DisableRelays connects the processes directly, for measurements.
func (s *Stage) DisableRelays() { s.noRelays = true }

// Do runs a verb of the scenarios.
func (s *Stage) Do(name string, args ...string) (string, error) {
	run, ok := verbs[name]
	if !ok {
		return "", fmt.Errorf("unknown verb %s", name)
	}
	return run(s, args)
}

// Address returns the address of a process's listener.
func (s *Stage) Address(name, listener string) string { return s.processes[name].addresses[listener] }

// Processes returns the process ids of the running processes by their names.
func (s *Stage) Processes() map[string]int {
	running := make(map[string]int)
	for name, p := range s.processes {
		if p.isRunning() {
			running[name] = p.command.Process.Pid
		}
	}
	return running
}

// Close ends all processes that the stage started.
func (s *Stage) Close() {
	for _, l := range s.loads {
		l.stop()
	}
	for _, p := range s.processes {
		if p.isRunning() {
			_ = p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	for _, r := range s.relays {
		_ = r.Close()
	}
}

// Logs returns the output of all processes.
func (s *Stage) Logs() string {
	names := make([]string, 0, len(s.processes))
	for name := range s.processes {
		names = append(names, name)
	}
	sort.Strings(names)
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, "--- %s\n%s", name, s.processes[name].log)
	}
	return out.String()
}

func (s *Stage) process(name string) (*Process, error) {
	p, ok := s.processes[name]
	if !ok {
		return nil, fmt.Errorf("unknown process %s", name)
	}
	return p, nil
}

// address returns the address at which the stage reaches a process. Callers and operators reach a daemon through a relay,
// whose address stays the same when the daemon restarts.
func (s *Stage) address(name, listener string) (string, error) {
	p, err := s.process(name)
	if err != nil {
		return "", err
	}
	if listener == "callers" || listener == "admin" {
		return s.relay(name, listener, "")
	}
	return p.addresses[listener], nil
}

// relay returns the address of the relay to a process's listener, which can cut connections, and sets its target if one is
// given.
func (s *Stage) relay(name, listener, target string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noRelays {
		return s.processes[name].addresses[listener], nil
	}
	key := name + "/" + listener
	if r, ok := s.relays[key]; ok {
		if target != "" {
			r.SetTarget(target)
		}
		return r.Address(), nil
	}
	r, err := relay.New("127.0.0.1:0", target)
	if err != nil {
		return "", err
	}
	s.relays[key] = r
	return r.Address(), nil
}

// startStandin starts a stand-in and the relay to it.
func (s *Stage) startStandin(name string, args ...string) error {
	p := &Process{name: name, args: append([]string{"standin", "--listen", "127.0.0.1:0"}, args...), log: &logFile{}}
	s.processes[name] = p
	if err := p.start(s.binaries); err != nil {
		return err
	}
	_, err := s.relay(name, "listening", p.addresses["listening"])
	return err
}

// defineDaemon writes the settings of a daemon, which apply to each of its starts.
func (s *Stage) defineDaemon(name string, settings map[string]string) error {
	s.mu.Lock()
	source := "127.0.1." + strconv.Itoa(len(s.sources)+1)
	s.sources[name] = source
	s.mu.Unlock()
	values := map[string]string{
		"id": name, "secret": Secret, "source": source,
		"listen.admin": "127.0.0.1:0", "log.level": "debug", "drain": "10s", "entry.announce": "500ms",
		"agent.heartbeat": "500ms", "agent.reconcile": "50ms", "agent.task_lease": "3s", "agent.measure": "500ms",
		"lead.lease": "2s", "lead.window": "20ms", "lead.list": "300ms", "lead.commit_bytes": "1000000",
		"entry.list": "300ms", "entry.subscribe": "300ms", "entry.keys": "200ms",
	}
	var err error
	for key, standin := range map[string]string{"store.address": "store", "vms.address": "vms"} {
		if values[key], err = s.relay(standin, "listening", ""); err != nil {
			return err
		}
	}
	for _, overrides := range []map[string]string{settings, s.extraSettings} {
		for key, value := range overrides {
			values[key] = value
		}
	}
	listeners := []string{"requests", "control"}
	if settings["role"] == "entry" {
		listeners = []string{"peers"}
		values["listen.callers"] = "127.0.0.1:0"
	}
	for _, listener := range listeners {
		values["listen."+listener] = "127.0.0.1:0"
		if s.noRelays {
			continue
		}
		if values["advertise."+listener], err = s.relay(name, listener, "127.0.0.1:1"); err != nil {
			return err
		}
	}
	file := filepath.Join(s.dir, name+".yaml")
	s.processes[name] = &Process{
		name: name, args: []string{"saffronpulleyd", "run", file}, source: source, log: &logFile{},
	}
	return os.WriteFile(file, yaml(values), 0o600)
}

// yaml returns settings as YAML.
func yaml(values map[string]string) []byte {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var out bytes.Buffer
	section := ""
	for _, key := range keys {
		if parent, child, nested := strings.Cut(key, "."); nested {
			if parent != section {
				fmt.Fprintf(&out, "%s:\n", parent)
				section = parent
			}
			fmt.Fprintf(&out, "  %s: %q\n", child, values[key])
			continue
		}
		fmt.Fprintf(&out, "%s: %q\n", key, values[key])
	}
	return out.Bytes()
}

// start starts a daemon, or restarts a stand-in, and points its relays to the new addresses.
func (s *Stage) start(name string) error {
	p, err := s.process(name)
	if err != nil {
		return err
	}
	if err := p.start(s.binaries); err != nil {
		return err
	}
	for listener, address := range p.addresses {
		if _, err := s.relay(name, listener, address); err != nil {
			return err
		}
	}
	return nil
}

// setCut cuts or restores the traffic from one process to another.
func (s *Stage) setCut(from, to string, cut bool) error {
	source, ok := s.sources[from]
	if !ok {
		return fmt.Errorf("unknown daemon %s", from)
	}
	found := false
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.relays {
		if strings.HasPrefix(key, to+"/") {
			r.SetCut(source, cut)
			found = true
		}
	}
	if !found {
		return fmt.Errorf("no relay to %s", to)
	}
	return nil
}

// post sends a request and returns the status, the body and the headers of the answer.
func (s *Stage) post(method, url string, body []byte, headers map[string]string) (int, []byte, http.Header, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, response.Header, err
}

// eventually repeats an attempt until it succeeds or the limit has passed.
func eventually(limit time.Duration, attempt func() error) error {
	end := time.Now().Add(limit)
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out after %s: %w", limit, err)
		}
		<-time.After(50 * time.Millisecond)
	}
}
