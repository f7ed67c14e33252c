package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/saffronpulley/saffronpulley/proving/decision"
)

// benchDecisions simulates each day under each variant with each seed and prints the medians and ranges.
func benchDecisions(seeds []uint64, only string) error {
	days, err := decision.Days()
	if err != nil {
		return err
	}
	for i := range days {
		if err := benchDay(&days[i], seeds, only); err != nil {
			return err
		}
	}
	return nil
}

func benchDay(day *decision.Day, seeds []uint64, only string) error {
	variants := decision.Variants()
	results := make([][]decision.Result, len(variants))
	var group errgroup.Group
	group.SetLimit(8)
	for c, variant := range variants {
		if only != "" && variant.Name() != only {
			continue
		}
		results[c] = make([]decision.Result, len(seeds))
		for s, seed := range seeds {
			group.Go(func() error {
				result, err := decision.Run(day, variant, seed)
				results[c][s] = result
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	writeDay(day.Name, seeds, variants, results)
	return nil
}

func writeDay(name string, seeds []uint64, variants []decision.Variant, results [][]decision.Result) {
	fmt.Printf("\n%s, seeds %v, median (least to most)\n\n", name, seeds)
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprint(writer, "| column\t")
	for _, m := range decision.Measures() {
		fmt.Fprintf(writer, "| %s\t", m.Name())
	}
	fmt.Fprint(writer, "|\n| ---\t")
	for range decision.Measures() {
		fmt.Fprint(writer, "| ---\t")
	}
	fmt.Fprintln(writer, "|")
	for c, variant := range variants {
		if results[c] == nil {
			continue
		}
		fmt.Fprintf(writer, "| %s\t", variant.Name())
		for _, m := range decision.Measures() {
			median, low, high := decision.Median(results[c], m)
			fmt.Fprintf(writer, "| %.4g (%.4g to %.4g)\t", median, low, high)
		}
		fmt.Fprintln(writer, "|")
	}
	_ = writer.Flush()
}
