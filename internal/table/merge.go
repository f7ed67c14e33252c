package table

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Edit is a complete table that an operator submits, with the version that it is based on.
type Edit struct {
	base    uint64
	rows    []Row
	author  string
	writeID string
}

// NewEdit returns an edit based on a version; no other edit may have the same write identifier.
func NewEdit(base uint64, rows []Row, author, writeID string) Edit {
	return Edit{base: base, rows: rows, author: author, writeID: writeID}
}

// Apply returns the table with the edit merged in; an edit that was already accepted changes nothing.
//
// Rows changed since the base of the edit are kept; a row changed by both is a Conflict.
func (t Table) Apply(e Edit, at time.Time) (Table, error) {
	if t.accepted(e.writeID) {
		return t, nil
	}
	base, err := t.rowsAt(e.base)
	if err != nil {
		return t, err
	}
	edits := Diff(base, e.rows)
	if err := t.checkConflicts(base, edits); err != nil {
		return t, err
	}
	edits = t.withoutNoOps(edits)
	if len(edits) == 0 {
		return t, nil
	}
	return t.withChange(Change{version: t.version + 1, author: e.author, writeID: e.writeID, at: at, edits: edits}), nil
}

func (t Table) accepted(writeID string) bool {
	return slices.ContainsFunc(t.history, func(c Change) bool { return c.writeID == writeID })
}

func (t Table) rowsAt(version uint64) (map[string]Row, error) {
	rows := rowMap(t.rows)
	if version > t.version {
		return nil, fault.New(fault.Conflict, "version %d does not exist yet; the table is at %d", version, t.version)
	}
	oldest := t.version - uint64(len(t.history))
	if version < oldest {
		return nil, fault.New(fault.Conflict, "version %d is too old to merge; start again from version %d", version, t.version)
	}
	for i := len(t.history) - 1; i >= 0 && t.history[i].version > version; i-- {
		undo(rows, t.history[i])
	}
	return rows, nil
}

func undo(rows map[string]Row, c Change) {
	for _, e := range c.edits {
		if e.before == nil {
			delete(rows, e.after.workload)
			continue
		}
		rows[e.before.workload] = *e.before
	}
}

// Diff returns the edits that turn the base into the wanted rows, ordered by workload.
func Diff(base map[string]Row, wanted []Row) []RowEdit {
	var edits []RowEdit
	wantedRows := rowMap(wanted)
	for name, r := range base {
		if _, ok := wantedRows[name]; !ok {
			edits = append(edits, RowEdit{before: &r})
		}
	}
	for _, w := range wanted {
		r, ok := base[w.workload]
		switch {
		case !ok:
			edits = append(edits, RowEdit{after: &w})
		case r != w:
			edits = append(edits, RowEdit{before: &r, after: &w})
		}
	}
	slices.SortFunc(edits, func(a, b RowEdit) int { return strings.Compare(a.Workload(), b.Workload()) })
	return edits
}

// DiffRows returns the edits that turn one set of rows into another, ordered by workload.
func DiffRows(base, wanted []Row) []RowEdit { return Diff(rowMap(base), wanted) }

func (t Table) checkConflicts(base map[string]Row, edits []RowEdit) error {
	var conflicts []string
	for _, e := range edits {
		theirs := RowEdit{}
		if r, ok := base[e.Workload()]; ok {
			theirs.before = &r
		}
		if r, ok := t.Row(e.Workload()); ok {
			theirs.after = &r
		}
		if sameRow(theirs.before, theirs.after) || sameRow(theirs.after, e.after) {
			continue
		}
		conflicts = append(conflicts, describeConflict(e, theirs))
	}
	if len(conflicts) == 0 {
		return nil
	}
	return fault.New(fault.Conflict, "%d rows were changed by another edit since; nothing was changed:\n%s",
		len(conflicts), strings.Join(conflicts, "\n"))
}

func sameRow(a, b *Row) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func describeConflict(ours, theirs RowEdit) string {
	if ours.after == nil || theirs.after == nil {
		return fmt.Sprintf("row %q: removed by one and changed by the other", ours.Workload())
	}
	difference := RowEdit{before: theirs.after, after: ours.after}
	var lines []string
	for _, c := range difference.Cells() {
		lines = append(lines, fmt.Sprintf("row %q, column %s: it is now %q, the edit wants %q",
			ours.Workload(), c.column, c.before, c.after))
	}
	return strings.Join(lines, "\n")
}

func (t Table) withoutNoOps(edits []RowEdit) []RowEdit {
	return slices.DeleteFunc(edits, func(e RowEdit) bool {
		r, ok := t.Row(e.Workload())
		if !ok {
			return e.after == nil
		}
		return sameRow(&r, e.after)
	})
}

func (t Table) withChange(c Change) Table {
	rows := rowMap(t.rows)
	for _, e := range c.edits {
		if e.after == nil {
			delete(rows, e.before.workload)
			continue
		}
		rows[e.after.workload] = *e.after
	}
	next := Table{version: c.version}
	for _, r := range rows {
		next.rows = append(next.rows, r)
	}
	next.rows = sorted(next.rows)
	next.history = append(slices.Clone(t.history), c)
	if len(next.history) > HistoryLimit {
		next.history = next.history[len(next.history)-HistoryLimit:]
	}
	return next
}
