package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const awaitTimeout = 30 * time.Second

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// errorBody is the part of an error answer that scenarios check.
type errorBody struct {
	Error struct {
		Kind string `json:"kind"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func errorKind(answer []byte) string {
	var e errorBody
	if json.Unmarshal(answer, &e) != nil || e.Error.Kind == "" {
		return "unreadable answer"
	}
	return e.Error.Kind
}

// requestVerb sends a request: ENTRY SERVICE [body=B] [key=K] [repeat=yes] [deadline=MS] [want=200|KIND,KIND] [within=MS].
func (s *Stage) requestVerb(args []string) (string, error) {
	values, rest := options(args)
	address, err := s.address(rest[0], "callers")
	if err != nil {
		return "", err
	}
	headers := make(map[string]string)
	for option, header := range map[string]string{"key": "X-Request-Key", "repeat": "X-Repeatable", "deadline": "X-Deadline-Ms"} {
		if value, ok := values[option]; ok {
			headers[header] = value
		}
	}
	began := time.Now()
	status, answer, responseHeaders, err := s.post("POST", "http://"+address+"/v1/services/"+rest[1], []byte(values["body"]), headers)
	took := time.Since(began)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d %s", status, answer), checkAnswer(values, status, answer, responseHeaders, took)
}

// raceVerb sends requests with the same key through several entries concurrently, all of which must get its answer:
// SERVICE KEY BODY ENTRY...
func (s *Stage) raceVerb(args []string) (string, error) {
	results := make(chan error, len(args))
	for _, entry := range args[3:] {
		go func() {
			_, err := s.requestVerb([]string{entry, args[0], "key=" + args[1], "body=" + args[2]})
			results <- err
		}()
	}
	var all []error
	for range args[3:] {
		all = append(all, <-results)
	}
	return "", errors.Join(all...)
}

// idleVerb checks that a worker executes no request for a time: NAME D.
func (s *Stage) idleVerb(args []string) (string, error) {
	before, err := s.requestCount(args[0])
	if err != nil {
		return "", err
	}
	if _, err := s.pauseVerb(args[1:]); err != nil {
		return "", err
	}
	after, err := s.requestCount(args[0])
	if err == nil && after != before {
		err = fmt.Errorf("%s executed %d requests", args[0], after-before)
	}
	return fmt.Sprintf("%s executed %d requests before", args[0], before), err
}

// requestCount returns how many requests a worker has executed.
func (s *Stage) requestCount(name string) (int, error) {
	history, err := s.history(name)
	total := 0
	for _, n := range history.Executed {
		total += n
	}
	return total, err
}

// checkAnswer checks an answer against the wanted status or error kinds; a 429 answer must have a Retry-After header.
func checkAnswer(values map[string]string, status int, answer []byte, headers http.Header, took time.Duration) error {
	want := values["want"]
	if want == "" {
		want = "200"
	}
	got := "200"
	if status != http.StatusOK {
		got = errorKind(answer)
	}
	if !slices.Contains(strings.Split(want, ","), got) {
		return fmt.Errorf("the answer is %s, not %s: %s", got, want, answer)
	}
	if got == "200" && string(answer) != values["body"] {
		return fmt.Errorf("the answer %q is not that of the request %q", answer, values["body"])
	}
	if status == http.StatusTooManyRequests && headers.Get("Retry-After") == "" {
		return errors.New("the answer has status 429 but no Retry-After header")
	}
	if limit := intOption(values, "within", 0); limit > 0 && took > time.Duration(limit)*time.Millisecond {
		return fmt.Errorf("the answer took %s", took)
	}
	return nil
}

// jobVerb submits a job: NAME ENTRY WORKLOAD TASKS [key=K] [want=KIND]; or cancels it: cancel NAME ENTRY.
func (s *Stage) jobVerb(args []string) (string, error) {
	values, rest := options(args)
	if rest[0] == "cancel" {
		return s.cancel(rest[1], rest[2])
	}
	address, err := s.address(rest[1], "callers")
	if err != nil {
		return "", err
	}
	body := fmt.Sprintf(`{"workload":%q,"tasks":%s,"key":%q}`, rest[2], rest[3], values["key"])
	status, answer, err := s.postJob("http://"+address+"/v1/jobs", body, values["retry"] == "yes")
	if err != nil {
		return "", err
	}
	if want, ok := values["want"]; ok && want != "accepted" {
		if kind := errorKind(answer); !slices.Contains(strings.Split(want, ","), kind) {
			return "", fmt.Errorf("the answer is %s, not %s: %s", kind, want, answer)
		}
		return string(answer), nil
	}
	var accepted struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(answer, &accepted); err != nil || status != http.StatusAccepted {
		return "", fmt.Errorf("the job is not accepted: %d %s", status, answer)
	}
	if same, ok := s.jobs[rest[0]]; ok && same != accepted.ID {
		return "", fmt.Errorf("the job is %s, and was %s before", accepted.ID, same)
	}
	s.jobs[rest[0]] = accepted.ID
	return string(answer), nil
}

// postJob submits a job; with retry it repeats a submission that is answered with status 503.
func (s *Stage) postJob(url, body string, retry bool) (int, []byte, error) {
	var status int
	var answer []byte
	err := eventually(awaitTimeout, func() error {
		var err error
		status, answer, _, err = s.post("POST", url, []byte(body), nil)
		if err == nil && retry && status == http.StatusServiceUnavailable {
			return fmt.Errorf("temporarily refused: %s", answer)
		}
		return err
	})
	return status, answer, err
}

func (s *Stage) cancel(name, entry string) (string, error) {
	address, err := s.address(entry, "callers")
	if err != nil {
		return "", err
	}
	status, answer, _, err := s.post("DELETE", "http://"+address+"/v1/jobs/"+s.jobs[name], nil, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the cancellation is refused: %s", answer)
	}
	return string(answer), err
}

// jobState is the state of a job in an entry's answer.
type jobState struct {
	State     string `json:"state"`
	Tasks     int    `json:"tasks"`
	Running   int    `json:"running"`
	Finished  int    `json:"finished"`
	Failed    int    `json:"failed"`
	Evictions int    `json:"evictions"`
	Waiting   string `json:"waiting_because"`
}

func (s *Stage) job(name, entry string) (jobState, error) {
	var state jobState
	address, err := s.address(entry, "callers")
	if err != nil {
		return state, err
	}
	status, answer, _, err := s.post("GET", "http://"+address+"/v1/jobs/"+s.jobs[name], nil, nil)
	if err != nil || status != http.StatusOK {
		return state, fmt.Errorf("cannot read the job: %d %s %w", status, answer, err)
	}
	return state, json.Unmarshal(answer, &state)
}

// loadVerb sends requests at a steady rate: NAME SERVICE ENTRY... [rate=N] [repeat=yes] [deadline=MS].
func (s *Stage) loadVerb(args []string) (string, error) {
	values, rest := options(args)
	headers := map[string]string{"X-Deadline-Ms": "5000"}
	if repeat, ok := values["repeat"]; ok {
		headers["X-Repeatable"] = repeat
	}
	if deadline, ok := values["deadline"]; ok {
		headers["X-Deadline-Ms"] = deadline
	}
	return "", s.startLoad(rest[0], rest[1], rest[2:], intOption(values, "rate", 100), headers)
}

// unloadVerb ends a load and checks its results: NAME [failed=N at most] [atleast=N answered].
func (s *Stage) unloadVerb(args []string) (string, error) {
	values, rest := options(args)
	l, ok := s.loads[rest[0]]
	if !ok {
		return "", fmt.Errorf("unknown load %s", rest[0])
	}
	l.stop()
	answered := l.results["200"]
	if allowed, given := values["failed"]; given && l.sent-answered > intOption(values, "failed", 0) {
		return "", fmt.Errorf("more than %s requests failed: %s", allowed, l.summary())
	}
	if answered < intOption(values, "atleast", 1) {
		return "", fmt.Errorf("too few requests were answered: %s", l.summary())
	}
	if l.results["wrong answer"] > 0 {
		return "", fmt.Errorf("wrong answers: %s", l.summary())
	}
	return l.summary(), nil
}

// booksVerb checks the histories of the workers, with spans=N their number of runs, and how often a request was executed:
// executed=BODY:N exactly, atmost=BODY:N at most.
func (s *Stage) booksVerb(args []string) (string, error) {
	if err := s.checkHistories(); err != nil {
		return "", err
	}
	spans, executed, _, err := s.allHistories()
	if err != nil {
		return "", err
	}
	values, _ := options(args)
	for key, value := range values {
		body, count, _ := strings.Cut(value, ":")
		want := intOption(map[string]string{"n": count}, "n", 0)
		if key == "spans" && strconv.Itoa(len(spans)) != value {
			return "", fmt.Errorf("the histories contain %d runs, not %s", len(spans), value)
		}
		if (key == "executed" && executed[body] != want) || (key == "atmost" && executed[body] > want) {
			return "", fmt.Errorf("%q was run %d times, not %s", body, executed[body], value)
		}
	}
	return fmt.Sprintf("%d runs and %d request bodies in the histories", len(spans), len(executed)), nil
}
