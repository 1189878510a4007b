package sse_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/stream/sse"
)

func ExampleScanner() {
	s := sse.NewScanner(strings.NewReader("id: 7\ndata: a\n\ndata: b\n\n"), nil)
	for {
		event, err := s.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%q %q\n", sse.ID(event), sse.Data(event))
	}
	// Output:
	// "7" "a"
	// "" "b"
	// EOF
}

func TestNext(t *testing.T) {
	long := "data: " + strings.Repeat("x", 40<<10) + "\n\n"
	tests := []struct {
		name, in string
		want     []string
		end      error
	}{
		{"empty stream", "", nil, io.EOF},
		{"two events", "data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, io.EOF},
		{"lines end with CR LF", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}, io.EOF},
		{"stream ends within an event", "data: a\n\ndata: b\n", []string{"data: a\n\n", "data: b\n"}, io.ErrUnexpectedEOF},
		{"event longer than the read buffer", long + long, []string{long, long}, io.EOF},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := sse.NewScanner(iotest.HalfReader(strings.NewReader(tc.in)), nil)
			var got []string
			var err error
			for err == nil {
				var event []byte
				if event, err = s.Next(); len(event) > 0 {
					got = append(got, string(event))
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
			if !errors.Is(err, tc.end) {
				t.Errorf("final error %v, want %v", err, tc.end)
			}
		})
	}
}

// TestOversizedEventIsAnError guards against an event without a bound, whatever its lines are.
func TestOversizedEventIsAnError(t *testing.T) {
	for _, line := range []string{"data: " + strings.Repeat("x", 5<<20), strings.Repeat("data: x\n", 1<<20), strings.Repeat("data: x\r\n", 1<<20), strings.Repeat(": x\n", 1<<20)} {
		var m counter
		s := sse.NewScanner(strings.NewReader(line+"\n\n"), &m)
		event, err := s.Next()
		var large *bounded.TooLargeError
		if !errors.As(err, &large) {
			t.Errorf("got %d bytes and error %v, want an error for the size", len(event), err)
		}
		if m.bytes > large.Bytes {
			t.Errorf("took %d bytes for an event of at most %d", m.bytes, large.Bytes)
		}
	}
}

// counter is a Memory of which bytes are held, until limit if that is set.
type counter struct {
	bytes, limit int64
	complete     int
}

var errFull = errors.New("full")

func (c *counter) Take(n int64) error {
	if c.limit > 0 && c.bytes+n > c.limit {
		return errFull
	}
	c.bytes += n
	return nil
}
func (c *counter) Complete()  { c.complete++ }
func (c *counter) Release()   { c.bytes = 0 }
func (c *counter) Err() error { return nil }

// TestMemoryOfEvents guards against events that are held without being counted, or counted when they are not held.
func TestMemoryOfEvents(t *testing.T) {
	small, large := "data: a\n\n", "data: "+strings.Repeat("x", 20<<10)+"\n\n"
	var m counter
	s := sse.NewScanner(strings.NewReader(small+large+small), &m)
	var got []int64
	for range 3 {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		got = append(got, m.bytes)
	}
	if diff := cmp.Diff([]int64{0, 32 << 10, 0}, got); diff != "" || m.complete != 3 {
		t.Errorf("%d complete; bytes held after each event (-want +got):\n%s", m.complete, diff)
	}
	if _, err := sse.NewScanner(strings.NewReader(large), &counter{limit: 16 << 10}).Next(); !errors.Is(err, errFull) {
		t.Errorf("without memory: %v", err)
	}
}

// Forwarding code flushes an event when Ready is false. Ready must not be true because
// the start of another event follows in the same write of the server: the complete
// event would be held back until the rest arrives.
func TestReady(t *testing.T) {
	tests := []struct {
		name, in string
		want     bool
	}{
		{"no further bytes", "data: a\n\n", false},
		{"start of another event", "data: a\n\ndata: b", false},
		{"another event without its empty line", "data: a\n\ndata: b\n", false},
		{"another complete event", "data: a\n\ndata: b\n\n", true},
		{"another complete event, lines end with CR LF", "data: a\r\n\r\ndata: b\r\n\r\n", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := sse.NewScanner(strings.NewReader(tc.in), nil)
			if _, err := s.Next(); err != nil {
				t.Fatal(err)
			}
			if got := s.Ready(); got != tc.want {
				t.Errorf("Ready = %v, want %v", got, tc.want)
			}
		})
	}
}

func TestData(t *testing.T) {
	tests := []struct{ in, want string }{
		{"data: a\n\n", "a"},
		{"data:a\n\n", "a"},
		{": note\nid: 3\ndata: a\r\ndata: b\r\n\r\n", "a\nb"},
		{"event: ping\n\n", ""},
		{string(sse.Append(nil, []byte("x y"))), "x y"},
	}
	for _, tc := range tests {
		if got := string(sse.Data([]byte(tc.in))); got != tc.want {
			t.Errorf("data of event %q: got %q, want %q", tc.in, got, tc.want)
		}
	}
}

// TestFollows guards against a stream that is joined with events of its beginning, or with bytes that
// are none of its events.
func TestFollows(t *testing.T) {
	for _, tc := range []struct {
		last, event string
		want        bool
	}{
		{"3", "id: 4\ndata: a\n\n", true},
		{"3", "id: 7\ndata: a\n\n", true},
		{"9", "id: 10\ndata: a\n\n", true},
		{"3", "id: 3\ndata: a\n\n", false},
		{"3", "id: 1\ndata: a\n\n", false},
		{"3", "id: x\ndata: a\n\n", false},
		{"a-3", "id: a-4\ndata: a\n\n", true},
		{"a-3", "id: a-3\ndata: a\n\n", false},
		{"3", "data: a\n\n", false},
		{"3", "<html>\n\n", false},
		{"3", ": still here\n\n", true},
	} {
		if got := sse.Follows(tc.last, []byte(tc.event)); got != tc.want {
			t.Errorf("Follows(%q, %q) = %v, want %v", tc.last, tc.event, got, tc.want)
		}
	}
}
