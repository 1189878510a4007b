package settings_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/settings"
)

// TestConflictingAddressesAreWrong guards against processes that wait without end for an address that they
// have themselves.
func TestConflictingAddressesAreWrong(t *testing.T) {
	for _, c := range []struct{ callers, ready, want string }{
		{"127.0.0.1:2", "127.0.0.1:2", `must differ from callerAddr, which is "127.0.0.1:2"`},
		{"localhost:2", "localhost:2", `must differ from callerAddr, which is "localhost:2"`},
		{"127.0.0.1:2", "127.0.0.1:0002", `must differ from callerAddr, which is "127.0.0.1:2"`},
		{"0.0.0.0:2", "127.0.0.1:2", `must differ from callerAddr, which is "0.0.0.0:2"`},
		{"127.0.0.1:2", "[::]:2", `must differ from callerAddr, which is "127.0.0.1:2"`},
		{"[::1]:2", "[0:0::1]:2", `must differ from callerAddr, which is "[::1]:2"`},
		{"127.0.0.1:2", "[::ffff:127.0.0.1]:2", `must differ from callerAddr, which is "127.0.0.1:2"`},
		{"127.0.0.1:2", "127.0.0.2:2", ""},
		{"127.0.0.1:2", "[::1]:2", ""},
		{"127.0.0.1:0", "127.0.0.1:0", ""},
		{"localhost:0", "localhost:0", ""},
	} {
		text := strings.NewReplacer("127.0.0.1:1", c.callers, "127.0.0.1:2", c.ready).Replace(soundGateway)
		_, err := settings.ParseGateway("g.json", []byte(text))
		var bad *settings.Errors
		got := ""
		if errors.As(err, &bad) {
			got = bad.Problems[0].Want
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("callerAddr %s, readyAddr %s (-want +got):\n%s", c.callers, c.ready, diff)
		}
	}
}
