package table

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// TestScripts plays the files of testdata: each section is an edit "NAME base=N", or "want" with the table or the
// refusal that must come of the edit before it.
func TestScripts(t *testing.T) {
	scripttest.Each(t, play)
}

func play(t *testing.T, archive *txtar.Archive) {
	t.Helper()
	current := Table{}
	var last error
	for _, section := range archive.Files {
		name, base, isEdit := strings.Cut(section.Name, " base=")
		switch {
		case isEdit:
			var number uint64
			_, err := fmt.Sscan(base, &number)
			assert.NilError(t, err)
			current, last = edit(current, number, name, section.Data)
		case name == "want":
			assert.NilError(t, last)
			assert.Equal(t, shortened(current), string(section.Data))
		case name == "refused":
			assert.Assert(t, last != nil, "the edit was accepted")
			for line := range strings.Lines(string(section.Data)) {
				assert.ErrorContains(t, last, strings.TrimSpace(line))
			}
		}
	}
}

func edit(current Table, base uint64, author string, text []byte) (Table, error) {
	rows, err := Parse(text)
	if err != nil {
		return current, err
	}
	return current.Apply(NewEdit(base, rows, author, author), time.Unix(1, 0))
}

// shortened is the version, and of each row the cells that the scripts change.
func shortened(t Table) string {
	out := fmt.Sprintf("version %d\n", t.Version())
	for _, r := range t.Rows() {
		out += fmt.Sprintf("%s %s %d %d\n", r.Workload(), r.Kind(), r.Size().Processors(), r.Replicas())
	}
	return out
}

func TestEditIsAcceptedOnce(t *testing.T) {
	rows, err := Parse([]byte("workload,kind,team,processors,memory_mb\na,batch,t,1,1\n"))
	assert.NilError(t, err)
	once, err := Table{}.Apply(NewEdit(0, rows, "x", "id"), time.Unix(1, 0))
	assert.NilError(t, err)
	more, err := Parse([]byte("workload,kind,team,processors,memory_mb\nb,batch,t,1,1\n"))
	assert.NilError(t, err)
	other, err := once.Apply(NewEdit(1, more, "y", "other"), time.Unix(2, 0))
	assert.NilError(t, err)
	twice, err := other.Apply(NewEdit(0, rows, "x", "id"), time.Unix(3, 0))
	assert.NilError(t, err)
	assert.Equal(t, twice.Version(), other.Version())
}

func TestCodecKeepsRowsAndHistory(t *testing.T) {
	current := Table{}
	for i := range 5 {
		text := fmt.Sprintf("workload,kind,team,processors,memory_mb,replicas\na,service,t,%d.125,1,%d\nb,batch,t,1,1,\n", i+1, i)
		next, err := edit(current, current.Version(), fmt.Sprint("edit-", i), []byte(text))
		assert.NilError(t, err)
		current = next
	}
	value, err := Encode(current)
	assert.NilError(t, err)
	back, err := Decode(value)
	assert.NilError(t, err)
	assert.Equal(t, shortened(back), shortened(current))
	old, err := back.rowsAt(2)
	assert.NilError(t, err)
	assert.Equal(t, old["a"].Replicas(), 1)
	_, err = back.rowsAt(9)
	assert.Equal(t, fault.KindOf(err), fault.Conflict)
}

func TestOldEditsGoWhereTheTableIsLarge(t *testing.T) {
	var text strings.Builder
	text.WriteString("workload,kind,team,processors,memory_mb\n")
	for i := range MaxRows {
		fmt.Fprintf(&text, "a-rather-long-name-of-a-workload-%d,batch,a-team-with-a-long-name,1,1\n", i)
	}
	current := Table{}
	for i := range 20 {
		changed := strings.ReplaceAll(text.String(), ",1,1\n", fmt.Sprintf(",%d,1\n", i+1))
		next, err := edit(current, current.Version(), fmt.Sprint(i), []byte(changed))
		assert.NilError(t, err)
		current = next
	}
	value, err := Encode(current)
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= maxValue)
	back, err := Decode(value)
	assert.NilError(t, err)
	assert.Equal(t, len(back.Rows()), MaxRows)
	assert.Assert(t, len(back.History()) > 0 && len(back.History()) < 20)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("workload,kind,team,processors,memory_mb\na,batch,t,1,1\n"))
	f.Add([]byte("workload,kind\n\"a,b\n"))
	f.Add([]byte("\xef\xbb\xbfworkload;kind"))
	f.Fuzz(func(t *testing.T, text []byte) {
		rows, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(Format(rows))
		assert.NilError(t, err)
		assert.Equal(t, string(Format(again)), string(Format(rows)))
	})
}
