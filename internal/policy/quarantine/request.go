package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"
)

const (
	// requestPrefix marks the ids of requests. Ids of prompt parts are in lower case, so
	// that no caller can name a part like a request.
	requestPrefix = "R"
	// requestHashBytes is the length of the hash in the id of a request.
	requestHashBytes = 16
)

// Request is what all tries of one request have in common.
type Request struct {
	// Account is the client account; empty for anonymous callers, who count as one.
	Account string
	Method  string
	Host    string
	// Target is the path and query as the caller sent them.
	Target string
	Body   []byte
}

// ID returns the id under which a request stands in evidence: equal for equal requests at all
// gateways and builds, and different for any two others. Headers do not count, since they
// differ from try to try.
func (r Request) ID() string {
	h := sha256.New()
	for _, s := range []string{r.Account, r.Method, strings.ToLower(r.Host), r.Target} {
		writeSized(h, []byte(s))
	}
	writeSized(h, r.Body)
	return requestPrefix + hex.EncodeToString(h.Sum(nil)[:requestHashBytes])
}

// writeSized writes the length of data and data, so that no two lists of fields are written
// alike.
func writeSized(h hash.Hash, data []byte) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(data)))
	_, _ = h.Write(n[:])
	_, _ = h.Write(data)
}

// IsRequest reports whether id is that of a request, not of a prompt part.
func IsRequest(id string) bool { return strings.HasPrefix(id, requestPrefix) }

// ParseSubject returns the id of a subject as it stands in evidence, from that of a prompt part
// or a request as an operator gives it. The error is a *FieldError.
func ParseSubject(id string) (string, error) {
	id = strings.TrimSpace(id)
	if id == "" {
		return "", &FieldError{"subject", "no prompt part or request is named"}
	}
	if !IsRequest(id) {
		return Normalize([]string{id})[0], nil
	}
	if data, err := hex.DecodeString(id[len(requestPrefix):]); err != nil || len(data) != requestHashBytes {
		return "", &FieldError{"subject", "not the id of a request: want R and 32 hexadecimal digits"}
	}
	return id, nil
}
