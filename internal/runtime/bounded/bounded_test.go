package bounded_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
)

func TestReadAllLimit(t *testing.T) {
	for in, ok := range map[string]bool{"": true, "abc": true, "abcd": true, "abcde": false} {
		data, err := bounded.ReadAll(strings.NewReader(in), "a word", 4)
		var large *bounded.TooLargeError
		if ok && (err != nil || string(data) != in) || !ok && !errors.As(err, &large) {
			t.Errorf("ReadAll(%q) = %q, %v", in, data, err)
		}
	}
}

func TestReaderLimit(t *testing.T) {
	reader := bounded.NewReader(strings.NewReader(strings.Repeat("x", 100)))
	read := func(n int) (int, error) { return io.ReadFull(reader, make([]byte, n)) }
	if _, err := read(10); err != nil {
		t.Fatalf("read without a limit: %v", err)
	}
	reader.Bound("a head", 20)
	if _, err := read(20); err != nil {
		t.Fatalf("read up to the limit: %v", err)
	}
	var large *bounded.TooLargeError
	if _, err := read(1); !errors.As(err, &large) || large.What != "a head" || large.Bytes != 20 {
		t.Fatalf("read beyond the limit of 20 bytes: %v, want a TooLargeError for it", err)
	}
	reader.Release()
	if _, err := read(70); err != nil {
		t.Fatalf("read after Release: %v", err)
	}
	if _, err := read(1); err != io.EOF {
		t.Fatalf("read at the end of the input: %v, want EOF", err)
	}
}
