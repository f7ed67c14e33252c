package logging

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Limits of the lines that a process logs: twice the rate of a busy leader in the users' largest deployment, and the
// size of a burst.
const (
	linesPerSecond = 1000
	burstLines     = 2000
	// bufferedLines is how many lines are buffered for a slow reader of the output before further lines are dropped.
	bufferedLines = 4096
	// flushTime is the time for writing the last lines when a process ends.
	flushTime = 50 * time.Millisecond
)

// Logger writes the messages of one component of a process; it never blocks on the reader of the output.
type Logger struct {
	logger *log.Logger
	prefix string
	limit  *lineLimit
}

// lineLimit limits the rate of a process's lines and counts those that are dropped.
type lineLimit struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns the logger of a process; level is debug, info, warn or error, and format json or console.
func New(level, format, process string) (Logger, error) {
	parsed := log.ParseLevel(level)
	if level != parsed.String() {
		return Logger{}, fault.New(fault.BadInput, "%q is not a log level; use debug, info, warn or error", level)
	}
	logger := &log.Logger{Level: parsed, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	logger.Context = log.NewContext(nil).Str("process", process).Value()
	switch format {
	case "json":
		logger.Writer = nonBlocking(log.IOWriter{Writer: os.Stdout})
	case "console":
		logger.Writer = nonBlocking(&log.ConsoleWriter{Writer: os.Stdout})
	default:
		return Logger{}, fault.New(fault.BadInput, "%q is not a log format; use json or console", format)
	}
	return Logger{logger: logger, limit: &lineLimit{limiter: rate.NewLimiter(linesPerSecond, burstLines)}}, nil
}

// nonBlocking returns a writer that drops lines instead of blocking.
func nonBlocking(w log.Writer) log.Writer {
	return &log.AsyncWriter{ChannelSize: bufferedLines, DiscardOnFull: true, Writer: w}
}

// Flush waits for the last lines to be written before the process ends.
func (l Logger) Flush() { time.Sleep(flushTime) }

// allowLine reports whether a line may be written, and first logs how many lines were dropped before it.
func (l Logger) allowLine() bool {
	if l.limit == nil {
		return true
	}
	if !l.limit.limiter.Allow() {
		l.limit.dropped.Add(1)
		return false
	}
	if dropped := l.limit.dropped.Swap(0); dropped > 0 {
		l.logger.Warn().Msgf("logging: %d lines were dropped, more than %d a second", dropped, linesPerSecond)
	}
	return true
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return Logger{logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}}
}

// Named returns the logger of a component, whose messages begin with its name.
func (l Logger) Named(name string) Logger {
	return Logger{logger: l.logger, prefix: name + ": ", limit: l.limit}
}

// maxMessage is the length of the longest message in bytes: errors may quote what other writers have sent.
const maxMessage = 2048

// message returns the text of a message, cut at maxMessage.
func (l Logger) message(format string, args []any) string {
	text := l.prefix + fmt.Sprintf(format, args...)
	if len(text) <= maxMessage {
		return text
	}
	return strings.ToValidUTF8(text[:maxMessage], "") + "..."
}

// Debug writes a message for troubleshooting.
func (l Logger) Debug(format string, args ...any) {
	if l.logger.Level <= log.DebugLevel && l.allowLine() {
		l.logger.Debug().Msg(l.message(format, args))
	}
}

// Info writes a message about normal operation.
func (l Logger) Info(format string, args ...any) {
	if l.logger.Level <= log.InfoLevel && l.allowLine() {
		l.logger.Info().Msg(l.message(format, args))
	}
}

// Warn writes a message about a problem that the process can handle.
func (l Logger) Warn(format string, args ...any) {
	if l.logger.Level <= log.WarnLevel && l.allowLine() {
		l.logger.Warn().Msg(l.message(format, args))
	}
}

// Error writes a message about a problem that needs attention.
func (l Logger) Error(format string, args ...any) {
	if l.logger.Level <= log.ErrorLevel && l.allowLine() {
		l.logger.Error().Msg(l.message(format, args))
	}
}
