package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const stageKey = "stage"

// verbs are the commands of the scenarios.
var verbs map[string]func(*Stage, []string) (string, error)

func init() {
	verbs = map[string]func(*Stage, []string) (string, error){
		"cluster": (*Stage).cluster,
		"start":   (*Stage).startVerb,
		"crash":   (*Stage).crashVerb,
		"term":    (*Stage).termVerb,
		"freeze":  (*Stage).freezeVerb,
		"thaw":    (*Stage).thawVerb,
		"hangup":  func(s *Stage, a []string) (string, error) { return s.signalAll(a, syscall.SIGHUP) },
		"cut":     func(s *Stage, a []string) (string, error) { return "", s.setCut(a[0], a[1], true) },
		"heal":    func(s *Stage, a []string) (string, error) { return "", s.setCut(a[0], a[1], false) },
		"fault":   (*Stage).faultVerb,
		"list":    (*Stage).listVerb,
		"request": (*Stage).requestVerb,
		"race":    (*Stage).raceVerb,
		"idle":    (*Stage).idleVerb,
		"job":     (*Stage).jobVerb,
		"api":     (*Stage).apiVerb,
		"await":   (*Stage).awaitVerb,
		"load":    (*Stage).loadVerb,
		"unload":  (*Stage).unloadVerb,
		"books":   (*Stage).booksVerb,
		"pause":   (*Stage).pauseVerb,
	}
}

// Params returns the parameters of testscript with the verbs; binaries is the directory of the built programs.
func Params(dir, binaries string) testscript.Params {
	commands := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, run := range verbs {
		commands[name] = command(run)
	}
	return testscript.Params{
		Dir:   dir,
		Setup: func(env *testscript.Env) error { return setUp(env, binaries) },
		Cmds:  commands,
	}
}

func setUp(env *testscript.Env, binaries string) error {
	docs, err := filepath.Abs(filepath.Join("..", "..", "docs"))
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(env.WorkDir, "stage")
	if err != nil {
		return err
	}
	s := New(binaries, dir)
	env.Values[stageKey] = s
	env.Setenv("DOCS", docs)
	env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(s.Close)
	return nil
}

// command makes a testscript command of a verb. It logs the verb's text and fails the script on an error; the file named by
// STAGE_LOGS then gets the processes' output.
func command(run func(*Stage, []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s, ok := ts.Value(stageKey).(*Stage)
		if !ok {
			ts.Fatalf("the script has no stage")
		}
		text, err := run(s, args)
		if text != "" {
			ts.Logf("%s", text)
		}
		ts.Setenv("SAFFRONPULLEY_ENTRIES", s.adminAddresses())
		switch {
		case err != nil && !neg:
			if path := os.Getenv("STAGE_LOGS"); path != "" {
				_ = os.WriteFile(path, []byte(s.Logs()), 0o600)
			}
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("the verb succeeded, but was expected to fail")
		}
	}
}

func (s *Stage) adminAddresses() string {
	var addresses []string
	for i := 1; ; i++ {
		address, err := s.address("e"+strconv.Itoa(i), "admin")
		if err != nil {
			return strings.Join(addresses, "\n")
		}
		addresses = append(addresses, address)
	}
}

// options splits arguments into options of the form key=value and the rest.
func options(args []string) (map[string]string, []string) {
	values := make(map[string]string)
	var rest []string
	for _, a := range args {
		if key, value, ok := strings.Cut(a, "="); ok {
			values[key] = value
			continue
		}
		rest = append(rest, a)
	}
	return values, rest
}

func intOption(values map[string]string, key string, fallback int) int {
	if n, err := strconv.Atoi(values[key]); err == nil {
		return n
	}
	return fallback
}

