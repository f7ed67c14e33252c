package logging

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Bounds of what a process logs: twice the lines of a busy lead on the users' largest deployment, and what a burst may add.
const (
	linesPerSecond = 1000
	burstLines     = 2000
	// waitingLines is how many lines wait for a slow reader of the output before more are left out.
	waitingLines = 4096
	// drainTime is how long the last lines have to be written when a process ends.
	drainTime = 50 * time.Millisecond
)

// Logger writes the sentences of one part of a process; it never waits for whoever reads them.
type Logger struct {
	logger *log.Logger
	prefix string
	gate   *gate
}

// gate bounds the lines of a process and counts those that are left out.
type gate struct {
	limiter *rate.Limiter
	left    atomic.Int64
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
		logger.Writer = unhurried(log.IOWriter{Writer: os.Stdout})
	case "console":
		logger.Writer = unhurried(&log.ConsoleWriter{Writer: os.Stdout})
	default:
		return Logger{}, fault.New(fault.BadInput, "%q is not a log format; use json or console", format)
	}
	return Logger{logger: logger, gate: &gate{limiter: rate.NewLimiter(linesPerSecond, burstLines)}}, nil
}

// unhurried returns a writer that drops lines rather than wait.
func unhurried(w log.Writer) log.Writer {
	return &log.AsyncWriter{ChannelSize: waitingLines, DiscardOnFull: true, Writer: w}
}

// Flush lets the last lines be written before the process ends.
func (l Logger) Flush() { time.Sleep(drainTime) }

// open reports whether a line may be written, and tells first how many were left out before it.
func (l Logger) open() bool {
	if l.gate == nil {
		return true
	}
	if !l.gate.limiter.Allow() {
		l.gate.left.Add(1)
		return false
	}
	if left := l.gate.left.Swap(0); left > 0 {
		l.logger.Warn().Msgf("logging: %d lines were left out, more than %d a second", left, linesPerSecond)
	}
	return true
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return Logger{logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}}
}

// Named returns the logger of a part, whose sentences begin with its name.
func (l Logger) Named(name string) Logger {
	return Logger{logger: l.logger, prefix: name + ": ", gate: l.gate}
}

// Debug writes a sentence for those who look for a fault.
func (l Logger) Debug(format string, args ...any) {
	if l.logger.Level <= log.DebugLevel && l.open() {
		l.logger.Debug().Msgf(l.prefix+format, args...)
	}
}

// Info writes a sentence about the ordinary course.
func (l Logger) Info(format string, args ...any) {
	if l.logger.Level <= log.InfoLevel && l.open() {
		l.logger.Info().Msgf(l.prefix+format, args...)
	}
}

// Warn writes a sentence about something that the process can live with.
func (l Logger) Warn(format string, args ...any) {
	if l.logger.Level <= log.WarnLevel && l.open() {
		l.logger.Warn().Msgf(l.prefix+format, args...)
	}
}

// Error writes a sentence about something that somebody has to look at.
func (l Logger) Error(format string, args ...any) {
	if l.logger.Level <= log.ErrorLevel && l.open() {
		l.logger.Error().Msgf(l.prefix+format, args...)
	}
}
