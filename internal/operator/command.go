package operator

import (
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/alecthomas/kingpin/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// commands holds the command line and its parsed arguments.
type commands struct {
	app    *kingpin.Application
	client *client
	out    io.Writer

	entries []string
	output  string

	file     string
	base     uint64
	author   string
	wait     bool
	writeID  string
	task     string
	worker   string
	request  string
	follow   bool
	handlers map[string]func() error
}

// Main runs the command line and returns the exit code, which is documented for each error kind.
func Main(version string, args []string, in io.Reader, out, errorOut io.Writer) int {
	c := newCommands(version, in, out, errorOut)
	command, err := c.app.Parse(args)
	if err != nil {
		fmt.Fprintf(errorOut, "saffronpulley: %v; see --help\n", err)
		return fault.BadInput.Answer().ExitCode()
	}
	c.client = newClient(c.entries)
	if err := c.handlers[command](); err != nil {
		fmt.Fprintf(errorOut, "saffronpulley: %v\n", err)
		return fault.KindOf(err).Answer().ExitCode()
	}
	return 0
}

func newCommands(version string, in io.Reader, out, errorOut io.Writer) *commands {
	c := &commands{out: out, handlers: make(map[string]func() error)}
	c.app = kingpin.New("saffronpulley", "Edits the table of workloads and shows what the system does.")
	c.app.Version(version).UsageWriter(out).ErrorWriter(errorOut)
	c.app.Flag("entry", "Admin address of an entry, host:port; may be repeated, and the next one is used if one is unavailable.").
		Envar("SAFFRONPULLEY_ENTRIES").Default("127.0.0.1:4103").StringsVar(&c.entries)
	c.app.Flag("output", "Form of the output.").Short('o').Default("table").EnumVar(&c.output, "table", "json")
	c.addTable(in)
	c.addStatus()
	return c
}

func (c *commands) addTable(in io.Reader) {
	table := c.app.Command("table", "Shows and edits the table of workloads.")
	c.add(table.Command("show", "Writes the table as CSV; its version goes to the last line as a comment on stderr."), c.tableShow)
	c.add(table.Command("columns", "Explains each column."), c.tableColumns)
	c.add(table.Command("history", "Lists the accepted edits."), c.tableHistory)
	check := table.Command("check", "Checks a file and changes nothing.")
	diff := table.Command("diff", "Shows what a file would change.")
	apply := table.Command("apply", "Replaces the table by a file; rows that others changed meanwhile are kept.")
	for _, command := range []*kingpin.CmdClause{check, diff, apply} {
		command.Arg("file", "The table, in CSV; - reads it from standard input.").Required().StringVar(&c.file)
	}
	apply.Flag("base", "Version that the file started from.").Required().Uint64Var(&c.base)
	apply.Flag("author", "Name that goes into the history.").Default(userName()).StringVar(&c.author)
	apply.Flag("wait", "Waits until the edit is in force in all cells.").Default("true").BoolVar(&c.wait)
	apply.Flag("write-id", "Identifier of the edit; an edit is accepted once for each identifier.").StringVar(&c.writeID)
	read := func() ([]byte, error) { return readFile(c.file, in) }
	c.add(check, func() error { return c.tableCheck(read) })
	c.add(diff, func() error { return c.tableDiff(read) })
	c.add(apply, func() error { return c.tableApply(read) })
}

func (c *commands) addStatus() {
	c.add(c.app.Command("status", "Shows workloads with their targets, workers, and the reasons for waiting."), c.status)
	explain := c.app.Command("explain", "Explains why a task runs on its worker, or why it cannot run.")
	explain.Arg("task", "The task, written job/index or service/index.").Required().StringVar(&c.task)
	c.add(explain, c.explain)
	timeline := c.app.Command("timeline", "Shows the events of all processes in one timeline.")
	timeline.Flag("task", "Only events of a task or of the tasks of a job.").StringVar(&c.task)
	timeline.Flag("worker", "Only events on a worker.").StringVar(&c.worker)
	timeline.Flag("request", "Only events of a request.").StringVar(&c.request)
	timeline.Flag("follow", "Shows later events as well until interrupted.").Short('f').BoolVar(&c.follow)
	c.add(timeline, c.timeline)
}

func (c *commands) add(command *kingpin.CmdClause, handle func() error) {
	c.handlers[command.FullCommand()] = handle
}

func userName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func readFile(file string, in io.Reader) ([]byte, error) {
	if file == "-" {
		content, err := io.ReadAll(in)
		if err != nil {
			return nil, fault.Wrap(err, fault.BadInput, "the standard input cannot be read")
		}
		return content, nil
	}
	content, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "the file cannot be read")
	}
	return content, nil
}
