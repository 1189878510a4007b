package sse_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/stream/sse"
)

func ExampleScanner() {
	s := sse.NewScanner(strings.NewReader("id: 7\ndata: a\n\ndata: b\n\n"))
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
		{"empty", "", nil, io.EOF},
		{"two", "data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}, io.EOF},
		{"cut", "data: a\n\ndata: b\n", []string{"data: a\n\n", "data: b\n"}, io.ErrUnexpectedEOF},
		{"longer than the buffer", long + long, []string{long, long}, io.EOF},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := sse.NewScanner(iotest.HalfReader(strings.NewReader(tc.in)))
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
				t.Errorf("end %v, want %v", err, tc.end)
			}
		})
	}
}

func TestEventsBeyondTheBoundAreAnError(t *testing.T) {
	s := sse.NewScanner(strings.NewReader("data: " + strings.Repeat("x", 5<<20) + "\n\n"))
	if event, err := s.Next(); err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %d bytes, %v", len(event), err)
	}
}

// TestReady guards against holding back an event because an incomplete one follows
// it in the same write of the server.
func TestReady(t *testing.T) {
	tests := []struct {
		name, in string
		want     bool
	}{
		{"nothing behind", "data: a\n\n", false},
		{"a part behind", "data: a\n\ndata: b", false},
		{"a line behind", "data: a\n\ndata: b\n", false},
		{"a whole event behind", "data: a\n\ndata: b\n\n", true},
		{"a whole event behind, with carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := sse.NewScanner(strings.NewReader(tc.in))
			if _, err := s.Next(); err != nil {
				t.Fatal(err)
			}
			if got := s.Ready(); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
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
			t.Errorf("%q: got %q, want %q", tc.in, got, tc.want)
		}
	}
}
