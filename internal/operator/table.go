package operator

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/entry"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/table"
)

const (
	applyAttempts       = 5
	applyRetryDelay     = time.Second
	inForceTimeout      = 30 * time.Second
	inForcePollInterval = 200 * time.Millisecond
)

func (c *commands) tableShow() error {
	a, err := c.client.get("/v1/table")
	if err != nil {
		return err
	}
	_, _ = c.out.Write(a.body)
	fmt.Fprintf(os.Stderr, "# version %s\n", a.header(entry.HeaderTableVersion))
	return nil
}

func (c *commands) tableColumns() error {
	for _, column := range table.Columns() {
		kinds := make([]string, 0, len(column.Kinds()))
		for _, k := range column.Kinds() {
			kinds = append(kinds, k.String())
		}
		defaultText := column.Default()
		if defaultText == "" {
			defaultText = "must be given"
		}
		fmt.Fprintf(c.out, "%s (%s; %s)\n    %s Use %s.%s\n", column.Name(), strings.Join(kinds, ", "), defaultText,
			column.Description(), column.Allowed(), unitText(column))
	}
	return nil
}

func unitText(column table.Column) string {
	if column.Unit() == "" {
		return ""
	}
	return " In " + column.Unit() + "."
}

func (c *commands) tableCheck(read func() ([]byte, error)) error {
	content, err := read()
	if err != nil {
		return err
	}
	rows, err := table.Parse(content)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d rows are valid\n", len(rows))
	return nil
}

func (c *commands) tableDiff(read func() ([]byte, error)) error {
	content, err := read()
	if err != nil {
		return err
	}
	wanted, err := table.Parse(content)
	if err != nil {
		return err
	}
	a, err := c.client.get("/v1/table")
	if err != nil {
		return err
	}
	current, err := table.Parse(a.body)
	if err != nil {
		return err
	}
	writer := newTable(c.out, "ROW", "COLUMN", "NOW", "THEN")
	for _, edit := range table.DiffRows(current, wanted) {
		for _, cell := range edit.Cells() {
			writer.row(edit.Workload(), cell.Column(), cell.Before(), cell.After())
		}
	}
	writer.end()
	return nil
}

// applyResult is the answer to an accepted edit.
type applyResult struct {
	Version uint64 `json:"version"`
	Rows    int    `json:"rows"`
}

// tableApply sends the edit until an entry has accepted or refused it; the write identifier makes retries idempotent.
func (c *commands) tableApply(read func() ([]byte, error)) error {
	content, err := read()
	if err != nil {
		return err
	}
	if _, err := table.Parse(content); err != nil {
		return err
	}
	if c.writeID == "" {
		c.writeID = ulid.Make().String()
	}
	query := url.Values{"base": {strconv.FormatUint(c.base, 10)}, "author": {c.author}, "write_id": {c.writeID}}
	result, err := c.postEdit("/v1/table?"+query.Encode(), content)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "version %d is accepted\n", result.Version)
	if !c.wait {
		return nil
	}
	return c.awaitInForce(result.Version)
}

func (c *commands) postEdit(path string, content []byte) (applyResult, error) {
	var result applyResult
	var lastErr error
	for attempt := range applyAttempts {
		if attempt > 0 {
			<-time.After(applyRetryDelay)
		}
		a, err := c.client.post(path, content)
		if err == nil {
			if err := json.Unmarshal(a.body, &result); err != nil {
				return result, fault.Wrap(err, fault.Internal, "the entry's answer cannot be read")
			}
			return result, nil
		}
		lastErr = err
		if kind := fault.KindOf(err); kind != fault.Unavailable && kind != fault.OutcomeUnknown {
			return result, err
		}
	}
	return result, lastErr
}

// awaitInForce waits until the entry and each cell report the version.
func (c *commands) awaitInForce(version uint64) error {
	startedAt := time.Now()
	for time.Since(startedAt) < inForceTimeout {
		var s status
		if _, err := c.client.getJSON("/v1/status", &s); err == nil && s.inForce(version) {
			fmt.Fprintf(c.out, "version %d is in force after %d ms\n", version, time.Since(startedAt).Milliseconds())
			return nil
		}
		<-time.After(inForcePollInterval)
	}
	return fault.New(fault.Unavailable, "version %d is accepted, but after %s some cells have not reported it", version, inForceTimeout)
}

// status is the state of the region in an entry's response.
type status struct {
	Entry        string               `json:"entry"`
	TableVersion uint64               `json:"table_version"`
	Cells        []control.CellStatus `json:"cells"`
	Unreachable  []string             `json:"cells_without_lead"`
}

func (s *status) inForce(version uint64) bool {
	for _, cell := range s.Cells {
		if cell.TableVersion < version {
			return false
		}
	}
	return s.TableVersion >= version && len(s.Unreachable) == 0
}

// change is an accepted edit in an entry's response.
type change struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Millis  int64  `json:"unix_ms"`
	Cells   []struct {
		Workload string `json:"workload"`
		Column   string `json:"column"`
		Before   string `json:"before"`
		After    string `json:"after"`
	} `json:"cells"`
}

func (c *commands) tableHistory() error {
	var changes []change
	body, err := c.client.getJSON("/v1/table/history", &changes)
	if err != nil {
		return err
	}
	if c.output == "json" {
		_, _ = c.out.Write(body)
		return nil
	}
	writer := newTable(c.out, "VERSION", "WHEN", "AUTHOR", "ROW", "COLUMN", "BEFORE", "AFTER")
	for _, h := range changes {
		for _, cell := range h.Cells {
			writer.row(h.Version, stamp(h.Millis), h.Author, cell.Workload, cell.Column, cell.Before, cell.After)
		}
	}
	writer.end()
	return nil
}
