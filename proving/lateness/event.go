package lateness

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// event is a line of a log that tells of a job.
type event struct {
	at      time.Duration
	message string
	fields  map[string]string
}

// linePattern reads the simulated seconds, or those since some start, the process and the messagePattern; the messagePattern may stand in a JSON
// linePattern.
var (
	linePattern    = regexp.MustCompile(`^\s*(-?[0-9.]+) \S+ (.*)$`)
	messagePattern = regexp.MustCompile(`(?:dispatch|intake): ([a-z ]+); ([^"]*)`)
)

// parse reads a line of a log, false where it tells nothing of a job.
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

// millis returns a field that is a number of milliseconds, 0 where it is none.
func (e event) millis(name string) time.Duration {
	n, err := strconv.ParseInt(e.fields[name], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// step returns the job, its time and its step of the task that the event names.
func (e event) step() string {
	parts := strings.Split(e.fields["task"], ".")
	return strings.Join(parts[:max(len(parts)-1, 0)], ".")
}
