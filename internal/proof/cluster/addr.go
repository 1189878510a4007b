package cluster

import (
	"fmt"
	"os"
)

// FixedAddr returns address n of a host of this test process, host:port, which
// can be told to others before anyone listens there: it is on a loopback address
// of this process alone, below the ports that the system hands out.
func FixedAddr(host, n int) string {
	const firstPort, networks = 20000, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/networks%networks, 1+pid%networks, 1+host, firstPort+n)
}
