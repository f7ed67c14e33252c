package stage

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// apiVerb runs the examples of a page against an entry: PAGE ENTRY. A block marked http is a request; the block marked
// answer after it holds the status and lines that the answer must contain. $JOB is the id of the latest job.
func (s *Stage) apiVerb(args []string) (string, error) {
	page, err := os.ReadFile(args[0])
	if err != nil {
		return "", err
	}
	address, err := s.address(args[1], "callers")
	if err != nil {
		return "", err
	}
	job, examples := "", 0
	var status int
	var answer []byte
	for _, block := range blocks(string(page)) {
		switch block.kind {
		case "http":
			status, answer, err = s.runExample(address, strings.ReplaceAll(block.text, "$JOB", job))
			if err != nil {
				return "", err
			}
			job = jobIDOf(answer, job)
		case "answer":
			examples++
			if err := checkExample(block.text, status, answer); err != nil {
				return "", err
			}
		}
	}
	if examples == 0 {
		return "", fmt.Errorf("%s has no examples", args[0])
	}
	return fmt.Sprintf("%d examples hold", examples), nil
}

type block struct{ kind, text string }

// blocks returns the fenced blocks of a page with their marks.
func blocks(page string) []block {
	var found []block
	for i, part := range strings.Split(page, "```") {
		kind, text, ok := strings.Cut(part, "\n")
		if i%2 == 1 && ok {
			found = append(found, block{kind: kind, text: text})
		}
	}
	return found
}

func (s *Stage) runExample(address, text string) (int, []byte, error) {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	headers := make(map[string]string)
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		headers[name] = value
	}
	status, answer, _, err := s.post(method, "http://"+address+path, []byte(strings.TrimSuffix(body, "\n")), headers)
	return status, answer, err
}

func jobIDOf(answer []byte, fallback string) string {
	var job struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(answer, &job) != nil || job.ID == "" {
		return fallback
	}
	return job.ID
}

func checkExample(text string, status int, answer []byte) error {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if strconv.Itoa(status) != lines[0] {
		return fmt.Errorf("the status is %d, not %s: %s", status, lines[0], answer)
	}
	for _, line := range lines[1:] {
		if !strings.Contains(string(answer), line) {
			return fmt.Errorf("the answer %s does not contain %s", answer, line)
		}
	}
	return nil
}
