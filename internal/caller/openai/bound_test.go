package openai_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/runtime/bounded"
)

// TestAnswerWithoutEnd has an engine go on for ever with an answer whose caller takes it
// whole.
func TestAnswerWithoutEnd(t *testing.T) {
	const most = 8 << 20
	a := openai.NewAssembler()
	chunk := []byte(`{"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 4096) + `"}}]}`)
	for n := 0; n < most; n += len(chunk) {
		if err := a.Add(chunk); err != nil {
			var large *bounded.TooLargeError
			if !errors.As(err, &large) {
				t.Errorf("Add = %v", err)
			}
			return
		}
	}
	t.Errorf("%d bytes were taken", most)
}
