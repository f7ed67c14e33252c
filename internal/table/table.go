package table

import (
	"slices"
	"strings"
	"time"
)

// HistoryLimit is the number of accepted edits that a table keeps, which bounds how old the base of an edit may be.
const HistoryLimit = 64

// Table is a version of the rows together with the edits that led to it.
type Table struct {
	version uint64
	rows    []Row
	history []Change
}

// Change is one accepted edit.
type Change struct {
	version uint64
	author  string
	writeID string
	at      time.Time
	edits   []RowEdit
}

// RowEdit is the change of one row by an edit; nil stands for an absent row.
type RowEdit struct {
	before *Row
	after  *Row
}

// Version returns the number of the accepted edit, from 1; 0 is the empty table.
func (t Table) Version() uint64 { return t.version }

// Rows returns the rows ordered by workload; they must not be modified.
func (t Table) Rows() []Row { return t.rows }

// History returns the kept edits, oldest first.
func (t Table) History() []Change { return t.history }

// Row returns the row of a workload.
func (t Table) Row(workload string) (Row, bool) {
	i, ok := slices.BinarySearchFunc(t.rows, workload, func(r Row, name string) int { return strings.Compare(r.workload, name) })
	if !ok {
		return Row{}, false
	}
	return t.rows[i], true
}

// Version returns the version that the edit made.
func (c Change) Version() uint64 { return c.version }

// Author returns who made the edit.
func (c Change) Author() string { return c.author }

// WriteID returns the identifier that makes a repeated edit idempotent when its answer was lost.
func (c Change) WriteID() string { return c.writeID }

// At returns when the edit was accepted, by the clock of the entry.
func (c Change) At() time.Time { return c.at }

// Edits returns the change of each row.
func (c Change) Edits() []RowEdit { return c.edits }

// Workload returns the workload of the row.
func (e RowEdit) Workload() string {
	if e.after != nil {
		return e.after.workload
	}
	return e.before.workload
}

// Before returns the row before the edit, nil for a new one.
func (e RowEdit) Before() *Row { return e.before }

// After returns the row after the edit, nil for a removed one.
func (e RowEdit) After() *Row { return e.after }

// Cells returns the cells that the edit changed.
func (e RowEdit) Cells() []CellEdit {
	var cells []CellEdit
	for _, c := range columns {
		before, after := "", ""
		if e.before != nil {
			before = c.write(*e.before)
		}
		if e.after != nil {
			after = c.write(*e.after)
		}
		if before != after {
			cells = append(cells, CellEdit{column: c.name, before: before, after: after})
		}
	}
	return cells
}

// CellEdit is the change of one cell by an edit.
type CellEdit struct {
	column string
	before string
	after  string
}

// Column returns the heading of the column.
func (e CellEdit) Column() string { return e.column }

// Before returns the cell before the edit.
func (e CellEdit) Before() string { return e.before }

// After returns the cell after the edit.
func (e CellEdit) After() string { return e.after }

func sorted(rows []Row) []Row {
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.workload, b.workload) })
	return rows
}

func rowMap(rows []Row) map[string]Row {
	byName := make(map[string]Row, len(rows))
	for _, r := range rows {
		byName[r.workload] = r
	}
	return byName
}