// cluster starts a store, a VM list, workers, agents and entries, and waits until they are ready.
//
// It takes entries=N, workers=N, racks=N (workers per rack), hall=NAME, processors=N, and set.KEY=VALUE for settings.
func (s *Stage) cluster(args []string) (string, error) {
	values, _ := options(args)
	for key, value := range values {
		if setting, ok := strings.CutPrefix(key, "set."); ok {
			s.extraSettings[setting] = value
		}
	}
	if err := errors.Join(s.startStandin("store", "store"), s.startStandin("vms", "vms")); err != nil {
		return "", err
	}
	workers, entries := intOption(values, "workers", 3), intOption(values, "entries", 2)
	for i := 1; i <= workers; i++ {
		if err := s.addWorker(strconv.Itoa(i), 1+(i-1)/intOption(values, "racks", 3), values); err != nil {
			return "", err
		}
	}
	for i := 1; i <= entries; i++ {
		name := "e" + strconv.Itoa(i)
		if err := s.defineDaemon(name, map[string]string{"role": "entry", "hall": hallOption(values)}); err != nil {
			return "", err
		}
		if err := s.start(name); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d processes run", len(s.processes)), s.awaitReady(workers)
}

func hallOption(values map[string]string) string {
	if h, ok := values["hall"]; ok {
		return h
	}
	return "cordoba"
}

// addWorker starts a worker with its agent and adds it to the VM list.
func (s *Stage) addWorker(number string, rack int, values map[string]string) error {
	args := []string{"worker", "--instance", "vm-" + number}
	for _, flag := range []string{"processors", "memory", "accelerators", "runtime", "service"} {
		if value, ok := values[flag]; ok {
			args = append(args, "--"+flag, value)
		}
	}
	if err := s.startStandin("w"+number, args...); err != nil {
		return err
	}
	if _, err := s.setVM("vm-"+number, hallOption(values), rack, "live"); err != nil {
		return err
	}
	address, _ := s.relay("w"+number, "listening", "")
	err := s.defineDaemon("a"+number, map[string]string{
		"role": "agent", "hall": hallOption(values), "rack": strconv.Itoa(rack), "worker.address": address,
	})
	if err != nil {
		return err
	}
	return s.start("a" + number)
}

func (s *Stage) setVM(instance, hall string, rack int, state string) (string, error) {
	address, err := s.address("vms", "listening")
	if err != nil {
		return "", err
	}
	line, err := json.Marshal(map[string]any{"instance": instance, "hall": hall, "rack": rack, "state": state})
	if err != nil {
		return "", err
	}
	_, _, _, err = s.post("POST", "http://"+address+"/control/set", line, nil)
	return "", err
}

// listVerb sets a line of the VM list: INSTANCE STATE [hall=NAME] [rack=N].
func (s *Stage) listVerb(args []string) (string, error) {
	values, rest := options(args)
	return s.setVM(rest[0], hallOption(values), intOption(values, "rack", 1), rest[1])
}

func (s *Stage) startVerb(args []string) (string, error) {
	return "", forEach(args, s.start)
}

func forEach(names []string, do func(string) error) error {
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

// crashVerb kills processes; a worker's history is saved first.
func (s *Stage) crashVerb(args []string) (string, error) {
	return "", forEach(args, func(name string) error {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		if strings.HasPrefix(name, "w") {
			if err := s.saveHistory(name); err != nil {
				return err
			}
		}
		if err := p.signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-p.ended
		return nil
	})
}

// termVerb terminates processes gracefully and waits for their end.
func (s *Stage) termVerb(args []string) (string, error) {
	return "", forEach(args, func(name string) error {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		if err := p.signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-p.ended:
		case <-time.After(30 * time.Second):
			return fmt.Errorf("%s did not end", name)
		}
		if p.exit != 0 {
			return fmt.Errorf("%s ended with code %d: %s", name, p.exit, p.log)
		}
		return nil
	})
}

func (s *Stage) freezeVerb(args []string) (string, error) { return s.signalAll(args, syscall.SIGSTOP) }

func (s *Stage) thawVerb(args []string) (string, error) { return s.signalAll(args, syscall.SIGCONT) }

func (s *Stage) signalAll(args []string, signal syscall.Signal) (string, error) {
	return "", forEach(args, func(name string) error {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		return p.signal(signal)
	})
}

// faultVerb injects a fault into a stand-in: NAME FAULT, with FAULT as its control path takes it.
func (s *Stage) faultVerb(args []string) (string, error) {
	address, err := s.address(args[0], "listening")
	if err != nil {
		return "", err
	}
	status, body, _, err := s.post("POST", "http://"+address+"/control/"+args[1], nil, nil)
	if err == nil && status != 200 {
		err = fmt.Errorf("%s answered %d: %s", args[0], status, body)
	}
	return "", err
}

// pauseVerb waits for a fixed time, such as the expiry of a lease. Waiting for a state is done with await.
func (s *Stage) pauseVerb(args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	<-time.After(d)
	return "", nil
}
