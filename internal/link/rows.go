package link

import (
	"bytes"
	"encoding/json"
	"strconv"

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

// RowName gives a run the number by which rows name it from this report on.
type RowName struct {
	Run
	Row uint64 `json:"n"`
}

// MarshalJSON writes the row as a list of its figures. Rows are most of what a lead reads, so they are written and read without reflection.
func (r Row) MarshalJSON() ([]byte, error) {
	text := append(make([]byte, 0, rowBytes), '[')
	text = strconv.AppendUint(text, r.number, 10)
	for _, figure := range []int{r.percent, r.figure, r.pace, flag(r.fresh)} {
		text = strconv.AppendInt(append(text, ','), int64(figure), 10)
	}
	if r.checkpoint != "" {
		checkpoint, err := json.Marshal(r.checkpoint)
		if err != nil {
			return nil, err
		}
		text = append(append(text, ','), checkpoint...)
	}
	return append(text, ']'), nil
}

// rowBytes is about how many bytes a row takes.
const rowBytes = 48

func flag(on bool) int {
	if on {
		return 1
	}
	return 0
}

// UnmarshalJSON reads such a list; the error is a BadInput.
func (r *Row) UnmarshalJSON(data []byte) error {
	rest, opened := bytes.CutPrefix(bytes.TrimSpace(data), []byte("["))
	rest, closed := bytes.CutSuffix(rest, []byte("]"))
	if !opened || !closed {
		return fault.New(fault.BadInput, "a row of a report is no list")
	}
	var number, fresh int
	more := true
	for _, into := range []*int{&number, &r.percent, &r.figure, &r.pace, &fresh} {
		var figure []byte
		figure, rest, more = bytes.Cut(rest, []byte(","))
		n, err := strconv.Atoi(string(bytes.TrimSpace(figure)))
		if err != nil {
			return fault.Wrap(err, fault.BadInput, "a row of a report cannot be read")
		}
		*into = n
	}
	if number < 0 {
		return fault.New(fault.BadInput, "a row of a report has number %d", number)
	}
	r.number, r.fresh = uint64(number), fresh == 1
	if !more {
		return nil
	}
	if err := json.Unmarshal(rest, &r.checkpoint); err != nil {
		return fault.Wrap(err, fault.BadInput, "the checkpoint of a row cannot be read")
	}
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
func (w *RowWriter) Write(running []Running) ([]Row, []RowName) {
	rows, names := make([]Row, 0, len(running)), []RowName(nil)
	named := make(map[Run]namedRow, len(running))
	for _, r := range running {
		known, ok := w.named[r.Run]
		if !ok || known.checkpoint != "" && r.Checkpoint == "" {
			w.last++
			known = namedRow{run: r.Run, number: w.last}
			names = append(names, RowName{Run: r.Run, Row: known.number})
		}
		row := Row{number: known.number, percent: r.Percent, figure: r.Measurement, pace: r.Pace, fresh: r.Starting}
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
func (r *RowReader) Read(rows []Row, names []RowName) ([]Running, error) {
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
			Run: known.run, Percent: row.percent, Measurement: row.figure, Pace: row.pace, Checkpoint: known.checkpoint, Starting: row.fresh,
		})
	}
	r.named = named
	return running, nil
}
