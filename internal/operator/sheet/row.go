package sheet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// columns holds the columns that a sheet may have and the kinds of rows that
// use them; the others leave them empty.
var columns = map[string][]string{
	"kind":         {kindPool, kindClass, kindAccount},
	"name":         {kindPool, kindClass, kindAccount},
	"share":        {kindAccount},
	"classes":      {kindAccount},
	"tier":         {kindClass},
	"firstTokenMs": {kindClass},
	"tokenMs":      {kindClass},
	"answerMs":     {kindClass},
	"floorPercent": {kindClass},
	"resume":       {kindClass},
	"pools":        {kindClass},
	"poolKind":     {kindPool},
	"model":        {kindPool},
	"minServers":   {kindPool},
	"maxServers":   {kindPool},
	"slots":        {kindPool},
}

func columnNames() []string {
	return slices.Sorted(maps.Keys(columns))
}

// row is one row of the sheet.
type row struct {
	parser  *parser
	line    int
	cells   map[string]string
	columns map[string]int
}

func (r row) read() {
	kind := r.cells["kind"]
	if !slices.Contains(columns["kind"], kind) {
		r.reject("kind", "must be one of "+strings.Join(columns["kind"], ", "))
		return
	}
	for name, cell := range r.cells {
		if cell != "" && !slices.Contains(columns[name], kind) {
			r.reject(name, fmt.Sprintf("must be empty in a row of kind %s", kind))
		}
	}
	switch kind {
	case kindPool:
		r.parser.addPool(r.pool(), r)
	case kindClass:
		r.parser.addClass(r.class(), r)
	default:
		r.parser.addAccount(directory.Account{Name: r.cells["name"], Share: r.whole("share", 0), Classes: r.list("classes")}, r)
	}
}

func (r row) pool() directory.Pool {
	return directory.Pool{
		Name:       r.cells["name"],
		Kind:       directory.PoolKind(r.cells["poolKind"]),
		Model:      r.cells["model"],
		MinServers: r.whole("minServers", 0),
		MaxServers: r.whole("maxServers", 0),
		Slots:      r.whole("slots", 0),
	}
}

func (r row) class() directory.Class {
	return directory.Class{
		Name:         r.cells["name"],
		Tier:         r.whole("tier", -1),
		FirstTokenMs: clock.Millis(r.whole("firstTokenMs", 0)),
		TokenMs:      clock.Millis(r.whole("tokenMs", 0)),
		AnswerMs:     clock.Millis(r.whole("answerMs", 0)),
		FloorPercent: r.whole("floorPercent", 0),
		Pools:        r.list("pools"),
		Resume:       r.yes("resume"),
	}
}

// whole returns the whole number in a cell, or absent when it is empty.
func (r row) whole(column string, absent int) int {
	cell := r.cells[column]
	if cell == "" {
		return absent
	}
	n, err := strconv.Atoi(cell)
	if err != nil {
		r.reject(column, "must be a whole number")
		return absent
	}
	return n
}

func (r row) yes(column string) bool {
	switch r.cells[column] {
	case "yes":
		return true
	case "", "no":
		return false
	}
	r.reject(column, "must be yes or no")
	return false
}

// list returns the names in a cell, which are separated by spaces.
func (r row) list(column string) []string {
	return strings.Fields(r.cells[column])
}

func (r row) reject(column, want string) {
	r.parser.problem(r.line, r.place(column), strconv.Quote(r.cells[column]), want)
}

// place names a column and its number; a column that the sheet does not have
// has no number.
func (r row) place(column string) string {
	if n, ok := r.columns[column]; ok {
		return fmt.Sprintf("column %d (%s)", n, column)
	}
	return "missing column " + column
}

// sorted returns the problems by line and place, one for each place: a cell
// that cannot be decoded is not told again for what stands in its stead.
func (p *parser) sorted() []strictjson.Problem {
	slices.SortStableFunc(p.problems, func(a, b strictjson.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return slices.CompactFunc(p.problems, func(a, b strictjson.Problem) bool {
		return a.Line == b.Line && a.Path == b.Path && a.Path != ""
	})
}
