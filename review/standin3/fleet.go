package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program and its argument are the command of both roles in the deploy file.
const (
	program  = "target/saffronpulleyd"
	argument = "node"
)

// fleet is a small deployment: entries and agents as processes, one worker beside each agent, and the store.
type fleet struct {
	world     *world
	store     *store
	workers   []*worker
	fronts    []string
	ready     []string
	processes []*exec.Cmd
	names     []string
	dir       string
	logs      []*os.File
}

// settings are the fields of deploy/node.yaml with the figures of a small deployment.
const settings = `id: %q
role: %q
address: %q
hall: %q
strength: %v
memory_mb: %d
descriptors: 4100
ports:
  peers: %d
  metrics: %d
listen:
  callers: %q
  ready: %q
  reports: %q
neighbors: %q
worker: %q
store: %q
advice: ""
grace_s: 6
closed_ms: 
longest_hold_ms: 6000
scheduling:
  worker_health: true
  run_times: false
  short_reserve: false
log: info
`

// start starts a fleet; prepare sets up a worker before it starts.
func start(w *world, entries, agents int, prepare func(int, *worker)) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{world: w, store: newStore(), dir: dir}
	block := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	ports, err := freePorts(block+".1", 6)
	if err != nil {
		return f, err
	}
	address := func(n, port int) string { return fmt.Sprintf("%s.%d:%d", block, n, ports[port]) }
	storeAddress := address(250, 0)
	if err := serve(storeAddress, f.store); err != nil {
		return f, err
	}
	f.configure(1)
	var neighbors []string
	for n := range min(entries, 3) {
		neighbors = append(neighbors, address(n+1, 3))
	}
	halls := []string{"bilbao-a", "santander-b", "oviedo-c"}
	for n := range entries + agents {
		name, role, strength, memory, worker := fmt.Sprintf("front-%d", n+1), "entry", 0.4, 284, ""
		hall := halls[n%len(halls)]
		if n >= entries {
			name, role, strength, memory = fmt.Sprintf("side-%d", n-entries+1), "agent", 0.24, 152
			worker = address(n+1, 5)
			beside := &workerPlace{name: name, address: worker, agent: address(n+1, 3), hall: hall}
			f.workers = append(f.workers, beside.make(w, n-entries, prepare))
		} else {
			f.fronts = append(f.fronts, address(n+1, 1))
			f.ready = append(f.ready, address(n+1, 2))
		}
		ip := fmt.Sprintf("%s.%d", block, n+1)
		text := fmt.Sprintf(settings, name, role, ip, hall, strength, memory, ports[4], ports[0],
			address(n+1, 1), address(n+1, 2), address(n+1, 3), strings.Join(neighbors, ","), worker, storeAddress)
		if err := f.launch(name, text); err != nil {
			return f, err
		}
	}
	for _, w := range f.workers {
		if err := w.start(); err != nil {
			return f, err
		}
	}
	return f, f.await()
}

// workerPlace holds what a worker is made from.
type workerPlace struct{ name, address, agent, hall string }

func (b *workerPlace) make(w *world, n int, prepare func(int, *worker)) *worker {
	made := &worker{
		name: b.name, address: b.address, agent: b.agent, hall: b.hall, labels: []string{"a", fmt.Sprintf("r1-%d", n/3+1)},
		cpu: 16000, memory: 64000, world: w,
	}
	prepare(n, made)
	return made
}

// configure writes a version of the configuration as the operator.
func (f *fleet) configure(version int) {
	f.world.note("operator op/config version=%d", version)
	f.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue", "host": host, "path-prefix": prefix, "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 0,
			"service": service, "attempts": 3, "stretch": 2.0,
		}},
		"services": []map[string]any{{"name": service, "max-connections": 64, "admission-check": true}},
		"limits":   map[string]any{"max-body-bytes": 262144},
	})
}

// launch starts a process with its settings.
func (f *fleet) launch(name, text string) error {
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return err
	}
	f.logs = append(f.logs, log)
	command := exec.Command(program, argument)
	command.Env = append(os.Environ(), "SAFFRONPULLEY_CONFIG="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	f.processes, f.names = append(f.processes, command), append(f.names, name)
	return nil
}

// await waits until all entries are ready and the workers have been called.
func (f *fleet) await() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		ready := 0
		for _, address := range f.ready {
			client := http.Client{Timeout: time.Second}
			if response, err := client.Get("http://" + address + "/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		called := 0
		for _, w := range f.workers {
			w.mu.Lock()
			if w.fence > 0 {
				called++
			}
			w.mu.Unlock()
		}
		if ready == len(f.ready) && called == len(f.workers) {
			time.Sleep(2 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the deployment did not become ready")
}

// close ends all processes.
func (f *fleet) close() {
	if f == nil {
		return
	}
	for _, p := range f.processes {
		_ = p.Process.Kill()
	}
	for _, p := range f.processes {
		_ = p.Wait()
	}
	for _, log := range f.logs {
		_ = log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs:", f.dir)
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return nil
}

// freePorts returns ports that are free on an address. They are below the ephemeral ports, which outgoing connections may take.
func freePorts(ip string, count int) ([]int, error) {
	var found []int
	for port := 11000 + os.Getpid()%15000; port < 32000 && len(found) < count; port++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		found = append(found, port)
	}
	if len(found) < count {
		return nil, fmt.Errorf("no free ports")
	}
	return found, nil
}
