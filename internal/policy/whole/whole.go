// Package whole decides whether an answer that has ended is whole. One goroutine sees the end of the answer,
// another one that of the upload, and a reset is reported to the first of the two that asks: neither end
// counts alone. The load that it answers: servers that answer long uploads at once and break off.
package whole

// Upload is what is known of the sending of a request once its answer has ended.
type Upload int

// The states of an upload. It is Running until the server's system has acknowledged all of it.
const (
	Running Upload = iota
	Sent
	Failed
)

// String returns the name of u as it stands in logs.
func (u Upload) String() string {
	switch u {
	case Sent:
		return "sent"
	case Failed:
		return "failed"
	default:
		return "running"
	}
}

// Server is what is known of the process of a server after the end of its answer.
type Server int

// The states of a server. Unknown is the state of one of which nothing is known.
const (
	Unknown Server = iota
	Alive
	Ended
)

// String returns the name of s as it stands in logs.
func (s Server) String() string {
	switch s {
	case Alive:
		return "alive"
	case Ended:
		return "ended"
	default:
		return "unknown"
	}
}

// Facts are what is known of an answer that has ended.
type Facts struct {
	// Framed is set if a length or chunks show where the answer ends.
	Framed bool
	// ReadFailed is set if reading the answer failed, before its end if it is framed.
	ReadFailed bool
	Upload     Upload
	Server     Server
}

// Verdict tells what an answer is worth.
type Verdict int

// The verdicts. Only an answer that is Whole may look complete to its caller; one that is Unproven may become
// Whole or Broken with further facts, and counts as Broken if there is no time for them.
const (
	Unproven Verdict = iota
	Whole
	Broken
)

// String returns the name of v.
func (v Verdict) String() string {
	switch v {
	case Whole:
		return "whole"
	case Broken:
		return "broken"
	default:
		return "unproven"
	}
}

// Verdict returns what f proves. An answer without framing ends with its connection, and a connection over
// which the upload did not arrive has not ended in order.
func (f Facts) Verdict() Verdict {
	switch {
	case f.ReadFailed:
		return Broken
	case f.Framed:
		return Whole
	case f.Upload == Failed || f.Server == Ended:
		return Broken
	case f.Upload == Sent && f.Server == Alive:
		return Whole
	default:
		return Unproven
	}
}
