package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

func TestVolumeIsLimitedAndDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	l := Logger{
		logger: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}},
		limit:  &lineLimit{limiter: rate.NewLimiter(0, 2)},
	}.Named("part")
	for range 5 {
		l.Info("a line")
		l.Debug("below the level, and not counted")
	}
	assert.Equal(t, strings.Count(out.String(), "part: a line"), 2)
	assert.Equal(t, l.limit.dropped.Load(), int64(3))
	l.limit.limiter.SetBurst(4)
	l.limit.limiter.SetLimit(rate.Inf)
	l.Warn("another")
	assert.Equal(t, strings.Count(out.String(), "3 lines were dropped"), 1)
	assert.Equal(t, strings.Count(out.String(), "part: another"), 1)
}

// TestMessagesAreBounded guards against log lines of a megabyte, when an error quotes what another writer has sent.
func TestMessagesAreBounded(t *testing.T) {
	var out bytes.Buffer
	l := Logger{logger: &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}}}.Named("part")
	l.Warn("entry skipped; key=%s reason=%s", "k", strings.Repeat("é", 1<<20))
	assert.Assert(t, out.Len() < 2*maxMessage, "the line has %d bytes", out.Len())
	assert.Assert(t, strings.Contains(out.String(), "part: entry skipped; key=k"))
	out.Reset()
	l.Warn("short; key=%s", "k")
	assert.Assert(t, strings.Contains(out.String(), `part: short; key=k"`))
}
