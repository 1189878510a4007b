// Package socketbuffer decides how much memory the kernel may hold for each connection of a process:
// bytes received and not read, and bytes sent and not acknowledged.
//
// The kernel lets the buffers of one connection grow to megabytes, and a machine may count them
// towards the memory of the process. A Budget is a part of that memory, for all connections. Each
// has a floor, which is kept free for as many connections as the process may open. What is left is
// given out in equal parts of the rest: the first connections get large buffers, later ones smaller
// ones, and the sum stays within the budget whatever the order in which they open and close.
//
// Sizes are what the kernel counts, headers of packets and its own bookkeeping included. It holds
// twice the value that is set by SO_RCVBUF and SO_SNDBUF.
package socketbuffer

// Kind is the kind of peer of a connection.
type Kind int

// Kinds of peers. Operator is an operator's client, of readiness and metrics.
const (
	Caller Kind = iota
	Server
	Store
	Duties
	Gateway
	Operator
)

// Kinds lists all kinds.
var Kinds = []Kind{Caller, Server, Store, Duties, Gateway, Operator}

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"caller", "server", "store", "duties", "gateway", "operator"}[k]
}

const (
	// Share is the part of a process's memory that its sockets may have; the heap has 0.6.
	Share = 0.3
	// pageBytes is what the kernel may reserve for a connection beyond what it holds.
	pageBytes = 4 << 10
	// packetBytes is the kernel's bookkeeping for a write, rounded up.
	packetBytes = 1 << 10
	// mergedBytes is by how much writes may exceed the send buffer if the kernel merges them: it
	// looks at the buffer's limit only when it begins another packet of up to 64 KB.
	mergedBytes = 66 << 10
	// The floors allow two full packets of a link in each direction.
	floorReceive, floorSend, floorPiece = 6 << 10, 4608, 2 << 10
	floorBytes                          = floorReceive + floorSend + floorPiece + packetBytes + pageBytes
	// mergeFrom is the memory for sending from which writes may be merged.
	mergeFrom = 128 << 10
	maxPiece  = 32 << 10
	// maxExtra is the most memory of a connection beyond its floor.
	maxExtra = 256 << 10
	// maxRest is the most memory for sending that Rest adds to a connection.
	maxRest = 1 << 20
	// minExtra is the least that is worth setting other sizes than the floor.
	minExtra = 2 << 10
)

// Sizes are the limits of the kernel's memory for one connection, in bytes.
type Sizes struct {
	Receive int // twice the value of SO_RCVBUF
	Send    int // twice the value of SO_SNDBUF
	// Piece is the largest write, which must not be merged with others (MSG_EOR); 0 for no limit.
	Piece int
}

// Floor returns the sizes that every connection gets at least.
func Floor() Sizes { return Sizes{floorReceive, floorSend, floorPiece} }

// Fixed returns the sizes of a connection of a process that has no Budget.
func Fixed() Sizes { return Sizes{Receive: 128 << 10, Send: 128 << 10} }

// Bytes returns the most that the kernel holds for a connection with these sizes.
func (s Sizes) Bytes() int {
	over := s.Piece + packetBytes
	if s.Piece == 0 {
		over = mergedBytes
	}
	return s.Receive + s.Send + over + pageBytes
}

// rule is how the connections of a kind share what is left of the budget.
type rule struct {
	parts   int     // a connection gets one of so many equal parts of the rest
	receive float64 // part of it for receiving
}

var rules = map[Kind]rule{
	Caller: {112, 0.4}, Server: {112, 0.6}, Store: {64, 0.7}, Duties: {512, 0.5}, Gateway: {512, 0.5}, Operator: {512, 0.2},
}

// Budget is the memory for the sockets of a process, and what of it is given out.
type Budget struct {
	bytes, conns int
	given, open  int
}

// NewBudget returns the Budget of a process with memory bytes in all that may open up to conns
// connections.
func NewBudget(memory, conns int) Budget {
	return Budget{bytes: int(Share * float64(memory)), conns: conns}
}

// Bytes returns the size of the budget. It is not less than the floors of all connections, which is
// above Share if the process has under 60 KB of memory for each.
func (b Budget) Bytes() int { return max(b.bytes, b.conns*floorBytes) }

// Given returns the sum of the sizes of the open connections.
func (b Budget) Given() int { return b.given }

// Open returns the number of open connections.
func (b Budget) Open() int { return b.open }

// With returns the budget with one more connection, and its sizes.
func (b Budget) With(k Kind) (Budget, Sizes) {
	left := b.Bytes() - b.given - max(b.conns-b.open, 1)*floorBytes
	r := rules[k]
	extra := min(left/r.parts, maxExtra)
	if extra < minExtra {
		extra = 0
	}
	s := sizes(extra, r.receive)
	b.given += s.Bytes()
	b.open++
	return b, s
}

// Without returns the budget without a connection that had the sizes s.
func (b Budget) Without(s Sizes) Budget {
	b.given -= s.Bytes()
	b.open--
	return b
}

// Rest returns how much more memory for sending each of conns open connections may have if no others are
// opened any more.
func (b Budget) Rest(conns int) int {
	return min(max(b.Bytes()-b.given, 0)/max(conns, 1), maxRest)
}

// sizes divides extra bytes beyond the floor between the directions.
func sizes(extra int, receive float64) Sizes {
	s := Floor()
	more := int(receive * float64(extra))
	s.Receive += more
	send := s.Send + s.Piece + packetBytes + extra - more
	if send >= mergeFrom {
		return Sizes{Receive: s.Receive, Send: send - mergedBytes}
	}
	s.Piece = min(send/3, send-packetBytes-floorSend, maxPiece)
	s.Piece = max(s.Piece, floorPiece)
	s.Send = send - s.Piece - packetBytes
	return s
}
