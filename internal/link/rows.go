package link

import (
	"encoding/json"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Row is a run that a worker has, with a number that stands for its name on one connection: names are most of a report otherwise.
type Row struct {
	number  uint64
	percent int
	figure  int
	pace    int
	fresh   bool
	// checkpoint is empty where it is what the row had in the report before.
	checkpoint string
}

// Named gives a run the number by which rows name it from this report on.
type Named struct {
	Run
	Row uint64 `json:"n"`
}

// MarshalJSON writes the row as a list of its figures.
func (r Row) MarshalJSON() ([]byte, error) {
	fresh := 0
	if r.fresh {
		fresh = 1
	}
	figures := []any{r.number, r.percent, r.figure, r.pace, fresh}
	if r.checkpoint != "" {
		figures = append(figures, r.checkpoint)
	}
	return json.Marshal(figures)
}

// UnmarshalJSON reads such a list; the error is a BadInput.
func (r *Row) UnmarshalJSON(data []byte) error {
	var figures []json.RawMessage
	fresh := 0
	into := []any{&r.number, &r.percent, &r.figure, &r.pace, &fresh, &r.checkpoint}
	if err := json.Unmarshal(data, &figures); err != nil || len(figures) > len(into) || len(figures) < len(into)-1 {
		return fault.New(fault.BadInput, "a row of a report has %d figures", len(figures))
	}
	for i, figure := range figures {
		if err := json.Unmarshal(figure, into[i]); err != nil {
			return fault.Wrap(err, fault.BadInput, "a row of a report cannot be read")
		}
	}
	r.fresh = fresh == 1
	return nil
}

// namedRow is a run that a number stands for, with its latest checkpoint.
type namedRow struct {
	run        Run
	number     uint64
	checkpoint string
}

// RowWriter turns the runs of an agent's reports into rows, on one connection. What it writes counts only if the report is answered; else
// the connection ends, and the writer with it.
type RowWriter struct {
	named map[Run]namedRow
	last  uint64
}

// NewRowWriter returns the writer of a connection that has reported nothing.
func NewRowWriter() *RowWriter { return &RowWriter{named: make(map[Run]namedRow)} }

// Write returns the runs of a report as rows, and the names that are new.
func (w *RowWriter) Write(running []Running) ([]Row, []Named) {
	rows, names := make([]Row, 0, len(running)), []Named(nil)
	named := make(map[Run]namedRow, len(running))
	for _, r := range running {
		known, ok := w.named[r.Run]
		if !ok || known.checkpoint != "" && r.Checkpoint == "" {
			w.last++
			known = namedRow{run: r.Run, number: w.last}
			names = append(names, Named{Run: r.Run, Row: known.number})
		}
		row := Row{number: known.number, percent: r.Percent, figure: r.Figure, pace: r.Pace, fresh: r.Fresh}
		if r.Checkpoint != known.checkpoint {
			row.checkpoint, known.checkpoint = r.Checkpoint, r.Checkpoint
		}
		named[r.Run] = known
		rows = append(rows, row)
	}
	w.named = named
	return rows, names
}

// RowReader turns rows back into runs, on one connection.
type RowReader struct {
	named map[uint64]namedRow
}

// NewRowReader returns the reader of a connection on which nothing was reported.
func NewRowReader() *RowReader { return &RowReader{named: make(map[uint64]namedRow)} }

// Read returns the runs of a report. A row without a name, as after a report that the reader never had, is a Conflict: the reader
// guesses nothing, and the connection is of no use any more.
func (r *RowReader) Read(rows []Row, names []Named) ([]Running, error) {
	for _, n := range names {
		r.named[n.Row] = namedRow{run: n.Run, number: n.Row}
	}
	running, named := make([]Running, 0, len(rows)), make(map[uint64]namedRow, len(rows))
	for _, row := range rows {
		known, ok := r.named[row.number]
		if !ok {
			return nil, fault.New(fault.Conflict, "row %d of a report has no name", row.number)
		}
		if row.checkpoint != "" {
			known.checkpoint = row.checkpoint
		}
		named[row.number] = known
		running = append(running, Running{
			Run: known.run, Percent: row.percent, Figure: row.figure, Pace: row.pace, Checkpoint: known.checkpoint, Fresh: row.fresh,
		})
	}
	r.named = named
	return running, nil
}
