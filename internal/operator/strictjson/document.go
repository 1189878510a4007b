// Package strictjson decodes JSON with comments strictly and reports every
// problem of a file with its line, field path and value.
package strictjson

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// maxShownBytes bounds the length of a value in a message.
const maxShownBytes = 60

// Problem is one value of a file that is not accepted.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 means that the problem has no place.
	Line int `json:"line"`
	// Path is the field's path, such as "entry.candidates".
	Path string `json:"path"`
	// Value is the value as it stands in the file.
	Value string `json:"value"`
	// Want says what would be right.
	Want string `json:"want"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	s := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Path != "" {
		s += p.Path + ": "
	}
	if p.Value != "" {
		s += p.Value + ": "
	}
	return s + p.Want
}

// Errors reports all problems of a file, in the order of its lines.
type Errors struct {
	Problems []Problem
	// Syntax is set if the text is no document at all, as that of a file that is being written.
	Syntax bool
}

// Error returns one line per problem.
func (e *Errors) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed file that collects problems.
type Document struct {
	name     string
	data     []byte
	root     hujson.Value
	problems []Problem
}

// Parse parses the syntax of data; name stands for the file in messages. The
// error is an *Errors.
func Parse(name string, data []byte) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &Errors{Problems: []Problem{syntaxProblem(name, err)}, Syntax: true}
	}
	return &Document{name: name, data: data, root: root}, nil
}

func syntaxProblem(name string, err error) Problem {
	msg := strings.TrimPrefix(err.Error(), "hujson: ")
	p := Problem{File: name, Line: 1, Want: "must be JSON with comments: " + msg}
	var column int
	if n, _ := fmt.Sscanf(msg, "line %d, column %d:", &p.Line, &column); n == 2 {
		if _, rest, ok := strings.Cut(msg, ": "); ok {
			p.Want = fmt.Sprintf("must be JSON with comments: column %d: %s", column, rest)
		}
	}
	return p
}

// Has reports whether the file gives a value for path.
func (d *Document) Has(path string) bool {
	_, whole := d.find(path)
	return whole
}

// Text returns the string that the file gives for path, or "".
func (d *Document) Text(path string) string {
	v, whole := d.find(path)
	if lit, ok := v.Value.(hujson.Literal); whole && ok && lit.Kind() == '"' {
		return lit.String()
	}
	return ""
}

// Reject adds a problem with the value at path, unless Decode has reported the
// path before. The line is that of the nearest enclosing value when the file
// does not give path itself.
func (d *Document) Reject(path string, value any, want string) {
	if slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Path == path }) {
		return
	}
	v, _ := d.find(path)
	d.add(v.StartOffset, path, Show(value), want)
}

// Err returns an *Errors with all problems so far, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &Errors{Problems: d.problems}
}

func (d *Document) add(offset int, path, value, want string) {
	line := 1 + bytes.Count(d.data[:offset], []byte("\n"))
	p := Problem{File: d.name, Line: line, Path: path, Value: value, Want: want}
	i := len(d.problems)
	for i > 0 && d.problems[i-1].Line > line {
		i--
	}
	d.problems = append(d.problems, Problem{})
	copy(d.problems[i+1:], d.problems[i:])
	d.problems[i] = p
}

// find returns the deepest value on the way to path and whether it is path's own.
func (d *Document) find(path string) (hujson.Value, bool) {
	v := d.root
	if path == "" {
		return v, true
	}
	for step := range strings.SplitSeq(strings.ReplaceAll(path, "[", ".["), ".") {
		next, ok := child(v, step)
		if !ok {
			return v, false
		}
		v = next
	}
	return v, true
}

func child(v hujson.Value, step string) (hujson.Value, bool) {
	switch t := v.Value.(type) {
	case *hujson.Object:
		for _, m := range t.Members {
			if memberName(m) == step {
				return m.Value, true
			}
		}
	case *hujson.Array:
		var i int
		if n, _ := fmt.Sscanf(step, "[%d]", &i); n == 1 && i >= 0 && i < len(t.Elements) {
			return t.Elements[i], true
		}
	}
	return hujson.Value{}, false
}

func memberName(m hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

// Show returns a value as it stands in messages: strings quoted, long values cut.
func Show(value any) string {
	var s string
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		s = fmt.Sprintf("%q", v)
	default:
		s = fmt.Sprint(v)
	}
	if len(s) > maxShownBytes {
		s = s[:maxShownBytes] + "..."
	}
	return s
}
