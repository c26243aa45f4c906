// Package jsonfile strictly decodes files of JSON with comments. It reports all problems of a file
// together, each with its line and column.
//
// The struct that a file is decoded into is its schema. A field whose json tag lacks omitempty
// is required. The check tag constrains its value, see checks.go. Field names are matched exactly.
// Constraints that a tag can't express are checked by the caller, which adds its problems with
// Document.Report.
package jsonfile

import (
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxProblems is the maximum number of problems listed for one file.
const MaxProblems = 1000

// Problem is one error in a file and its position.
type Problem struct {
	File string `json:"file"`
	// Line and Column are 1-based; columns count characters.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as "peers[2].address"; empty for the whole file.
	Field string `json:"field,omitempty"`
	// Message describes the error.
	Message string `json:"message"`
	// Allowed describes the allowed values; empty if the message does.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem on one line, starting with file:line:column, which editors recognize.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Problems is the error for an invalid file: all of its problems, in file order.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a file being checked: its syntax tree and the problems found so far.
type Document struct {
	name     string
	text     []byte
	root     hujson.Value
	parsed   bool
	lines    []int // offset of the first byte of each line; filled by the first problem
	omitted  int
	problems Problems
	lenient  bool     // the text is read by the rules of encoding/json, see Lenient
	ignored  Problems // fields that a lenient reader ignores
}

// Report adds a problem at the value at path, which consists of field names and array indexes from
// the root. If that value does not exist, the position is that of its closest existing ancestor.
func (d *Document) Report(message, allowed string, path ...any) {
	where := (*location)(nil)
	offset := 0
	if d.parsed {
		offset = d.offsetOf(path)
	}
	for _, step := range path {
		where = where.child(step)
	}
	d.add(offset, where.String(), message, allowed)
}

// Parsed reports whether the text is valid JSON with comments. Only then may the caller run further
// checks; they must skip zero values, because a field with a problem is left zero.
func (d *Document) Parsed() bool {
	return d.parsed
}

// Err returns the problems as one error of type Problems, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	problems := append(Problems(nil), d.problems...)
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].Line != problems[j].Line {
			return problems[i].Line < problems[j].Line
		}
		return problems[i].Column < problems[j].Column
	})
	if d.omitted > 0 {
		last := problems[len(problems)-1]
		last.Field, last.Allowed = "", ""
		last.Message = fmt.Sprintf("%d more problems are not listed", d.omitted)
		problems = append(problems, last)
	}
	return problems
}

func (d *Document) add(offset int, field, message, allowed string) {
	if len(d.problems) >= MaxProblems {
		d.omitted++
		return
	}
	line, column := d.position(offset)
	d.problems = append(d.problems, Problem{
		File: d.name, Line: line, Column: column,
		Field: field, Message: message, Allowed: allowed,
	})
}

func (d *Document) offsetOf(path []any) int {
	value := &d.root
	for _, step := range path {
		next := d.childValue(value, step)
		if next == nil {
			break
		}
		value = next
	}
	return value.StartOffset
}

// childValue returns the object member or array element at step, or nil if there is none.
func (d *Document) childValue(value *hujson.Value, step any) *hujson.Value {
	switch step := step.(type) {
	case string:
		object, ok := value.Value.(*hujson.Object)
		if !ok {
			return nil
		}
		if d.lenient {
			return foldedMember(object, step)
		}
		for i := range object.Members {
			if memberName(&object.Members[i]) == step {
				return &object.Members[i].Value
			}
		}
	case int:
		array, ok := value.Value.(*hujson.Array)
		if ok && step < len(array.Elements) {
			return &array.Elements[step]
		}
	}
	return nil
}

// position converts a byte offset to a 1-based line and column.
func (d *Document) position(offset int) (line, column int) {
	if d.lines == nil {
		d.lines = lineStarts(d.text)
	}
	line = sort.SearchInts(d.lines, offset+1)
	before := d.text[d.lines[line-1]:min(offset, len(d.text))]
	return line, utf8.RuneCount(before) + 1
}

func lineStarts(text []byte) []int {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// location is a path from the root, a linked list from its last step to its first, so that
// extending it is cheap.
type location struct {
	parent *location
	step   any
}

func (l *location) child(step any) *location {
	return &location{parent: l, step: step}
}

// String returns the path in the form "peers[2].address".
func (l *location) String() string {
	if l == nil {
		return ""
	}
	parent := l.parent.String()
	if index, ok := l.step.(int); ok {
		return fmt.Sprintf("%s[%d]", parent, index)
	}
	if parent == "" {
		return fmt.Sprint(l.step)
	}
	return fmt.Sprintf("%s.%s", parent, l.step)
}
