package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"slices"
	"strings"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// MaxRows is the maximum number of rows, so that the encoded table fits a value of the store.
const MaxRows = 2000

// CellError describes an invalid cell.
type CellError struct {
	line    int
	row     string
	column  string
	value   string
	allowed string
}

// Error returns a message with the row, the column, the value and the allowed values.
func (e CellError) Error() string {
	return fmt.Sprintf("line %d, row %q, column %s: %q is not right; use %s", e.line, e.row, e.column, e.value, e.allowed)
}

// Parse reads rows from CSV with a heading line and reports all invalid cells in one error.
func Parse(text []byte) ([]Row, error) {
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))))
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = true
	records, err := reader.ReadAll()
	if err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "the table is not CSV")
	}
	if len(records) == 0 {
		return nil, fault.New(fault.BadInput, "the table has no heading line")
	}
	if len(records) > MaxRows+1 {
		return nil, fault.New(fault.BadInput, "the table has %d rows; the limit is %d", len(records)-1, MaxRows)
	}
	heading, err := readHeading(records[0])
	if err != nil {
		return nil, err
	}
	return parseRows(heading, records[1:])
}

func readHeading(cells []string) ([]Column, error) {
	heading := make([]Column, 0, len(cells))
	for _, cell := range cells {
		i := slices.IndexFunc(columns, func(c Column) bool { return c.name == strings.TrimSpace(cell) })
		if i < 0 {
			return nil, fault.New(fault.BadInput, "line 1: there is no column %q; the columns are %s", cell, columnNames())
		}
		if slices.ContainsFunc(heading, func(c Column) bool { return c.name == columns[i].name }) {
			return nil, fault.New(fault.BadInput, "line 1: column %s is repeated", columns[i].name)
		}
		heading = append(heading, columns[i])
	}
	return heading, nil
}

func columnNames() string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}

func parseRows(heading []Column, records [][]string) ([]Row, error) {
	var problems []string
	rows := make([]Row, 0, len(records))
	for i, record := range records {
		line := i + 2
		row, invalid := parseRow(heading, record, line)
		for _, e := range invalid {
			problems = append(problems, e.Error())
		}
		rows = append(rows, row)
	}
	if len(problems) == 0 {
		problems = checkRows(rows)
	}
	if len(problems) > 0 {
		return nil, fault.New(fault.BadInput, "the table has %d problems:\n%s", len(problems), strings.Join(problems, "\n"))
	}
	return rows, nil
}

func parseRow(heading []Column, record []string, line int) (Row, []CellError) {
	var row Row
	var invalid []CellError
	cells := make(map[string]string, len(heading))
	for i, cell := range record {
		if i >= len(heading) {
			invalid = append(invalid, CellError{line: line, row: cells["workload"], column: "(none)", value: cell, allowed: "no more cells than headings"})
			break
		}
		cells[heading[i].name] = strings.TrimSpace(cell)
	}
	for _, c := range columns {
		cell := cells[c.name]
		if cell == "" {
			cell = c.defaultValue
		}
		if cells[c.name] != "" && !slices.Contains(c.kinds, row.kind) {
			allowed := "nothing in a row of kind " + row.kind.String()
			invalid = append(invalid, CellError{line: line, row: cells["workload"], column: c.name, value: cell, allowed: allowed})
			continue
		}
		if err := c.read(&row, cell); err != nil {
			invalid = append(invalid, CellError{line: line, row: cells["workload"], column: c.name, value: cell, allowed: c.allowed})
		}
	}
	return row, invalid
}

func checkRows(rows []Row) []string {
	var problems []string
	lines := make(map[string]int, len(rows))
	for i, r := range rows {
		line := i + 2
		if first, ok := lines[r.workload]; ok {
			problems = append(problems, fmt.Sprintf("line %d, row %q, column workload: it stands on line %d too; use another name", line, r.workload, first))
		}
		lines[r.workload] = line
		problems = append(problems, checkRow(r, line)...)
	}
	return problems
}

func checkRow(r Row, line int) []string {
	var problems []string
	if r.kind != Team && r.size.Processors() == 0 {
		problems = append(problems, CellError{line, r.workload, "processors", "0", "more than 0 for a task"}.Error())
	}
	if r.kind != Team && r.size.Memory() == 0 {
		problems = append(problems, CellError{line, r.workload, "memory_mb", "0", "more than 0 for a task"}.Error())
	}
	if r.kind == Team && r.team != r.workload {
		problems = append(problems, CellError{line, r.workload, "team", r.team, "the name of the team's own row"}.Error())
	}
	return problems
}

// Format returns the rows as CSV with a heading line, in the order of the columns.
func Format(rows []Row) []byte {
	var out bytes.Buffer
	writer := csv.NewWriter(&out)
	heading := make([]string, 0, len(columns))
	for _, c := range columns {
		heading = append(heading, c.name)
	}
	_ = writer.Write(heading)
	for _, r := range rows {
		_ = writer.Write(r.cells())
	}
	writer.Flush()
	return out.Bytes()
}

func (r Row) cells() []string {
	cells := make([]string, 0, len(columns))
	for _, c := range columns {
		cell := ""
		if slices.Contains(c.kinds, r.kind) {
			cell = c.write(r)
		}
		cells = append(cells, cell)
	}
	return cells
}
