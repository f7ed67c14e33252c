package main

import (
	"os"

	"github.com/saffronpulley/saffronpulley/internal/operator"
)

// version is set when a release is built.
var version = "development"

func main() {
	os.Exit(operator.Main(version, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
