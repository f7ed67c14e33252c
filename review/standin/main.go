package main

import (
	"fmt"
	"os"
)

// The exit codes of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the scripts by name; each returns whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"gang":    gangCase,
	"hangup":  hangupCase,
	"lasting": lastingCase,
}

func main() { os.Exit(play()) }

// play plays the case that the first argument names and writes the record to the second.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return cannotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	kept, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	case kept:
		r.line("the rule held")
		return held
	}
	r.line("the rule was broken")
	return broken
}
