package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// HeaderTableVersion is the response header with the version of the table.
const HeaderTableVersion = "X-Table-Version"

const (
	tableTimeout  = 8 * time.Second
	statusTimeout = 4 * time.Second
)

// HandleOperators serves the operators' HTTP API and reports whether the path belongs to it.
func (e *Entry) HandleOperators(ctx *fasthttp.RequestCtx) bool {
	switch path := string(ctx.Path()); {
	case path == "/v1/table" && ctx.IsGet():
		e.handleTable(ctx)
	case path == "/v1/table" && ctx.IsPost():
		e.handleApply(ctx)
	case path == "/v1/table/check" && ctx.IsPost():
		e.handleCheck(ctx)
	case path == "/v1/table/history" && ctx.IsGet():
		e.handleHistory(ctx)
	case path == "/v1/status" && ctx.IsGet():
		e.handleStatus(ctx)
	case strings.HasPrefix(path, "/v1/explain/") && ctx.IsGet():
		e.handleExplain(ctx, strings.TrimPrefix(path, "/v1/explain/"))
	case path == "/v1/timeline" && ctx.IsGet():
		e.handleTimeline(ctx)
	default:
		return false
	}
	return true
}

func (e *Entry) handleTable(ctx *fasthttp.RequestCtx) {
	t, _, loaded := e.tableDocument.Current()
	if !loaded {
		writeError(ctx, fault.New(fault.Unavailable, "the table has not been read yet"))
		return
	}
	ctx.Response.Header.Set(HeaderTableVersion, strconv.FormatUint(t.Version(), 10))
	ctx.SetContentType("text/csv; charset=utf-8")
	ctx.SetBody(table.Format(t.Rows()))
}

func (e *Entry) handleCheck(ctx *fasthttp.RequestCtx) {
	rows, err := table.Parse(ctx.Request.Body())
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, applyWire{Rows: len(rows)})
}

type applyWire struct {
	Version uint64 `json:"version"`
	Rows    int    `json:"rows"`
}

func (e *Entry) handleApply(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	base, err := strconv.ParseUint(string(args.Peek("base")), 10, 64)
	if err != nil {
		writeError(ctx, fault.New(fault.BadInput, "base is %q; give the version that the edit started from", args.Peek("base")))
		return
	}
	author, writeID := string(args.Peek("author")), string(args.Peek("write_id"))
	if writeID == "" || len(writeID) > maxKey || len(author) > maxKey {
		writeError(ctx, fault.New(fault.BadInput, "write_id must be given, and it and author be at most %d bytes long", maxKey))
		return
	}
	rows, err := table.Parse(ctx.Request.Body())
	if err != nil {
		writeError(ctx, err)
		return
	}
	applied, err := e.apply(table.NewEdit(base, rows, author, writeID))
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, applyWire{Version: applied, Rows: len(rows)})
}

// apply merges an edit into the table atomically and returns the version that contains it.
func (e *Entry) apply(edit table.Edit) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	if err := e.tableDocument.Load(ctx); err != nil {
		return 0, fault.Wrap(err, fault.Unavailable, "the table cannot be changed for now")
	}
	t, err := e.tableDocument.Update(ctx, func(t table.Table) (table.Table, bool, error) {
		next, err := t.Apply(edit, time.Now())
		return next, err == nil && next.Version() != t.Version(), err
	})
	if err != nil {
		return 0, err
	}
	e.Recorder.Record(timeline.TableAccepted, timeline.Subject{}, "table version "+strconv.FormatUint(t.Version(), 10))
	return t.Version(), nil
}

// changeWire is the JSON form of an accepted edit.
type changeWire struct {
	Version uint64     `json:"version"`
	Author  string     `json:"author"`
	Millis  int64      `json:"unix_ms"`
	Cells   []cellWire `json:"cells"`
}

type cellWire struct {
	Workload string `json:"workload"`
	Column   string `json:"column"`
	Before   string `json:"before"`
	After    string `json:"after"`
}

func (e *Entry) handleHistory(ctx *fasthttp.RequestCtx) {
	history := e.table().History()
	changes := make([]changeWire, 0, len(history))
	for _, c := range history {
		w := changeWire{Version: c.Version(), Author: c.Author(), Millis: c.At().UnixMilli()}
		for _, edit := range c.Edits() {
			for _, cell := range edit.Cells() {
				w.Cells = append(w.Cells, cellWire{
					Workload: edit.Workload(), Column: cell.Column(), Before: cell.Before(), After: cell.After(),
				})
			}
		}
		changes = append(changes, w)
	}
	writeJSON(ctx, fasthttp.StatusOK, changes)
}

// statusWire is the JSON form of the region's state as known to the entry.
type statusWire struct {
	Entry        string               `json:"entry"`
	TableVersion uint64               `json:"table_version"`
	Cells        []control.CellStatus `json:"cells"`
	Unreachable  []string             `json:"cells_without_lead"`
	// Endpoints is the number of endpoints of each service to which the entry sends requests.
	Endpoints map[string]int `json:"endpoints"`
}

func (e *Entry) handleStatus(ctx *fasthttp.RequestCtx) {
	callContext, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status := statusWire{Entry: e.ID, TableVersion: e.table().Version(), Unreachable: []string{}, Cells: []control.CellStatus{}, Endpoints: e.catalog.Counts()}
	for _, name := range e.catalog.CellNames() {
		cell, err := callLeader[control.StatusQuery, control.CellStatus](callContext, e, name, control.MethodStatus, control.StatusQuery{})
		if err != nil {
			status.Unreachable = append(status.Unreachable, name)
			continue
		}
		status.Cells = append(status.Cells, cell)
	}
	writeJSON(ctx, fasthttp.StatusOK, status)
}

// handleExplain queries each cell and returns the explanations found.
func (e *Entry) handleExplain(ctx *fasthttp.RequestCtx, name string) {
	callContext, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	lastErr := error(fault.New(fault.NotFound, "there is no task %s", name))
	explanations := []control.Explanation{}
	for _, cell := range e.catalog.CellNames() {
		explanation, err := callLeader[control.ExplainQuery, control.Explanation](callContext, e, cell, control.MethodExplain,
			control.ExplainQuery{Task: name})
		if err == nil {
			explanations = append(explanations, explanation)
			continue
		}
		if !fault.Is(err, fault.NotFound) {
			lastErr = err
		}
	}
	if len(explanations) == 0 {
		writeError(ctx, lastErr)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, explanations)
}

func (e *Entry) handleTimeline(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	callContext, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	events := e.Recorder.Since(timeline.Stamp(after))
	for _, cell := range e.catalog.CellNames() {
		wires, err := callLeader[control.TimelineQuery, []timeline.WireEvent](callContext, e, cell, control.MethodTimeline,
			control.TimelineQuery{After: after})
		if err != nil {
			e.Logger.Debug("no events from cell %s: %v", cell, err)
			continue
		}
		events = append(events, timeline.Decode(wires)...)
	}
	timeline.Sort(events)
	writeJSON(ctx, fasthttp.StatusOK, timeline.Encode(events))
}
