package lateness

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// event is a log line about a job.
type event struct {
	at      time.Duration
	message string
	fields  map[string]string
}

// linePattern matches the time in seconds (simulated, or since some start), the process and the rest of a line.
// messagePattern matches a message in the rest, which may be JSON.
var (
	linePattern    = regexp.MustCompile(`^\s*(-?[0-9.]+) \S+ (.*)$`)
	messagePattern = regexp.MustCompile(`(?:dispatch|intake): ([a-z ]+); ([^"]*)`)
)

// parse parses a log line and reports whether it is about a job.
func parse(text string) (event, bool) {
	lineMatch := linePattern.FindStringSubmatch(text)
	if lineMatch == nil {
		return event{}, false
	}
	seconds, err := strconv.ParseFloat(lineMatch[1], 64)
	if err != nil {
		return event{}, false
	}
	messageMatch := messagePattern.FindStringSubmatch(lineMatch[2])
	if messageMatch == nil {
		return event{}, false
	}
	e := event{at: time.Duration(seconds * float64(time.Second)), message: messageMatch[1], fields: make(map[string]string)}
	for _, word := range strings.Fields(messageMatch[2]) {
		if name, value, ok := strings.Cut(word, "="); ok {
			e.fields[name] = value
		}
	}
	return e, true
}

// millis returns a field in milliseconds, 0 if it is missing or not a number.
func (e event) millis(name string) time.Duration {
	n, err := strconv.ParseInt(e.fields[name], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// step returns the job, iteration and step of the event's task.
func (e event) step() string {
	parts := strings.Split(e.fields["task"], ".")
	return strings.Join(parts[:max(len(parts)-1, 0)], ".")
}
