package delta_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/state/delta"
)

func ExampleMake() {
	d := delta.Make([]byte(`{"version":1,"weight":10}`), []byte(`{"version":1,"weight":25}`))
	fmt.Printf("%d bytes, %q, %d bytes\n", d.Prefix, d.Middle, d.Suffix)
	// Output: 22 bytes, "25", 1 bytes
}

// TestApply applies the delta of two random documents to the earlier one, to an
// unrelated one, and after its prefix and suffix lengths were corrupted.
func TestApply(t *testing.T) {
	doc := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12)
	rapid.Check(t, func(t *rapid.T) {
		from, to, other := doc.Draw(t, "from"), doc.Draw(t, "to"), doc.Draw(t, "other")
		d := delta.Make(from, to)
		got, err := d.Apply(from)
		if err != nil || !bytes.Equal(got, to) {
			t.Fatalf("from %q: %q, %v; want %q", from, got, err, to)
		}
		var mismatch *delta.MismatchError
		if _, err := d.Apply(other); !bytes.Equal(other, from) && !errors.As(err, &mismatch) {
			t.Errorf("applied to %q: %v, want a MismatchError", other, err)
		}
		d.Prefix, d.Suffix = rapid.IntRange(-3, 20).Draw(t, "prefix"), rapid.IntRange(-3, 20).Draw(t, "suffix")
		if got, err := d.Apply(from); err == nil && !bytes.Equal(got, to) {
			t.Errorf("a corrupted delta was applied: %q", got)
		}
	})
}
