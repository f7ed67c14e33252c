package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const followInterval = time.Second

func (c *commands) status() error {
	var s status
	body, err := c.client.getJSON("/v1/status", &s)
	if err != nil {
		return err
	}
	if c.output == "json" {
		_, _ = c.out.Write(body)
		return nil
	}
	c.writeCells(&s)
	c.writeServices(&s)
	c.writeWorkers(&s)
	c.writeJobs(&s)
	return nil
}

func (c *commands) writeCells(s *status) {
	writer := newTable(c.out, "CELL", "LEAD", "EPOCH", "STORE", "TABLE", "COMMITS", "DOCUMENT")
	for _, cell := range s.Cells {
		store := "up"
		if !cell.StoreUp {
			store = "down"
		}
		writer.row(cell.Cell, cell.Leader, cell.Epoch, store, cell.TableVersion, cell.Commits, fmt.Sprintf("%d B", cell.DocumentSize))
	}
	for _, name := range s.Unreachable {
		writer.row(name, "(none)", "", "", "", "", "")
	}
	writer.end()
}

func (c *commands) writeServices(s *status) {
	writer := newTable(c.out, "SERVICE", "CELL", "REPLICAS", "RUNNING", "TARGET", "P99 OF TARGET", "WAITS BECAUSE")
	for _, cell := range s.Cells {
		for _, v := range cell.Services {
			writer.row(v.Service, cell.Cell, v.Replicas, v.Running, fmt.Sprintf("%d ms", v.TargetMillis), percent(v.Ratio), v.Waiting)
		}
	}
	writer.end()
}

func (c *commands) writeWorkers(s *status) {
	writer := newTable(c.out, "WORKER", "CELL", "RACK", "STATE", "TASKS", "COMMITTED", "SHARE")
	for _, cell := range s.Cells {
		for _, w := range cell.Workers {
			writer.row(w.Instance, cell.Cell, w.Rack, w.State, w.Tasks, w.Committed, percent(w.Share))
		}
	}
	writer.end()
}

func (c *commands) writeJobs(s *status) {
	writer := newTable(c.out, "JOB", "WORKLOAD", "STATE", "TASKS", "RUNNING", "FINISHED", "FAILED", "EVICTIONS", "WAITS BECAUSE")
	for _, cell := range s.Cells {
		for _, j := range cell.Jobs {
			writer.row(j.ID, j.Workload, j.State, j.Tasks, j.Running, j.Finished, j.Failed, j.Evictions, j.Waiting)
		}
	}
	writer.end()
}

func percent(share float64) string { return strconv.Itoa(int(share*100+0.5)) + " %" }

func stamp(millis int64) string { return time.UnixMilli(millis).Format("2006-01-02 15:04:05.000") }

func (c *commands) explain() error {
	var found []control.Explanation
	body, err := c.client.getJSON("/v1/explain/"+c.task, &found)
	if err != nil {
		return err
	}
	if c.output == "json" {
		_, _ = c.out.Write(body)
		return nil
	}
	for _, e := range found {
		fmt.Fprintf(c.out, "%s of %s is %s", e.Task, e.Workload, e.State)
		if e.Instance != "" {
			fmt.Fprintf(c.out, " on %s as run %d with %s", e.Instance, e.Incarnation, e.Size)
		}
		fmt.Fprintf(c.out, ": %s. Failures: %d. Evictions: %d.\n", e.Reason, e.Failures, e.Evictions)
	}
	return nil
}

func (c *commands) timeline() error {
	after := uint64(0)
	for {
		var events []timeline.WireEvent
		body, err := c.client.getJSON("/v1/timeline?after="+strconv.FormatUint(after, 10), &events)
		if err != nil {
			return err
		}
		if c.output == "json" && !c.follow {
			_, _ = c.out.Write(body)
			return nil
		}
		for _, e := range events {
			after = max(after, e.Stamp)
			if c.selects(e) {
				c.writeEvent(e)
			}
		}
		if !c.follow {
			return nil
		}
		<-time.After(followInterval)
	}
}

func (c *commands) selects(e timeline.WireEvent) bool {
	ofTask := c.task == "" || e.Task == c.task || strings.HasPrefix(e.Task, c.task+"/")
	ofWorker := c.worker == "" || e.Worker == c.worker
	ofRequest := c.request == "" || e.Request == c.request
	return ofTask && ofWorker && ofRequest
}

func (c *commands) writeEvent(e timeline.WireEvent) {
	subject := strings.Join(strings.Fields(e.Task+" "+e.Worker+" "+e.Request), " ")
	fmt.Fprintf(c.out, "%s  %-10s %-17s %s  %s\n", stamp(e.Millis), e.Process, e.Kind, subject, e.Text)
}
