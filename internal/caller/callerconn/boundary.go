package callerconn

import (
	"bytes"
	"math"
)

// aheadBytes is the number of bytes after a head that are kept: the HTTP server reads no more of
// them at once before it has handled them.
const aheadBytes = 8 << 10

// part is a part of a request.
type part int

const (
	partStart   part = iota // line ends before the head, which belong to no request
	partHead                // lines up to an empty one
	partHeld                // after the head; only its reader knows the framing
	partBody                // a body with a length
	partSize                // the line with the size of a chunk
	partChunk               // a chunk and the line end after it
	partTrailer             // lines up to an empty one
	partEnd                 // after the request
	partLost                // not known, too much was kept
)

// line is what of a line has arrived.
type line int

const (
	lineEmpty line = iota
	lineCR         // a carriage return only
	lineText
)

// Boundary follows where on a connection the current request ends. It only watches what the HTTP server
// reads: requests are taken from the bytes by that server alone. The zero value is the start of a
// connection. It is immutable.
type Boundary struct {
	part part
	line line
	left int64  // bytes of the body or chunk that are to come
	size int64  // of the chunk whose size line arrives
	text bool   // the size is over
	kept string // bytes after the head, or after the request
	// lines is the number of lines of the current request's head that have arrived.
	lines int
}

// Received returns the boundary after p has arrived.
func (b Boundary) Received(p []byte) Boundary {
	for len(p) > 0 {
		n := 1
		switch b.part {
		case partHeld, partEnd:
			return b.keep(p)
		case partLost:
			return b
		case partBody, partChunk:
			n = int(min(b.left, int64(len(p))))
			b = b.skip(n)
		default:
			if b.line == lineText && b.part != partSize {
				if n = bytes.IndexByte(p, '\n'); n < 0 {
					return b
				}
				p, n = p[n:], 1
			}
			b = b.next(p[0])
		}
		p = p[n:]
	}
	return b
}

// skip returns the boundary after n bytes of a body or chunk.
func (b Boundary) skip(n int) Boundary {
	b.left -= int64(n)
	switch {
	case b.left > 0:
	case b.part == partBody:
		b.part = partEnd
	default:
		b.part = partSize
	}
	return b
}

// keep returns b with p among the bytes that are not assigned to a part yet.
func (b Boundary) keep(p []byte) Boundary {
	if b.part == partEnd && b.kept == "" {
		p = bytes.TrimLeft(p, "\r\n")
	}
	if len(b.kept)+len(p) > aheadBytes {
		return Boundary{part: partLost}
	}
	b.kept += string(p)
	return b
}

// next returns the boundary after c, a byte of a line.
func (b Boundary) next(c byte) Boundary {
	empty := b.line != lineText
	switch {
	case c == '\n':
		b.line = lineEmpty
	case c == '\r' && b.line == lineEmpty:
		b.line = lineCR
	default:
		b.line = lineText
	}
	switch b.part {
	case partStart:
		if b.line == lineText {
			b.part = partHead
		}
	case partHead:
		if c == '\n' {
			b.lines++
		}
		if c == '\n' && empty {
			b.part = partHeld
		}
	case partTrailer:
		if c == '\n' && empty {
			b.part = partEnd
		}
	case partSize:
		return b.sizeByte(c)
	}
	return b
}

// sizeByte returns the boundary after c, a byte of a size line.
func (b Boundary) sizeByte(c byte) Boundary {
	digit := hexDigit(c)
	switch {
	case c == '\n' && b.size == 0:
		b.part, b.text = partTrailer, false
	case c == '\n':
		const lineEnd = 2
		b.part, b.left, b.size, b.text = partChunk, b.size+lineEnd, 0, false
	case b.text || digit < 0:
		b.text = true
	case b.size > math.MaxInt64>>5:
		return Boundary{part: partLost}
	default:
		b.size = b.size<<4 | digit
	}
	return b
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int64 {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10
	}
	return -1
}

// Framed returns the boundary with the framing of the current request, whose head has arrived. length is
// that of the body in bytes, negative for chunks.
func (b Boundary) Framed(length int64) Boundary {
	if b.part != partHeld {
		return Boundary{part: partLost}
	}
	kept := b.kept
	switch b = (Boundary{part: partBody, left: length}); {
	case length < 0:
		b.part = partSize
	case length == 0:
		b.part = partEnd
	}
	return b.Received([]byte(kept))
}

// Next returns the boundary of the request after the current one.
func (b Boundary) Next() Boundary {
	if b.part != partEnd {
		return Boundary{part: partLost}
	}
	return Boundary{}.Received([]byte(b.kept))
}

// Lines returns how many lines of the head of the current request have arrived, as far as that is known.
func (b Boundary) Lines() int { return b.lines }

// Ended reports whether the current request has arrived whole.
func (b Boundary) Ended() bool { return b.part == partEnd }

// BodyArrives reports whether a part of the body of the current request has not arrived.
func (b Boundary) BodyArrives() bool { return b.part > partHeld && b.part < partEnd }

// HeadArrived reports whether the head of the current request has arrived.
func (b Boundary) HeadArrived() bool { return b.part >= partHeld && b.part != partLost }

// Behind returns how many bytes of further requests have arrived, as far as that is known.
func (b Boundary) Behind() int {
	if b.part != partEnd {
		return 0
	}
	return len(b.kept)
}
