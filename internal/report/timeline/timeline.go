// Package timeline finds what happened to one request in the logs of several
// processes: lines of key=value pairs, as package logging writes them.
package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// maxLine bounds one line; longer ones are counted as unreadable.
const maxLine = 64 << 10

// Step is one line about the request.
type Step struct {
	AtMs     int64             `json:"atMs"` // Unix milliseconds
	Instance string            `json:"instance"`
	Event    string            `json:"event"`
	Fields   map[string]string `json:"fields"`
}

// Timeline is what the logs say of one request.
type Timeline struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Lines were read, and Unreadable of them are no key=value lines.
	Lines      int `json:"lines"`
	Unreadable int `json:"unreadable"`
	// Dropped are lines that processes did not write to stay within their bound.
	Dropped int `json:"dropped"`
}

// Read collects the lines about a request from all readers.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	t := Timeline{Request: request, Steps: []Step{}}
	for _, r := range logs {
		if err := t.read(r); err != nil {
			return t, err
		}
	}
	slices.SortStableFunc(t.Steps, func(a, b Step) int { return int(a.AtMs - b.AtMs) })
	return t, nil
}

func (t *Timeline) read(r io.Reader) error {
	br := bufio.NewReaderSize(r, maxLine)
	for {
		line, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			t.Lines++
			t.Unreadable++
			if err := skipLine(br); err != nil {
				return err
			}
			continue
		}
		if len(strings.TrimSpace(string(line))) > 0 {
			t.add(string(line))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func skipLine(br *bufio.Reader) error {
	for {
		_, err := br.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF {
			return nil
		}
		return err
	}
}

func (t *Timeline) add(line string) {
	t.Lines++
	fields, ok := parse(line)
	if !ok {
		t.Unreadable++
		return
	}
	if fields["event"] == "logDropped" {
		n := 0
		if _, err := fmt.Sscan(fields["lines"], &n); err == nil {
			t.Dropped += n
		}
	}
	if fields["request"] != t.Request {
		return
	}
	at, err := time.Parse(time.RFC3339, fields["time"])
	if err != nil {
		t.Unreadable++
		return
	}
	s := Step{AtMs: at.UnixMilli(), Instance: fields["instance"], Event: fields["event"], Fields: fields}
	for _, k := range []string{"time", "level", "instance", "event", "request"} {
		delete(fields, k)
	}
	t.Steps = append(t.Steps, s)
}

// parse reads key=value pairs; text before the field time, such as a prefix of
// the log's collector, is passed over.
func parse(line string) (map[string]string, bool) {
	i := strings.Index(line, "time=")
	if i < 0 || !utf8.ValidString(line) {
		return nil, false
	}
	out := map[string]string{}
	for rest := strings.TrimSpace(line[i:]); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return nil, false
		}
		if !strings.HasPrefix(after, `"`) {
			out[key], rest, _ = strings.Cut(after, " ")
			continue
		}
		end := closing(after)
		if end < 0 {
			return nil, false
		}
		var v string
		if err := json.Unmarshal([]byte(after[:end+1]), &v); err != nil {
			v = strings.Trim(after[:end+1], `"`)
		}
		out[key], rest = v, after[end+1:]
	}
	return out, out["event"] != ""
}

// closing returns the index of the quote that ends the string at the start of s.
func closing(s string) int {
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

// WriteText writes the timeline for people: a line a step, with the time since
// the first one.
func (t Timeline) WriteText(w io.Writer) error {
	for _, s := range t.Steps {
		keys := make([]string, 0, len(s.Fields))
		for k := range s.Fields {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		var b strings.Builder
		for _, k := range keys {
			fmt.Fprintf(&b, " %s=%s", k, s.Fields[k])
		}
		line := fmt.Sprintf("%8d ms  %-14s %-12s%s", s.AtMs-t.Steps[0].AtMs, s.Instance, s.Event, b.String())
		if _, err := fmt.Fprintln(w, strings.TrimRight(line, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d steps in %d lines; %d unreadable, %d not written\n", len(t.Steps), t.Lines, t.Unreadable, t.Dropped)
	return err
}
