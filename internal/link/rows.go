package link

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Row is the compact form of a running run. A number stands for its name on one connection, since names would make up most of a report.
type Row struct {
	number      uint64
	percent     int
	measurement int
	pace        int
	starting    bool
	// checkpoint is empty if unchanged since the previous report.
	checkpoint string
}

// RowName assigns to a run the number by which rows identify it from this report on.
type RowName struct {
	Run
	Row uint64 `json:"n"`
}

// MarshalJSON encodes the row as a list. Rows are most of what a leader reads, so they are encoded and decoded without reflection.
func (r Row) MarshalJSON() ([]byte, error) {
	text := append(make([]byte, 0, rowBytes), '[')
	text = strconv.AppendUint(text, r.number, 10)
	for _, value := range []int{r.percent, r.measurement, r.pace, boolToInt(r.starting)} {
		text = strconv.AppendInt(append(text, ','), int64(value), 10)
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

// rowBytes is the approximate size of an encoded row in bytes.
const rowBytes = 48

func boolToInt(on bool) int {
	if on {
		return 1
	}
	return 0
}

// UnmarshalJSON decodes a row from a list; errors are of kind BadInput.
func (r *Row) UnmarshalJSON(data []byte) error {
	rest, opened := bytes.CutPrefix(bytes.TrimSpace(data), []byte("["))
	rest, closed := bytes.CutSuffix(rest, []byte("]"))
	if !opened || !closed {
		return fault.New(fault.BadInput, "a row of a report is not a list")
	}
	var number, starting int
	hasCheckpoint := true
	for _, target := range []*int{&number, &r.percent, &r.measurement, &r.pace, &starting} {
		var value []byte
		value, rest, hasCheckpoint = bytes.Cut(rest, []byte(","))
		n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		if err != nil {
			return fault.Wrap(err, fault.BadInput, "a row of a report cannot be read")
		}
		*target = n
	}
	if number < 0 {
		return fault.New(fault.BadInput, "a row of a report has number %d", number)
	}
	r.number, r.starting = uint64(number), starting == 1
	if !hasCheckpoint {
		return nil
	}
	if err := json.Unmarshal(rest, &r.checkpoint); err != nil {
		return fault.Wrap(err, fault.BadInput, "the checkpoint of a row cannot be read")
	}
	return nil
}

// namedRow is a run with its number and its latest checkpoint.
type namedRow struct {
	run        Run
	number     uint64
	checkpoint string
}

// RowWriter encodes the runs of an agent's reports as rows, on one connection. It assumes that each report is answered: after an
// unanswered one the connection is closed and the writer discarded.
type RowWriter struct {
	named      map[Run]namedRow
	lastNumber uint64
}

// NewRowWriter returns a writer for a new connection.
func NewRowWriter() *RowWriter { return &RowWriter{named: make(map[Run]namedRow)} }

// Write returns the runs of a report as rows, with the names of the runs that are new on the connection. Checkpoints that don't fit into the report
// are written with later ones.
func (w *RowWriter) Write(running []Running) ([]Row, []RowName) {
	rows, names := make([]Row, 0, len(running)), []RowName(nil)
	named, budget := make(map[Run]namedRow, len(running)), NewCheckpointBudget()
	for _, r := range running {
		known, ok := w.named[r.Run]
		if !ok || known.checkpoint != "" && r.Checkpoint == "" {
			w.lastNumber++
			known = namedRow{run: r.Run, number: w.lastNumber}
			names = append(names, RowName{Run: r.Run, Row: known.number})
		}
		row := Row{number: known.number, percent: r.Percent, measurement: r.Measurement, pace: r.Pace, starting: r.Starting}
		if r.Checkpoint != known.checkpoint && budget.Take(r.Checkpoint) {
			row.checkpoint, known.checkpoint = r.Checkpoint, r.Checkpoint
		}
		named[r.Run] = known
		rows = append(rows, row)
	}
	w.named = named
	return rows, names
}

// RowReader decodes rows into runs, on one connection.
type RowReader struct {
	named map[uint64]namedRow
}

// NewRowReader returns a reader for a new connection.
func NewRowReader() *RowReader { return &RowReader{named: make(map[uint64]namedRow)} }

// Read returns the runs of a report. A row whose number has no name, as after a lost report, is a Conflict; the connection must then be
// closed.
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
			Run: known.run, Percent: row.percent, Measurement: row.measurement, Pace: row.pace, Checkpoint: known.checkpoint, Starting: row.starting,
		})
	}
	r.named = named
	return running, nil
}
