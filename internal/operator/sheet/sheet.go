// Package sheet reads the planners' CSV file: who gets what today, as wanted
// pools, classes and client accounts.
package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/desired"
	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Kinds of rows.
const (
	kindPool    = "pool"
	kindClass   = "class"
	kindAccount = "account"
)

// Load reads and checks the sheet at path. The error is a *strictjson.Errors
// unless the file cannot be read.
func Load(path string) (desired.State, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return desired.State{}, errors.Wrap(err, "read the sheet")
	}
	return Parse(path, data)
}

// Parse decodes and checks a sheet; name stands for the file in messages. A
// sheet with a problem gives no state: the error is a *strictjson.Errors with
// every problem found. Columns are separated by commas or semicolons.
func Parse(name string, data []byte) (desired.State, error) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	p := &parser{name: name, places: map[string][]row{}}
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = separator(data)
	r.Comment = '#'
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	p.readAll(r)
	p.state.Check(p.reject)
	if len(p.problems) > 0 {
		return desired.State{}, &strictjson.Errors{Problems: p.sorted()}
	}
	return p.state, nil
}

// separator returns the one that the first line which is no comment uses more.
func separator(data []byte) rune {
	for line := range bytes.Lines(data) {
		if line[0] == '#' || len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
			return ';'
		}
		break
	}
	return ','
}

type parser struct {
	name     string
	header   []string
	state    desired.State
	problems []strictjson.Problem
	// places holds the rows of the state's slices, by the slice's name.
	places map[string][]row
}

func (p *parser) readAll(r *csv.Reader) {
	for {
		cells, err := r.Read()
		if err == io.EOF {
			break
		}
		var bad *csv.ParseError
		if errors.As(err, &bad) {
			p.problem(bad.Line, fmt.Sprintf("column %d", bad.Column), "", "must be CSV: "+bad.Err.Error())
			return
		}
		if strings.TrimSpace(strings.Join(cells, "")) == "" {
			continue
		}
		line, _ := r.FieldPos(0)
		if p.header == nil {
			if !p.readHeader(line, cells) {
				return
			}
			continue
		}
		p.readRow(line, cells)
	}
	if p.header == nil {
		p.problem(1, "", "", "must start with a header row: "+strings.Join(columnNames(), ","))
		return
	}
	if len(p.places) == 0 && len(p.problems) == 0 {
		p.problem(1, "", "", "must hold at least one row after the header")
	}
}

// readHeader reports whether the rows can be read.
func (p *parser) readHeader(line int, cells []string) bool {
	before := len(p.problems)
	seen := map[string]bool{}
	for i, cell := range cells {
		cell = strings.TrimSpace(cell)
		if _, ok := columns[cell]; !ok {
			p.problem(line, fmt.Sprintf("column %d", i+1), strconv.Quote(cell), "must be one of "+strings.Join(columnNames(), ", "))
		} else if seen[cell] {
			p.problem(line, fmt.Sprintf("column %d", i+1), strconv.Quote(cell), "is given twice; must be given once")
		}
		seen[cell] = true
		p.header = append(p.header, cell)
	}
	for _, name := range []string{"kind", "name"} {
		if !seen[name] {
			p.problem(line, "", "", "must have the column "+name)
		}
	}
	return len(p.problems) == before
}

func (p *parser) readRow(line int, cells []string) {
	if len(cells) != len(p.header) {
		p.problem(line, "", "", fmt.Sprintf("must have %d columns as the header has; this row has %d", len(p.header), len(cells)))
		return
	}
	row := row{parser: p, line: line, cells: map[string]string{}, columns: map[string]int{}}
	for i, cell := range cells {
		row.cells[p.header[i]] = strings.TrimSpace(cell)
		row.columns[p.header[i]] = i + 1
	}
	row.read()
}

// reject takes a problem of the checked state, such as "accounts[3].share".
func (p *parser) reject(path string, value any, want string) {
	var i int
	kind, rest, _ := strings.Cut(path, "[")
	_, _ = fmt.Sscanf(rest, "%d]", &i)
	_, field, _ := strings.Cut(rest, ".")
	at := p.places[kind][i]
	column := columnOf(field)
	if _, ok := value.(string); !ok {
		value = at.cells[column]
	}
	p.problem(at.line, at.place(column), strictjson.Show(value), want)
}

// columnOf returns the column of a field of the directory's types.
func columnOf(field string) string {
	if field == "kind" {
		return "poolKind"
	}
	if field == "" {
		return "name"
	}
	return field
}

func (p *parser) problem(line int, column, value, want string) {
	p.problems = append(p.problems, strictjson.Problem{File: p.name, Line: line, Path: column, Value: value, Want: want})
}

func (p *parser) addPool(v directory.Pool, at row) {
	p.state.Pools = append(p.state.Pools, v)
	p.places["pools"] = append(p.places["pools"], at)
}

func (p *parser) addClass(v directory.Class, at row) {
	p.state.Classes = append(p.state.Classes, v)
	p.places["classes"] = append(p.places["classes"], at)
}

func (p *parser) addAccount(v directory.Account, at row) {
	p.state.Accounts = append(p.state.Accounts, v)
	p.places["accounts"] = append(p.places["accounts"], at)
}
