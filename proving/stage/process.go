package stage

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one process of the stage.
type Process struct {
	name      string
	args      []string
	source    string
	command   *exec.Cmd
	addresses map[string]string
	ended     chan struct{}
	exit      int
	log       *logFile
}

// logFile keeps the output of a process for the report of a failure.
type logFile struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logFile) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logFile) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const startTimeout = 20 * time.Second

var addressPattern = regexp.MustCompile(`(callers|peers|admin|requests|control|listening)[= ](\S+:\d+)`)

// start runs the process and waits until it has reported its addresses.
func (p *Process) start(binaries string) error {
	p.command = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	p.command.Stdout, p.command.Stderr = writer, writer
	if err := p.command.Start(); err != nil {
		return err
	}
	_ = writer.Close()
	listening := make(chan map[string]string, 1)
	go p.read(reader, listening)
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		_ = p.command.Wait()
		p.exit = p.command.ProcessState.ExitCode()
		close(ended)
	}()
	select {
	case p.addresses = <-listening:
		return nil
	case <-ended:
		return fmt.Errorf("%s ended during its start: %s", p.name, p.log)
	case <-time.After(startTimeout):
		return fmt.Errorf("%s did not report its addresses: %s", p.name, p.log)
	}
}

func (p *Process) read(from io.Reader, listening chan<- map[string]string) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		fmt.Fprintln(p.log, line)
		if !strings.Contains(line, "ready to start") && !strings.HasPrefix(line, "listening ") {
			continue
		}
		addresses := make(map[string]string)
		for _, match := range addressPattern.FindAllStringSubmatch(line, -1) {
			addresses[match[1]] = strings.Trim(match[2], `"`)
		}
		select {
		case listening <- addresses:
		default:
		}
	}
}

func (p *Process) isRunning() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *Process) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }
