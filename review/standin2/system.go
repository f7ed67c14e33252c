package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a machine of the system with one process.
type machine struct {
	name, role, ip string
	settings       string
	command        *exec.Cmd
	log            *os.File
}

// system is a small deployment: entries, agents with a worker each, and the store.
type system struct {
	record  *record
	store   *store
	address string
	folder  string
	ports   ports
	entries []*machine
	agents  []*machine
	workers []*worker
	host    string
	service string
	advice  string
	binary  string
	routes  []map[string]any
}

type ports struct{ callers, ready, reports, worker, peers, metrics, store int }

// config is the shape of a deployment.
type config struct {
	workers  int
	capacity func(n int) size
	labels   func(n int) []string
	behave   func(w *worker, task string, number int) behavior
}

// ipOf returns a loopback address of its own for each machine of this process.
func ipOf(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, n+1)
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func newSystem(root string, c config) (*system, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &system{record: newRecord(), store: newStore(), folder: folder, host: "nony24.example", service: "huvo11a", binary: filepath.Join(root, "target/saffronpulleyd")}
	if _, err := os.Stat(s.binary); err != nil {
		return nil, err
	}
	first := ipOf(0)
	s.ports = ports{freePort(first), freePort(first), freePort(first), freePort(first), freePort(first), freePort(first), freePort(first)}
	s.address = fmt.Sprintf("%s:%d", first, s.ports.store)
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.store.serve(l)
	for n := range 3 {
		s.entries = append(s.entries, &machine{name: fmt.Sprintf("front-%d", n+1), role: "entry", ip: ipOf(1 + n)})
	}
	for n := range c.workers {
		m := &machine{name: fmt.Sprintf("side-%d", n+1), role: "agent", ip: ipOf(10 + n)}
		s.agents = append(s.agents, m)
		s.workers = append(s.workers, &worker{
			name: fmt.Sprintf("w%d", n+1), address: fmt.Sprintf("%s:%d", m.ip, s.ports.worker), control: fmt.Sprintf("%s:%d", m.ip, s.ports.reports),
			service: s.service, labels: c.labels(n), capacity: c.capacity(n), record: s.record, behave: c.behave,
		})
	}
	return s, nil
}

// configure writes a configuration as the operator.
func (s *system) configure(version int, routes ...map[string]any) {
	s.routes = routes
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": s.service, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, "admission-check": true, "spare": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.operatorPut("op/config", body)
}

func (s *system) route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": s.host, "path-prefix": prefix, "route-type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 250,
		"priority": priority, "service": s.service, "attempts": attempts, "stretch": 2.0,
	}
}

// start starts the process of a machine with the command of the deploy file and settings by its template.
func (s *system) start(m *machine) error {
	var seeds []string
	for _, e := range s.entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.ip, s.ports.reports))
	}
	callers, ready, app, strength, memory := "", "", "", 0.24, 152
	if m.role == "entry" {
		callers, ready = fmt.Sprintf("%s:%d", m.ip, s.ports.callers), fmt.Sprintf("%s:%d", m.ip, s.ports.ready)
		strength, memory = 0.4, 284
	} else {
		app = fmt.Sprintf("%s:%d", m.ip, s.ports.worker)
	}
	text := fmt.Sprintf("id: %q\nrole: %q\naddress: %q\nhall: \"cba-a\"\nstrength: %g\nmemory_mb: %d\ndescriptors: 4100\nports:\n  peers: %d\n  metrics: %d\n"+
		"listen:\n  callers: %q\n  ready: %q\n  reports: \"%s:%d\"\nneighbors: %q\nworker: %q\nstore: %q\nadvice: %q\ngrace_s: 6\nclosed_ms:\nlongest_hold_ms: 6000\n"+
		"scheduling:\n  worker_health: true\n  run_times: false\n  short_reserve: false\nlog: info\n",
		m.name, m.role, m.ip, strength, memory, s.ports.peers, s.ports.metrics, callers, ready, m.ip, s.ports.reports, strings.Join(seeds, ","), app, s.address, s.advice)
	m.settings = filepath.Join(s.folder, m.name+".yaml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(s.binary, "node")
	m.command.Env = []string{"SAFFRONPULLEY_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.command.Stdout, m.command.Stderr, m.log = log, log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return m.command.Start()
}

// startAll starts all processes and waits until the entries are ready and all workers can be used.
func (s *system) startAll() error {
	for _, m := range append(append([]*machine{}, s.entries...), s.agents...) {
		if err := s.start(m); err != nil {
			return err
		}
	}
	for _, w := range s.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range s.entries {
		for !s.ready(e) {
			if time.Now().After(deadline) {
				return errors.New("an entry is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	return nil
}

func (s *system) ready(m *machine) bool {
	answer, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/ready", m.ip, s.ports.ready))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == 200
}

// stop ends all processes; keep leaves their logs.
func (s *system) stop(keep bool) {
	for _, m := range append(append([]*machine{}, s.entries...), s.agents...) {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			_ = m.command.Wait()
			_ = m.log.Close()
		}
	}
	if keep {
		fmt.Println("logs:", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// clientTransport opens a connection for each call.
var clientTransport = &http.Transport{DisableKeepAlives: true}

// call sends a client's request to an entry and returns the status, 0 for no answer, and the body.
func (s *system) call(entry int, method, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		reader = bytes.NewReader(encoded)
	}
	e := s.entries[entry%len(s.entries)]
	request, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", e.ip, s.ports.callers, path), reader)
	request.Host = s.host
	request.Header.Set("X-Deadline", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := (&http.Client{Timeout: 3 * time.Second, Transport: clientTransport}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in, and again at the next entry until it is accepted.
func (s *system) submit(prefix, id string, body any) bool {
	for try := range 10 {
		status, text := s.call(try, http.MethodPost, prefix+id, body)
		s.record.note("client: POST %s%s: %d %s", prefix, id, status, text)
		if status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job's state at the entries in turn until one answers 200 or 410.
func (s *system) state(prefix, id string) string {
	for try := range 9 {
		status, text := s.call(try, http.MethodGet, prefix+id, nil)
		if status == 410 {
			return "410"
		}
		var body struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}
