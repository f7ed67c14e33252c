package main

import (
	"bytes"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/saffronpulley/saffronpulley/proving/lateness"
)

// benchLateness prints how the time of the jobs in a log was spent, as averages in seconds.
func benchLateness(path string) error {
	log, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	stats, err := lateness.Read(bytes.NewReader(log))
	if err != nil {
		return err
	}
	const padding = 2
	table := tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "queue\toutcome\tjobs\tobjective\ttook\twaiting\tagain\trunning\t")
	for _, s := range stats {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", s.Queue, s.Outcome, s.Jobs,
			s.Objective.Seconds(), s.Elapsed.Seconds(), s.Waiting.Seconds(), s.Retrying.Seconds(), s.Running.Seconds())
	}
	return table.Flush()
}
