package lateness

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// TestScripts reads logs and compares how the time of their jobs was spent.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		assert.Equal(t, len(archive.Files), 2)
		stats, err := Read(strings.NewReader(string(archive.Files[0].Data)))
		assert.NilError(t, err)
		var got strings.Builder
		for _, s := range stats {
			fmt.Fprintf(&got, "%s %s jobs=%d took=%s waiting=%s again=%s running=%s\n",
				s.Queue, s.Outcome, s.Jobs, s.Elapsed, s.Waiting, s.Retrying, s.Running)
		}
		assert.Equal(t, got.String(), string(archive.Files[1].Data))
	})
}
