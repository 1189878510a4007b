package listen

import (
	"net"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/sockets"
)

// Holder is what has an address that is taken.
type Holder struct {
	// Kind is "listener", "connection", "timeWait" (a connection that its opener closed less than a
	// minute ago), "bound" (a socket that the table of the system does not show), or "unknown".
	Kind string
	// Socket is the socket that has it, if the system shows one, and Sockets how many do.
	sockets.Socket
	Sockets int
}

// Holder looks up what has the address. Whether it is another process of the system can't be known.
func (e *Error) Holder() (Holder, error) {
	var op *net.OpError
	if !errors.As(e.Err, &op) {
		return Holder{Kind: "unknown"}, nil
	}
	to, ok := op.Addr.(*net.TCPAddr)
	if !ok {
		return Holder{Kind: "unknown"}, nil
	}
	found, err := sockets.Find(func(s sockets.Socket) bool { return conflict(s.Local, addrPort(to)) })
	if err != nil {
		return Holder{Kind: "unknown"}, err
	}
	return holderOf(found), nil
}

// HolderFields returns the fields for the log that tell what has the address of err; nil if err is no
// *Error of an address that is taken.
func HolderFields(err error) logrus.Fields {
	var addr *Error
	if !errors.As(err, &addr) || !addr.Taken() {
		return nil
	}
	h, err := addr.Holder()
	f := logrus.Fields{"holder": h.Kind}
	if err != nil {
		f["holderError"] = err
	}
	if h.Sockets > 0 {
		f["holderState"], f["holderRemote"], f["holderSockets"] = string(h.State), h.Remote.String(), h.Sockets
		f["holderUid"], f["holderInode"] = h.UID, h.Inode
	}
	return f
}

// holderOf returns the one of sockets that will keep the address for longest.
func holderOf(found []sockets.Socket) Holder {
	for _, k := range []struct {
		kind string
		is   func(sockets.Socket) bool
	}{
		{"listener", func(s sockets.Socket) bool { return s.State == sockets.Listen }},
		{"connection", func(s sockets.Socket) bool { return s.State != sockets.TimeWait }},
		{"timeWait", func(sockets.Socket) bool { return true }},
	} {
		if i := slices.IndexFunc(found, k.is); i >= 0 {
			return Holder{Kind: k.kind, Socket: found[i], Sockets: len(found)}
		}
	}
	return Holder{Kind: "bound"}
}
