package stage

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
)

// region is the state of the region in an entry's status answer.
type region struct {
	TableVersion uint64               `json:"table_version"`
	Cells        []control.CellStatus `json:"cells"`
	Unreachable  []string             `json:"cells_without_lead"`
	Endpoints    map[string]int       `json:"endpoints"`
}

func (s *Stage) region(entry string) (region, error) {
	var r region
	address, err := s.address(entry, "admin")
	if err != nil {
		return r, err
	}
	status, body, _, err := s.post("GET", "http://"+address+"/v1/status", nil, nil)
	if err != nil || status != http.StatusOK {
		return r, fmt.Errorf("cannot read the status: %d %w", status, err)
	}
	return r, json.Unmarshal(body, &r)
}

// awaitReady waits until each entry is ready and lists all workers.
func (s *Stage) awaitReady(workers int) error {
	return eventually(awaitTimeout, func() error {
		for name, p := range s.processes {
			if !strings.HasPrefix(name, "e") || !p.isRunning() {
				continue
			}
			address, err := s.address(name, "admin")
			if err != nil {
				return err
			}
			status, _, _, err := s.post("GET", "http://"+address+"/ready", nil, nil)
			if err != nil || status != http.StatusOK {
				return fmt.Errorf("%s is not ready: %d %w", name, status, err)
			}
			if err := s.checkWorkerCount(name, workers); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Stage) checkWorkerCount(entry string, workers int) error {
	r, err := s.region(entry)
	if err != nil {
		return err
	}
	live := 0
	for _, cell := range r.Cells {
		for _, w := range cell.Workers {
			if w.State == "live" {
				live++
			}
		}
	}
	if live < workers {
		return fmt.Errorf("%s lists %d live workers of %d", entry, live, workers)
	}
	return nil
}

// awaitVerb waits for a state, with [within=D] in place of awaitTimeout:
// job NAME ENTRY STATE | evictions NAME ENTRY N | running SERVICE ENTRY N | placed NAME ENTRY N |
// lead ENTRY [not=AGENT] | worker INSTANCE ENTRY STATE | ready N | table ENTRY VERSION | executed BODY N.
func (s *Stage) awaitVerb(args []string) (string, error) {
	values, rest := options(args)
	limit := awaitTimeout
	if d, err := time.ParseDuration(values["within"]); err == nil {
		limit = d
	}
	began := time.Now()
	err := eventually(limit, func() error { return s.checkState(rest, values) })
	return fmt.Sprintf("after %d ms", time.Since(began).Milliseconds()), err
}

func (s *Stage) checkState(rest []string, values map[string]string) error {
	switch rest[0] {
	case "job", "evictions", "placed":
		return s.checkJob(rest)
	case "ready":
		return s.awaitReady(intOption(map[string]string{"n": rest[1]}, "n", 0))
	case "executed":
		return s.checkExecuted(rest[1], rest[2])
	}
	entries := s.entries()
	if rest[0] != "running" {
		entries = []string{entryToQuery(rest)}
	}
	for _, entry := range entries {
		r, err := s.region(entry)
		if err != nil {
			return err
		}
		if err := r.check(rest, values); err != nil {
			return fmt.Errorf("%s: %w", entry, err)
		}
	}
	return nil
}

// entryToQuery returns the entry whose status shows the awaited state.
func entryToQuery(rest []string) string {
	if rest[0] == "lead" || rest[0] == "table" {
		return rest[1]
	}
	return rest[len(rest)-2]
}

// entries returns the running entries.
func (s *Stage) entries() []string {
	var names []string
	for name, p := range s.processes {
		if strings.HasPrefix(name, "e") && p.isRunning() {
			names = append(names, name)
		}
	}
	return names
}

func (s *Stage) checkExecuted(body, want string) error {
	_, executed, _, err := s.allHistories()
	if err == nil && strconv.Itoa(executed[body]) != want {
		err = fmt.Errorf("%q was run %d times", body, executed[body])
	}
	return err
}

func (s *Stage) checkJob(rest []string) error {
	state, err := s.job(rest[1], rest[2])
	if err != nil {
		return err
	}
	got := state.State
	switch rest[0] {
	case "evictions":
		got = strconv.Itoa(state.Evictions)
	case "placed":
		got = strconv.Itoa(state.Running)
	}
	if got != rest[3] {
		return fmt.Errorf("the job is %+v, not yet %s", state, rest[3])
	}
	return nil
}

func (r *region) check(rest []string, values map[string]string) error {
	switch rest[0] {
	case "lead":
		return r.checkLeader(values["not"])
	case "table":
		return r.checkTable(rest[2])
	case "running":
		return r.checkRunning(rest[1], rest[3])
	case "worker":
		return r.checkWorker(rest[1], rest[3])
	default:
		return fmt.Errorf("unknown state %s", rest[0])
	}
}

func (r *region) checkLeader(excluded string) error {
	if len(r.Cells) == 0 || len(r.Unreachable) > 0 || r.Cells[0].Leader == excluded {
		return fmt.Errorf("no new leader yet: %v", r.Unreachable)
	}
	return nil
}

func (r *region) checkTable(version string) error {
	for _, cell := range r.Cells {
		if strconv.FormatUint(cell.TableVersion, 10) != version {
			return fmt.Errorf("cell %s has version %d", cell.Cell, cell.TableVersion)
		}
	}
	if strconv.FormatUint(r.TableVersion, 10) != version || len(r.Unreachable) > 0 {
		return fmt.Errorf("the entry has version %d", r.TableVersion)
	}
	return nil
}

func (r *region) checkRunning(service, want string) error {
	running := 0
	for _, cell := range r.Cells {
		for _, v := range cell.Services {
			if v.Service == service {
				running += v.Running
			}
		}
	}
	if strconv.Itoa(running) != want || strconv.Itoa(r.Endpoints[service]) != want {
		return fmt.Errorf("%d replicas of %s run, and the entry lists %d", running, service, r.Endpoints[service])
	}
	return nil
}

func (r *region) checkWorker(instance, want string) error {
	for _, cell := range r.Cells {
		for _, w := range cell.Workers {
			if w.Instance == instance && w.State == want {
				return nil
			}
		}
	}
	return fmt.Errorf("worker %s is not %s", instance, want)
}
