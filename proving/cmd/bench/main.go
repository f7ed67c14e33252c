package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("bench", "Measures saffronpulley.")
	all := app.Command("all", "Measures everything.").Default()
	decisions := app.Command("decisions", "Simulates days under the product's policies and simpler ones.")
	seeds := decisions.Flag("seed", "Seeds to simulate.").Default("1", "2", "3", "4", "5").Uint64List()
	only := decisions.Flag("column", "Only the column of this name.").String()
	path := app.Command("path", "Measures requests directly to the endpoint and through entry and agent.")
	cells := app.Command("cells", "Measures each role at several numbers of agents.")
	agents := cells.Flag("agents", "Numbers of agents.").Default("8", "16", "30", "60").Ints()
	late := app.Command("lateness", "Reports from a leader's logs how the time of jobs was spent.")
	logs := late.Arg("log", "The log.").Required().ExistingFile()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case decisions.FullCommand():
		err = benchDecisions(*seeds, *only)
	case path.FullCommand():
		err = benchPath()
	case cells.FullCommand():
		err = benchCells(*agents)
	case late.FullCommand():
		err = benchLateness(*logs)
	case all.FullCommand():
		err = benchAll()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "bench: %v\n", err)
		os.Exit(1)
	}
}

// benchAll runs the measurements of make bench.
func benchAll() error {
	if err := benchDecisions([]uint64{1, 2, 3, 4, 5}, ""); err != nil {
		return err
	}
	if err := benchPath(); err != nil {
		return err
	}
	return benchCells([]int{8, 16, 30})
}
