package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/settings"
	"github.com/saffronpulley/saffronpulley/internal/table"
)

func main() {
	app := kingpin.New("docs", "Writes the pages that are generated from the code.")
	dir := app.Arg("dir", "Directory of the pages.").Default("docs").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	for name, text := range pages() {
		if err := os.WriteFile(filepath.Join(*dir, name), []byte(text), 0o600); err != nil {
			fmt.Fprintf(os.Stderr, "docs: %v\n", err)
			os.Exit(1)
		}
	}
}

// pages returns the pages by file name.
func pages() map[string]string {
	return map[string]string{"TABLE.md": tablePage(), "SETTINGS.md": settingsPage(), "ERRORS.md": errorsPage()}
}

const generatedNote = "<!-- Written by `make docs`; edit the code instead. -->\n\n"

func tablePage() string {
	var out strings.Builder
	out.WriteString("# The table\n\n" + generatedNote)
	out.WriteString("One row a workload or a team, one column a knob, in CSV. The first line names the columns, in any order;\n" +
		"a column left out has its default. A cell that does not apply to the row's kind stays empty.\n\n")
	out.WriteString("| column | rows | unit | allowed | default | what it does |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range table.Columns() {
		kinds := make([]string, 0, len(c.Kinds()))
		for _, k := range c.Kinds() {
			kinds = append(kinds, k.String())
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s | %s |\n", c.Name(), strings.Join(kinds, ", "), orDefault(c.Unit(), "-"),
			c.Allowed(), orDefault(c.Default(), "must be given"), c.Description())
	}
	return out.String()
}

func settingsPage() string {
	var out strings.Builder
	out.WriteString("# Settings\n\n" + generatedNote)
	out.WriteString("A daemon reads one YAML file. The environment goes over the file, and `--set key=value` over both.\n" +
		"`saffronpulleyd check FILE` names all problems at once, each with its file and line, and starts nothing.\n\n")
	out.WriteString("| setting | roles | allowed | default | what it does | environment |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range settings.List() {
		defaultText := orDefault(s.Default(), "must be given")
		if s.IsOptional() {
			defaultText = "may be left out"
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s | `%s` |\n", s.Key(), orDefault(s.Roles(), "all"), s.Allowed(), defaultText, s.Description(), s.Environment())
	}
	return out.String()
}

func errorsPage() string {
	var out strings.Builder
	out.WriteString("# Error kinds\n\n" + generatedNote)
	out.WriteString("Each error has one of these kinds, over HTTP, between processes and as the exit code of a command.\n" +
		"`ran` says what is known of the work: `no` means that it did not run and will not; `unknown` that it may have.\n\n")
	out.WriteString("| kind | HTTP status | exit code | ran | tells when to return |\n| --- | --- | --- | --- | --- |\n")
	for k := fault.Internal; k <= fault.Unauthorized; k++ {
		hasRetryAfter := "no"
		if k.Answer().HasRetryAfter() {
			hasRetryAfter = "yes"
		}
		fmt.Fprintf(&out, "| `%s` | %d | %d | %s | %s |\n", k, k.Answer().Status(), k.Answer().ExitCode(), k.Answer().Ran(), hasRetryAfter)
	}
	return out.String()
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
