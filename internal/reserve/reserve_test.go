package reserve

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// planInterval is the time between two observations, that of the leader's plans.
const planInterval = 100 * time.Millisecond

// TestScripts plays the loads in the archives and compares the amount at the end of each line, which guards against a reserve
// that misses a load, keeps a past one, or ignores a loss of capacity.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		files := make(map[string]string)
		for _, f := range archive.Files {
			files[f.Name] = strings.TrimSpace(string(f.Data))
		}
		assert.Assert(t, files["load"] != "")
		var r Reserve
		var amounts []string
		now := time.Unix(0, 0)
		for line := range strings.Lines(files["load"]) {
			var length string
			var used, waiting, open int
			_, err := fmt.Sscanf(line, "%s used=%d waiting=%d open=%d", &length, &used, &waiting, &open)
			assert.NilError(t, err, line)
			duration, err := time.ParseDuration(length)
			assert.NilError(t, err, line)
			for end := now.Add(duration); now.Before(end); now = now.Add(planInterval) {
				r.Observe(now, used, waiting, open)
			}
			amounts = append(amounts, fmt.Sprint(r.Amount()))
		}
		assert.Equal(t, strings.Join(amounts, "\n"), files["amounts"])
	})
}

// TestAmountIsBoundedAndFollowsLoad guards against a negative amount, one above the limit, and a mean that does not converge.
func TestAmountIsBoundedAndFollowsLoad(t *testing.T) {
	const most = 1_000_000
	rapid.Check(t, func(t *rapid.T) {
		var r Reserve
		now := time.Unix(0, 0)
		observe := func(used, waiting, open int) {
			r.Observe(now, used, waiting, open)
			if amount := r.Amount(); amount < 0 || amount*10 > open {
				t.Fatalf("%d of an open capacity of %d is kept free", amount, open)
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "observations") {
			// The wall clock may step back between two plans.
			now = now.Add(time.Duration(rapid.IntRange(-500, 30_000).Draw(t, "elapsed")) * time.Millisecond)
			observe(rapid.IntRange(0, most).Draw(t, "used"), rapid.IntRange(0, most).Draw(t, "waiting"), rapid.IntRange(0, most).Draw(t, "open"))
		}
		used, waiting, open := rapid.IntRange(0, most).Draw(t, "constant used"), rapid.IntRange(0, most).Draw(t, "constant waiting"), rapid.IntRange(0, most).Draw(t, "constant open")
		for range 3000 {
			now = now.Add(planInterval)
			observe(used, waiting, open)
		}
		if want := min(used+waiting, open/10); r.Amount() != want {
			t.Fatalf("%d is kept free for a constant load of %d on %d, not %d", r.Amount(), used+waiting, open, want)
		}
	})
}
