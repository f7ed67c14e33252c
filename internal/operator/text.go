package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// textTable writes rows in aligned columns.
type textTable struct {
	writer *tabwriter.Writer
}

func newTable(out io.Writer, heading ...string) textTable {
	t := textTable{writer: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.writer, strings.Join(heading, "\t"))
	return t
}

func (t textTable) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t textTable) end() {
	fmt.Fprintln(t.writer)
	_ = t.writer.Flush()
}
