package logging

import (
	"io"
	"os"

	"github.com/phuslu/log"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Logger writes the sentences of one part of a process.
type Logger struct {
	logger *log.Logger
	prefix string
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
		logger.Writer = log.IOWriter{Writer: os.Stdout}
	case "console":
		logger.Writer = &log.ConsoleWriter{Writer: os.Stdout}
	default:
		return Logger{}, fault.New(fault.BadInput, "%q is not a log format; use json or console", format)
	}
	return Logger{logger: logger}, nil
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return Logger{logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}}
}

// Part returns the logger of a part, whose sentences begin with its name.
func (l Logger) Part(name string) Logger {
	return Logger{logger: l.logger, prefix: name + ": "}
}

// Debug writes a sentence for those who look for a fault.
func (l Logger) Debug(format string, args ...any) { l.logger.Debug().Msgf(l.prefix+format, args...) }

// Info writes a sentence about the ordinary course.
func (l Logger) Info(format string, args ...any) { l.logger.Info().Msgf(l.prefix+format, args...) }

// Warn writes a sentence about something that the process can live with.
func (l Logger) Warn(format string, args ...any) { l.logger.Warn().Msgf(l.prefix+format, args...) }

// Error writes a sentence about something that somebody has to look at.
func (l Logger) Error(format string, args ...any) { l.logger.Error().Msgf(l.prefix+format, args...) }
