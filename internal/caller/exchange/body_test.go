package exchange_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/caller/exchange"
)

// memory has room for all bodies, and is taken by the function.
type memory func(n int64) bool

func (memory) Room(int64) bool     { return true }
func (m memory) Take(n int64) bool { return m(n) }

// TestBodyTakesMemoryAsItArrives guards against callers that use the memory of a long body without sending it.
func TestBodyTakesMemoryAsItArrives(t *testing.T) {
	const size = 1 << 20
	for name, tc := range map[string]struct {
		length int64
		sent   int
		ok     bool
		most   int64
	}{
		"whole":         {size, size, true, size},
		"cut short":     {size, 10, false, 64 << 10},
		"unknown":       {-1, size, true, 2 * size},
		"unknown short": {-1, 10, true, 4 << 10},
		"short":         {10, 10, true, 10},
	} {
		t.Run(name, func(t *testing.T) {
			sent := bytes.Repeat([]byte("x"), tc.sent)
			r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(bytes.NewReader(sent)))
			r.ContentLength = tc.length
			var taken int64
			data, f := exchange.ReadBody(httptest.NewRecorder(), r, exchange.BodyLimits{Memory: memory(func(n int64) bool {
				taken += n
				return true
			})})
			if (f == nil) != tc.ok || taken > tc.most {
				t.Errorf("failure %v, %d bytes taken, want at most %d", f, taken, tc.most)
			}
			if tc.ok && !cmp.Equal(sent, data) {
				t.Errorf("%d bytes, want the %d that were sent", len(data), len(sent))
			}
		})
	}
}
