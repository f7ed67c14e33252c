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

// TestScripts runs the files of testdata: a section is an edit "NAME base=N", or the table ("want") or the errors
// ("refused") expected after the edit before it.
func TestScripts(t *testing.T) {
	scripttest.Each(t, runScript)
}

func runScript(t *testing.T, archive *txtar.Archive) {
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
			current, last = applyEdit(current, number, name, section.Data)
		case name == "want":
			assert.NilError(t, last)
			assert.Equal(t, summary(current), string(section.Data))
		case name == "refused":
			assert.Assert(t, last != nil, "the edit was accepted")
			for line := range strings.Lines(string(section.Data)) {
				assert.ErrorContains(t, last, strings.TrimSpace(line))
			}
		}
	}
}

func applyEdit(current Table, base uint64, author string, text []byte) (Table, error) {
	rows, err := Parse(text)
	if err != nil {
		return current, err
	}
	return current.Apply(NewEdit(base, rows, author, author), time.Unix(1, 0))
}

// summary returns the version and, for each row, the cells that the scripts change.
func summary(t Table) string {
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
	otherRows, err := Parse([]byte("workload,kind,team,processors,memory_mb\nb,batch,t,1,1\n"))
	assert.NilError(t, err)
	other, err := once.Apply(NewEdit(1, otherRows, "y", "other"), time.Unix(2, 0))
	assert.NilError(t, err)
	twice, err := other.Apply(NewEdit(0, rows, "x", "id"), time.Unix(3, 0))
	assert.NilError(t, err)
	assert.Equal(t, twice.Version(), other.Version())
}

func TestCodecKeepsRowsAndHistory(t *testing.T) {
	current := Table{}
	for i := range 5 {
		text := fmt.Sprintf("workload,kind,team,processors,memory_mb,replicas\na,service,t,%d.125,1,%d\nb,batch,t,1,1,\n", i+1, i)
		next, err := applyEdit(current, current.Version(), fmt.Sprint("edit-", i), []byte(text))
		assert.NilError(t, err)
		current = next
	}
	value, err := Encode(current)
	assert.NilError(t, err)
	decoded, err := Decode(value)
	assert.NilError(t, err)
	assert.Equal(t, summary(decoded), summary(current))
	old, err := decoded.rowsAt(2)
	assert.NilError(t, err)
	assert.Equal(t, old["a"].Replicas(), 1)
	_, err = decoded.rowsAt(9)
	assert.Equal(t, fault.KindOf(err), fault.Conflict)
}

func TestOldEditsAreDroppedFromLargeTable(t *testing.T) {
	var text strings.Builder
	text.WriteString("workload,kind,team,processors,memory_mb\n")
	for i := range MaxRows {
		fmt.Fprintf(&text, "a-rather-long-name-of-a-workload-%d,batch,a-team-with-a-long-name,1,1\n", i)
	}
	current := Table{}
	for i := range 20 {
		changed := strings.ReplaceAll(text.String(), ",1,1\n", fmt.Sprintf(",%d,1\n", i+1))
		next, err := applyEdit(current, current.Version(), fmt.Sprint(i), []byte(changed))
		assert.NilError(t, err)
		current = next
	}
	value, err := Encode(current)
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= maxValue)
	decoded, err := Decode(value)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded.Rows()), MaxRows)
	assert.Assert(t, len(decoded.History()) > 0 && len(decoded.History()) < 20)
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
