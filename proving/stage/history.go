package stage

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/proving/platform"
)

// endedWorker is the history of a worker that was killed, up to that time.
type endedWorker struct {
	history platform.WorkerHistory
	endedAt int64
}

func (s *Stage) history(name string) (platform.WorkerHistory, error) {
	var history platform.WorkerHistory
	address, err := s.address(name, "listening")
	if err != nil {
		return history, err
	}
	status, body, _, err := s.post("GET", "http://"+address+"/control/books", nil, nil)
	if err != nil || status != 200 {
		return history, fmt.Errorf("cannot read the history of %s: %d %w", name, status, err)
	}
	return history, json.Unmarshal(body, &history)
}

// saveHistory saves the history of a worker that is about to be killed.
func (s *Stage) saveHistory(name string) error {
	history, err := s.history(name)
	if err != nil {
		return err
	}
	s.endedWorkers = append(s.endedWorkers, endedWorker{history: history, endedAt: time.Now().UnixMilli()})
	return nil
}

// allHistories returns the spans of all workers, how often each request body was executed, and the number of
// overcommitments. Open spans of killed workers end with the worker.
func (s *Stage) allHistories() ([]platform.Span, map[string]int, int, error) {
	var spans []platform.Span
	executed := make(map[string]int)
	overcommitted := 0
	add := func(history platform.WorkerHistory) {
		spans = append(spans, history.Spans...)
		overcommitted += history.Overcommitted
		for body, n := range history.Executed {
			executed[body] += n
		}
	}
	for _, ended := range s.endedWorkers {
		for i := range ended.history.Spans {
			if ended.history.Spans[i].Until == 0 {
				ended.history.Spans[i].Until = ended.endedAt
			}
		}
		add(ended.history)
	}
	for name, p := range s.processes {
		if !strings.HasPrefix(name, "w") || !p.isRunning() {
			continue
		}
		history, err := s.history(name)
		if err != nil {
			return nil, nil, 0, err
		}
		add(history)
	}
	return spans, executed, overcommitted, nil
}

// checkHistories checks the invariants on the histories of all workers.
func (s *Stage) checkHistories() error {
	spans, _, overcommitted, err := s.allHistories()
	if err != nil {
		return err
	}
	if overcommitted > 0 {
		return fmt.Errorf("VMs were overcommitted %d times", overcommitted)
	}
	byTask := make(map[string][]platform.Span)
	for _, span := range spans {
		key := fmt.Sprintf("%s/%d", span.Run.Job, span.Run.Index)
		byTask[key] = append(byTask[key], span)
	}
	for key, list := range byTask {
		sort.Slice(list, func(i, j int) bool { return list[i].From < list[j].From })
		if err := checkTask(key, list); err != nil {
			return err
		}
	}
	return nil
}

// checkTask checks that a task never ran in two places, that each run started once, and that the task finished at most once.
func checkTask(key string, spans []platform.Span) error {
	started := make(map[uint64]bool)
	finished := 0
	for i, span := range spans {
		if i > 0 && (spans[i-1].Until == 0 || spans[i-1].Until > span.From) {
			return fmt.Errorf("task %s ran in two places: %+v and %+v", key, spans[i-1], span)
		}
		if started[span.Run.Incarnation] {
			return fmt.Errorf("task %s started twice as run %d", key, span.Run.Incarnation)
		}
		started[span.Run.Incarnation] = true
		if i > 0 && spans[i-1].State == "checkpointed" && span.Start < spans[i-1].End-1e-6 {
			return fmt.Errorf("task %s did not resume from its checkpoint: %+v after %+v", key, span, spans[i-1])
		}
		if span.State == "finished" {
			finished++
		}
	}
	if finished > 1 {
		return fmt.Errorf("task %s finished %d times", key, finished)
	}
	return nil
}
