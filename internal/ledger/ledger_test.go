package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

func run(index int, incarnation task.Incarnation) task.Run {
	return task.NewRun(task.NewID("job", index), incarnation)
}

func TestAdmit(t *testing.T) {
	size := resource.New(600, 10, 0)
	cases := []struct {
		name    string
		prepare func(l *Ledger)
		run     task.Run
		want    fault.Kind
	}{
		{"room", func(*Ledger) {}, run(0, 1), -1},
		{"no room", func(l *Ledger) { _ = l.Admit(run(1, 1), size) }, run(0, 1), fault.DoesNotFit},
		{"again", func(l *Ledger) { _ = l.Admit(run(0, 1), size) }, run(0, 1), -1},
		{"earlier than the current run", func(l *Ledger) { _ = l.Admit(run(0, 2), size) }, run(0, 1), fault.Stale},
		{"later than the current run", func(l *Ledger) { _ = l.Admit(run(0, 1), size) }, run(0, 2), fault.DoesNotFit},
		{"ended", func(l *Ledger) { l.End(run(0, 1)) }, run(0, 1), fault.Stale},
		{"after the end of the previous run", func(l *Ledger) { l.End(run(0, 1)) }, run(0, 2), -1},
		{"adopted beyond capacity", func(l *Ledger) { l.Adopt(run(1, 1), resource.New(2000, 10, 0)) }, run(0, 1), fault.DoesNotFit},
		{"freed", func(l *Ledger) { _ = l.Admit(run(1, 1), size); l.End(run(1, 1)) }, run(0, 1), -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(resource.New(1000, 100, 0))
			c.prepare(l)
			err := l.Admit(c.run, size)
			if c.want < 0 {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, fault.KindOf(err), c.want)
		})
	}
}

func TestEndedRunIsRemembered(t *testing.T) {
	l := New(resource.New(1000, 100, 0))
	l.End(run(0, 7))
	for i := range tombstoneLimit {
		l.End(run(i+1, 1))
	}
	assert.Assert(t, l.HasEnded(run(0, 7)))
}
