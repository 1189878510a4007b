package servers_test

import (
	"testing"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// TestRenewalProvesTheProcess: only an entry of the same start, written after a read that began some time
// after the answer's end, is a renewal.
func TestRenewalProvesTheProcess(t *testing.T) {
	type read struct {
		sent       clock.Millis
		start, seq int64 // no entry without a start
		deleted    bool
		whole      bool
	}
	for name, tc := range map[string]struct {
		reads []read
		want  servers.Renewal
	}{
		"not read":                      {nil, servers.NoRenewal},
		"read before and after the end": {[]read{{sent: 900, start: 7, seq: 3, whole: true}, {sent: 1300, start: 7, seq: 4}}, servers.NoRenewal},
		"written on its way at the end": {[]read{{sent: 1000, start: 7, seq: 3, whole: true}, {sent: 1200, start: 7, seq: 4}, {sent: 1500}}, servers.NoRenewal},
		"renewed":                       {[]read{{sent: 1300, start: 7, seq: 3, whole: true}, {sent: 1500}, {sent: 1700, start: 7, seq: 4}}, servers.Renewed},
		"read again whole":              {[]read{{sent: 1300, start: 7, seq: 3, whole: true}, {sent: 1500, start: 7, seq: 3, whole: true}}, servers.NoRenewal},
		"known before, renewed":         {[]read{{sent: 900, start: 7, seq: 3, whole: true}, {sent: 1300}, {sent: 1500, start: 7, seq: 4}}, servers.Renewed},
		"missing":                       {[]read{{sent: 1300, whole: true}}, servers.Gone},
		"deleted":                       {[]read{{sent: 900, start: 7, seq: 3, whole: true}, {sent: 1300, deleted: true}}, servers.Gone},
		"a later start":                 {[]read{{sent: 1300, start: 7, seq: 3, whole: true}, {sent: 1500, start: 8, seq: 9}}, servers.Gone},
	} {
		r, w := servers.NewRenewals(), &servers.RenewalWatch{Key: servers.Key{ID: "s", Start: 7}, SinceMs: 1000}
		r.Watch(w)
		for _, rd := range tc.reads {
			var entries []servers.Server
			if rd.start != 0 || rd.deleted {
				entries = []servers.Server{{ID: "s", Start: rd.start, Seq: rd.seq}}
			}
			r.Read(rd.sent, entries, rd.whole)
		}
		if got := w.State(); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}
