package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("bench", "Measures saffronpulley.")
	decisions := app.Command("decisions", "Plays days under ours and simpler ways of deciding.")
	seeds := decisions.Flag("seed", "Seeds to play.").Default("1", "2", "3", "4", "5").Uint64List()
	only := decisions.Flag("column", "Only the column of this name.").String()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case decisions.FullCommand():
		err = benchDecisions(*seeds, *only)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "bench: %v\n", err)
		os.Exit(1)
	}
}
