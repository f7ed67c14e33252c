package fleet

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 250 * time.Millisecond

// Process is a real program that is restarted whenever it ends.
type Process struct {
	name     string
	callers  string
	binaries string
	dir      string
	log      *os.File
	done     chan struct{}

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	// launchedAt is when the program was last started, hangups counts its ends by SIGHUP.
	launchedAt time.Time
	hangups    int
}

func newProcess(name, callers, binaries, dir string) *Process {
	return &Process{name: name, callers: callers, binaries: binaries, dir: dir, done: make(chan struct{})}
}

// start writes the settings and starts the program.
func (p *Process) start(settings string) error {
	path := settingsPath(p.dir, p.name)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log = log
	if err := p.launch(); err != nil {
		return err
	}
	go p.supervise()
	return nil
}

func (p *Process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return os.ErrProcessDone
	}
	command := exec.Command(filepath.Join(p.binaries, "saffronpulleyd"), "node")
	command.Env = append(os.Environ(), "SAFFRONPULLEY_CONFIG="+settingsPath(p.dir, p.name))
	command.Stdout, command.Stderr = p.log, p.log
	// The kernel kills the program if the soak is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command, p.launchedAt = command, time.Now()
	return startWithDefaultHangup(command)
}

// startWithDefaultHangup starts a program for which SIGHUP has its default action, also if this process ignores the signal, as under nohup: a program
// inherits that a signal is ignored, not that it is handled.
func startWithDefaultHangup(command *exec.Cmd) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return command.Start()
}

// supervise restarts the program whenever it ends.
func (p *Process) supervise() {
	defer close(p.done)
	for {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		// The error is ignored: most ends are kills.
		_ = command.Wait()
		p.recordEnd(command.ProcessState)
		<-time.After(restartDelay)
		if p.launch() != nil {
			return
		}
	}
}

// recordEnd records whether SIGHUP ended the program.
func (p *Process) recordEnd(state *os.ProcessState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() && status.Signal() == syscall.SIGHUP {
		p.hangups++
	}
}

// handlerTime is how long a program may take until it handles SIGHUP.
const handlerTime = 100 * time.Millisecond

// Reload makes the program read its settings again, unless it has just started.
func (p *Process) Reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.launchedAt) > handlerTime {
		// The error is ignored: the program may just have ended.
		_ = p.command.Process.Signal(syscall.SIGHUP)
	}
}

// Signal sends a signal to the running program.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The error is ignored: the program may just have ended.
	_ = p.command.Process.Signal(s)
}

// remove ends the program by a signal and does not start it again.
func (p *Process) remove(s syscall.Signal) {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.Signal(s)
}

func (p *Process) close() {
	p.mu.Lock()
	p.closing = true
	started := p.command != nil && p.command.Process != nil
	if started {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	if started && p.log != nil {
		<-p.done
		_ = p.log.Close()
	}
}
