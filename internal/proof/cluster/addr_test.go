package cluster_test

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/damaskport/damaskport/internal/proof/cluster"
)

// TestFixedAddr listens on addresses that the system hands to nobody else.
func TestFixedAddr(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip(err)
	}
	lowest, err := strconv.Atoi(strings.Fields(string(data))[0])
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for host := range 3 {
		for n := range 5 {
			addr := cluster.FixedAddr(host, n)
			if seen[addr] {
				t.Errorf("%s is given twice", addr)
			}
			seen[addr] = true
			_, text, err := net.SplitHostPort(addr)
			if err != nil {
				t.Fatal(err)
			}
			if port, _ := strconv.Atoi(text); port >= lowest {
				t.Errorf("port of %s is one that the system hands out, from %d on", addr, lowest)
			}
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
		}
	}
}
