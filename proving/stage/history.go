package stage

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/proving/platform"
)

// deadWorker is the books of a worker at the moment it was ended.
type deadWorker struct {
	books platform.Books
	at    int64
}

func (s *Stage) books(name string) (platform.Books, error) {
	var books platform.Books
	address, err := s.address(name, "listening")
	if err != nil {
		return books, err
	}
	status, body, _, err := s.post("GET", "http://"+address+"/control/books", nil, nil)
	if err != nil || status != 200 {
		return books, fmt.Errorf("the books of %s cannot be read: %d %w", name, status, err)
	}
	return books, json.Unmarshal(body, &books)
}

// bury keeps the books of a worker that is about to be ended.
func (s *Stage) bury(name string) error {
	books, err := s.books(name)
	if err != nil {
		return err
	}
	s.buried = append(s.buried, deadWorker{books: books, at: time.Now().UnixMilli()})
	return nil
}

// allBooks returns the spans of all workers, dead ones closed at their death, with what was executed how often.
func (s *Stage) allBooks() ([]platform.Span, map[string]int, int, error) {
	var spans []platform.Span
	executed := make(map[string]int)
	over := 0
	add := func(books platform.Books) {
		spans = append(spans, books.Spans...)
		over += books.Over
		for body, n := range books.Executed {
			executed[body] += n
		}
	}
	for _, dead := range s.buried {
		for i := range dead.books.Spans {
			if dead.books.Spans[i].Until == 0 {
				dead.books.Spans[i].Until = dead.at
			}
		}
		add(dead.books)
	}
	for name, p := range s.processes {
		if !strings.HasPrefix(name, "w") || !p.isRunning() {
			continue
		}
		books, err := s.books(name)
		if err != nil {
			return nil, nil, 0, err
		}
		add(books)
	}
	return spans, executed, over, nil
}

// checkBooks judges the promises by the books of the workers.
func (s *Stage) checkBooks() error {
	spans, _, over, err := s.allBooks()
	if err != nil {
		return err
	}
	if over > 0 {
		return fmt.Errorf("a VM was committed beyond what it has %d times", over)
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

// checkTask checks that a task never ran in two places, that each run started once, and that it finished once.
func checkTask(key string, spans []platform.Span) error {
	seen := make(map[uint64]bool)
	finished := 0
	for i, span := range spans {
		if i > 0 && (spans[i-1].Until == 0 || spans[i-1].Until > span.From) {
			return fmt.Errorf("task %s ran in two places: %+v and %+v", key, spans[i-1], span)
		}
		if seen[span.Run.Incarnation] {
			return fmt.Errorf("task %s started twice as run %d", key, span.Run.Incarnation)
		}
		seen[span.Run.Incarnation] = true
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
