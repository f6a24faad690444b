package main

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// tableText builds text with lines and tables of aligned columns.
type tableText struct {
	out     strings.Builder
	columns *tabwriter.Writer
}

// line adds a line of text after the current table.
func (t *tableText) line(format string, args ...any) {
	t.flush()
	fmt.Fprintf(&t.out, format+"\n", args...)
}

// row adds a row to the current table.
func (t *tableText) row(cells ...any) {
	if t.columns == nil {
		t.columns = tabwriter.NewWriter(&t.out, 0, 0, columnGap, ' ', 0)
	}
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.columns, "\t")
		}
		fmt.Fprint(t.columns, cell)
	}
	fmt.Fprintln(t.columns)
}

// flush ends the current table, whose rows share their column widths.
func (t *tableText) flush() {
	if t.columns != nil {
		_ = t.columns.Flush()
		t.columns = nil
	}
}

// String returns the text without the trailing newline.
func (t *tableText) String() string {
	t.flush()
	return strings.TrimSuffix(t.out.String(), "\n")
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
