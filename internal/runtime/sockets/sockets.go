// Package sockets reads the system's table of TCP sockets.
package sockets

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// State is the state of a TCP socket.
type State string

// The states that tell most about who has an address.
const (
	Listen      State = "listen"
	Established State = "established"
	TimeWait    State = "timeWait"
)

// states are the states by their number in the table, from 1 on.
var states = []State{Established, "synSent", "synRecv", "finWait1", "finWait2", TimeWait, "close", "closeWait", "lastAck", Listen, "closing", "newSynRecv"}

// Socket is an entry of the table.
type Socket struct {
	Local, Remote netip.AddrPort
	State         State
	// UID is the user of the socket, and Inode its number in the descriptors of its process; both are 0
	// in TIME_WAIT, which is of no process any more.
	UID   int
	Inode uint64
}

// Parse returns the sockets of a table in the format of /proc/net/tcp and tcp6 for which keep holds.
func Parse(r io.Reader, keep func(Socket) bool) ([]Socket, error) {
	var out []Socket
	lines := bufio.NewScanner(r)
	for first := true; lines.Scan(); first = false {
		if first {
			continue
		}
		s, err := parseLine(lines.Text())
		if err != nil {
			return nil, err
		}
		if keep(s) {
			out = append(out, s)
		}
	}
	return out, errors.Wrap(lines.Err(), "read table of sockets")
}

// parseLine reads a line: its number, both addresses, the state, the queues, a timer, retransmissions,
// the user, a time-out and the inode.
func parseLine(line string) (Socket, error) {
	const local, remote, state, user, inode = 1, 2, 3, 7, 9
	f := strings.Fields(line)
	if len(f) <= inode {
		return Socket{}, errors.Errorf("table of sockets: line of %d fields", len(f))
	}
	var s Socket
	var err error
	if s.Local, err = parseAddr(f[local]); err != nil {
		return Socket{}, err
	}
	if s.Remote, err = parseAddr(f[remote]); err != nil {
		return Socket{}, err
	}
	n, err := strconv.ParseUint(f[state], 16, 8)
	if err != nil {
		return Socket{}, errors.Wrap(err, "table of sockets: state")
	}
	s.State = "unknown"
	if n >= 1 && int(n) <= len(states) {
		s.State = states[n-1]
	}
	if s.UID, err = strconv.Atoi(f[user]); err != nil {
		return Socket{}, errors.Wrap(err, "table of sockets: user")
	}
	s.Inode, err = strconv.ParseUint(f[inode], 10, 64)
	return s, errors.Wrap(err, "table of sockets: inode")
}

// parseAddr reads an address: words of 32 bits in the byte order of the machine, and the port.
func parseAddr(text string) (netip.AddrPort, error) {
	host, port, _ := strings.Cut(text, ":")
	b, err := hex.DecodeString(host)
	if err != nil || len(b)%4 != 0 {
		return netip.AddrPort{}, errors.Errorf("table of sockets: address %q", text)
	}
	for i := 0; i < len(b); i += 4 {
		binary.NativeEndian.PutUint32(b[i:], binary.BigEndian.Uint32(b[i:]))
	}
	ip, ok := netip.AddrFromSlice(b)
	n, err := strconv.ParseUint(port, 16, 16)
	if !ok || err != nil {
		return netip.AddrPort{}, errors.Errorf("table of sockets: address %q", text)
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(n)), nil
}

// Find returns the sockets of the system, of IPv4 and IPv6, for which keep holds.
func Find(keep func(Socket) bool) ([]Socket, error) {
	var out []Socket
	for _, name := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		found, err := parseFile(name, keep)
		if errors.Is(err, os.ErrNotExist) && name == "/proc/net/tcp6" {
			continue // a machine without IPv6
		}
		if err != nil {
			return nil, err
		}
		out = append(out, found...)
	}
	return out, nil
}

func parseFile(name string, keep func(Socket) bool) ([]Socket, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read table of sockets")
	}
	defer f.Close()
	return Parse(f, keep)
}
