package openai_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/runtime/bounded"
)

// TestAssemblerRejectsEndlessAnswer checks that the Assembler fails at its size limit when
// an engine streams without end. Otherwise the chunks would fill the memory, since the
// response is held until it is complete.
func TestAssemblerRejectsEndlessAnswer(t *testing.T) {
	const maxBytes = 8 << 20
	a := openai.NewAssembler()
	chunk := []byte(`{"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 4096) + `"}}]}`)
	for n := 0; n < maxBytes; n += len(chunk) {
		if err := a.Add(chunk); err != nil {
			var large *bounded.TooLargeError
			if !errors.As(err, &large) {
				t.Errorf("Add returned %v, want a TooLargeError", err)
			}
			return
		}
	}
	t.Errorf("Add accepted %d bytes, want a TooLargeError", maxBytes)
}
