package main

import (
	"os"

	"github.com/saffronpulley/saffronpulley/internal/daemon"
	"github.com/saffronpulley/saffronpulley/internal/hangup"
)

// version is set when a release is built.
var version = "development"

func main() {
	os.Exit(daemon.Main(version, os.Args[1:], os.Stdout, os.Stderr, hangup.Signals()))
}
