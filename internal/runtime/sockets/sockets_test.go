package sockets_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/damaskport/damaskport/internal/runtime/sockets"
)

const header = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n"

// TestParse reads tables as a little-endian machine shows them.
func TestParse(t *testing.T) {
	const table = header +
		"   0: 0100007F:A8CD 00000000:0000 0A 00000000:00000000 00:00000000 00000000  1000        0 298954 2 00000000ea69eb24 100 0 0 10 0\n" +
		"   1: 0201A8C0:1F90 0100007F:C350 06 00000000:00000000 03:000016F2 00000000     0        0 0 3 00000000aa69eb24\n" +
		"   2: 0000000000000000FFFF00000100007F:1F90 0000000000000000FFFF00000200007F:C351 01 00000000:00000000 00:00000000 00000000     7        0 12 1 0\n" +
		"   3: B80D0120000000000000000001000000:0050 00000000000000000000000000000000:0000 1F 00000000:00000000 00:00000000 00000000     0        0 13 1 0\n"
	got, err := sockets.Parse(strings.NewReader(table), func(sockets.Socket) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort
	want := []sockets.Socket{
		{Local: addr("127.0.0.1:43213"), Remote: addr("0.0.0.0:0"), State: sockets.Listen, UID: 1000, Inode: 298954},
		{Local: addr("192.168.1.2:8080"), Remote: addr("127.0.0.1:50000"), State: sockets.TimeWait},
		{Local: addr("127.0.0.1:8080"), Remote: addr("127.0.0.2:50001"), State: sockets.Established, UID: 7, Inode: 12},
		{Local: addr("[2001:db8::1]:80"), Remote: addr("[::]:0"), State: "unknown", Inode: 13},
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("sockets (-want +got):\n%s", diff)
	}
}

func TestParseReportsAnotherFormat(t *testing.T) {
	for _, line := range []string{
		"0: 0100007F:A8CD", "0: 01007F:A8CD 00000000:0000 0A 0 0 0 0 0 1", "0: 0100007F 00000000:0000 0A 0 0 0 0 0 1",
		"0: 0100007F:A8CD 00000000:0000 zz 0 0 0 0 0 1", "0: 0100007F:A8CD 00000000:0000 0A 0 0 0 0 0 -1",
	} {
		if got, err := sockets.Parse(strings.NewReader(header+line), func(sockets.Socket) bool { return true }); err == nil {
			t.Errorf("%q: no error, %v", line, got)
		}
	}
}
