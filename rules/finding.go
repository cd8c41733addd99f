package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// Finding is one error in a rules file. Line and Column count from 1; Column
// counts characters.
type Finding struct {
	File    string
	Line    int
	Column  int
	Message string
}

// String returns "file:line:column: message".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// findings collects the findings of one file.
type findings struct {
	file string
	list []Finding
}

func (f *findings) add(line, column int, format string, args ...any) {
	f.list = append(f.list, Finding{f.file, line, column, fmt.Sprintf(format, args...)})
}

func (f *findings) sorted() []Finding {
	slices.SortStableFunc(f.list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return f.list
}
