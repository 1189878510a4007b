package bounded_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
)

func TestReadAll(t *testing.T) {
	for in, ok := range map[string]bool{"": true, "abc": true, "abcd": true, "abcde": false} {
		data, err := bounded.ReadAll(strings.NewReader(in), "a word", 4)
		var large *bounded.TooLargeError
		if ok && (err != nil || string(data) != in) || !ok && !errors.As(err, &large) {
			t.Errorf("ReadAll(%q) = %q, %v", in, data, err)
		}
	}
}

func TestReader(t *testing.T) {
	l := bounded.NewReader(strings.NewReader(strings.Repeat("x", 100)))
	read := func(n int) (int, error) { return io.ReadFull(l, make([]byte, n)) }
	if _, err := read(10); err != nil {
		t.Fatalf("without a bound: %v", err)
	}
	l.Bound("a head", 20)
	if _, err := read(20); err != nil {
		t.Fatalf("within the bound: %v", err)
	}
	var large *bounded.TooLargeError
	if _, err := read(1); !errors.As(err, &large) || large.What != "a head" || large.Bytes != 20 {
		t.Fatalf("beyond the bound: %v", err)
	}
	l.Release()
	if _, err := read(70); err != nil {
		t.Fatalf("after the bound: %v", err)
	}
	if _, err := read(1); err != io.EOF {
		t.Fatalf("at the end: %v", err)
	}
}
