package lease

import (
	"encoding/json"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// MaxLength is the maximum length of a lease.
const MaxLength = 30 * clock.Second

// Claim takes, renews or releases one lease.
type Claim struct {
	Lease string `json:"lease"`
	// LastAccepted is the offset of the last accepted claim on the lease that the
	// author has read, or 0 if there is none. The claim is accepted only if
	// that is still the last one.
	LastAccepted int64 `json:"seen"`
	// Term is the present term in a renewal or a release, and 0 in a claim
	// that starts a new term.
	Term     int64        `json:"term,omitempty"`
	LengthMs clock.Millis `json:"lengthMs"`
	Release  bool         `json:"release,omitempty"`
}

// Record is one record of the leases stream. A record without claims only advances
// the log time.
type Record struct {
	// Holder identifies the process that wrote the record; a restarted process
	// has a new one.
	Holder string `json:"holder"`
	// Seq is the number of the record among those of the process, from 1.
	Seq    int64   `json:"seq"`
	Claims []Claim `json:"claims,omitempty"`
}

// UnmarshalJSON decodes and checks a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Holder == "" {
		return &directory.FieldError{Field: "holder", Value: `""`, Reason: "must not be empty"}
	}
	for _, c := range p.Claims {
		if c.Lease == "" || c.LastAccepted < 0 {
			return &directory.FieldError{Field: "claims", Value: c, Reason: "must name a lease, and seen must not be negative"}
		}
		if c.Term < 0 || c.Term > c.LastAccepted || c.Release && c.Term == 0 {
			return &directory.FieldError{Field: "claims.term", Value: c.Term, Reason: "must be between 0 and the offset in seen, and not 0 in a release"}
		}
		if c.LengthMs <= 0 || c.LengthMs > MaxLength {
			return &directory.FieldError{Field: "claims.lengthMs", Value: c.LengthMs, Reason: "must be positive and at most 30 s"}
		}
	}
	*r = Record(p)
	return nil
}
