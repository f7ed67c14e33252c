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

// Main runs the command line and returns the exit code; hangups receives SIGHUP while the process runs.
func Main(version string, args []string, out, errorOut io.Writer, hangups <-chan os.Signal) int {
	app := kingpin.New("saffronpulleyd", "Schedules latency-critical and batch work on shared VMs.")
	app.Version(version).UsageWriter(out).ErrorWriter(errorOut)
	run := app.Command("run", "Runs the daemon.")
	check := app.Command("check", "Checks the settings and starts nothing.")
	list := app.Command("settings", "Lists all settings.")
	onPlatform := app.Command("node", "Runs an entry or an agent on the platform, by the settings that "+node.SettingsVariable+" names.")
	var file string
	var overrides []string
	for _, c := range []*kingpin.CmdClause{run, check} {
		c.Arg("file", "The settings, in YAML.").Required().StringVar(&file)
		c.Flag("set", "Sets key=value, overriding the file and the environment; may be repeated.").StringsVar(&overrides)
	}
	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errorOut, "saffronpulleyd: %v; see --help\n", err)
		return fault.BadInput.Answer().ExitCode()
	}
	if command == list.FullCommand() {
		writeList(out)
		return 0
	}
	if command == onPlatform.FullCommand() {
		return exitCode(node.Run(os.Getenv(node.SettingsVariable), hangups), errorOut)
	}
	s, err := settings.Load(file, overrides, os.LookupEnv)
	if err == nil && command == run.FullCommand() {
		err = Run(s, hangups)
	}
	if err != nil {
		return exitCode(err, errorOut)
	}
	if command == check.FullCommand() {
		fmt.Fprintf(out, "%s is valid\n", file)
	}
	return 0
}

// exitCode writes the error of a failed command and returns the exit code.
func exitCode(err error, errorOut io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(errorOut, "saffronpulleyd: %v\n", err)
	return fault.KindOf(err).Answer().ExitCode()
}

func writeList(out io.Writer) {
	for _, s := range settings.List() {
		defaultText := s.Default()
		switch {
		case s.IsOptional():
			defaultText = "may be left out"
		case defaultText == "":
			defaultText = "must be given"
		}
		fmt.Fprintf(out, "%s (%s)\n    %s Give %s. Environment: %s.\n", s.Key(), defaultText, s.Description(), s.Allowed(), s.Environment())
	}
}
