package daemon

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/node"
	"github.com/saffronpulley/saffronpulley/internal/settings"
)

// Main runs the command line and returns the exit code.
func Main(version string, args []string, out, problems io.Writer) int {
	app := kingpin.New("saffronpulleyd", "Schedules latency-critical and batch work on shared VMs.")
	app.Version(version).UsageWriter(out).ErrorWriter(problems)
	run := app.Command("run", "Runs the daemon.")
	check := app.Command("check", "Checks the settings and starts nothing.")
	list := app.Command("settings", "Lists all settings.")
	onPlatform := app.Command("node", "Runs an entry or an agent on the platform, by the settings that "+node.SettingsVariable+" names.")
	var file string
	var overrides []string
	for _, c := range []*kingpin.CmdClause{run, check} {
		c.Arg("file", "The settings, in YAML.").Required().StringVar(&file)
		c.Flag("set", "Sets key=value over the file and the environment; may be repeated.").StringsVar(&overrides)
	}
	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(problems, "saffronpulleyd: %v; see --help\n", err)
		return fault.BadInput.Answer().ExitCode()
	}
	if command == list.FullCommand() {
		writeList(out)
		return 0
	}
	if command == onPlatform.FullCommand() {
		return exitCode(node.Run(os.Getenv(node.SettingsVariable)), problems)
	}
	s, err := settings.Load(file, overrides, os.LookupEnv)
	if err == nil && command == run.FullCommand() {
		err = Run(s)
	}
	if err != nil {
		return exitCode(err, problems)
	}
	if command == check.FullCommand() {
		fmt.Fprintf(out, "%s is right\n", file)
	}
	return 0
}

// exitCode writes why the command failed, if it did, and returns its code.
func exitCode(err error, problems io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(problems, "saffronpulleyd: %v\n", err)
	return fault.KindOf(err).Answer().ExitCode()
}

func writeList(out io.Writer) {
	for _, s := range settings.List() {
		fallback := s.Default()
		switch {
		case s.IsOptional():
			fallback = "may be left out"
		case fallback == "":
			fallback = "must be given"
		}
		fmt.Fprintf(out, "%s (%s)\n    %s Give %s. Environment: %s.\n", s.Key(), fallback, s.Description(), s.Allowed(), s.Environment())
	}
}
