package claim

import (
	"encoding/json"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Result says whether the backend server executed an attempt.
type Result string

// Results of attempts. An attempt without a result may still be running, or its
// sidecar may have crashed.
const (
	// NotRun: no part of the request reached the backend server.
	NotRun Result = "notRun"
	// Done: the backend server answered.
	Done Result = "done"
	// Unknown: the backend server may have executed the request.
	Unknown Result = "unknown"
)

// Claim requests the exclusive right to hand over an attempt of the key's request
// to a backend server.
type Claim struct {
	Key     Key    `json:"key"`
	Attempt string `json:"attempt"`
	// ExpiresMs is the end of the key's idempotency window, in log time.
	ExpiresMs clock.Millis `json:"expiresMs"`
}

// Outcome states the result of the attempt whose claim was accepted at
// ClaimOffset.
type Outcome struct {
	Key         Key    `json:"key"`
	Attempt     string `json:"attempt"`
	ClaimOffset int64  `json:"claimOffset"`
	Result      Result `json:"result"`
	// Status is the HTTP status of the answer if Result is Done.
	Status int `json:"status,omitempty"`
}

// Entry is the state of a key that an accepted claim holds. Offset and AtMs are
// the offset and log time of that claim's record.
type Entry struct {
	Key         Key          `json:"key"`
	Attempt     string       `json:"attempt"`
	Incarnation string       `json:"incarnation"`
	Offset      int64        `json:"offset"`
	AtMs        clock.Millis `json:"atMs"`
	ExpiresMs   clock.Millis `json:"expiresMs"`
	// Result is empty until an outcome is recorded.
	Result Result `json:"result,omitempty"`
	Status int    `json:"status,omitempty"`
}

// Digest is one part of a digest: a snapshot of all live claims, as of the record
// at offset LastOffset, that is split into parts of one record each. It lets readers
// start after earlier records have expired.
type Digest struct {
	digest.Head
	Entries []Entry `json:"entries"`
}

// Record is one record of a claims stream. It holds the outcomes and claims of
// one sidecar process, to be applied in this order, or a part of a digest. An
// empty record only advances the log time.
type Record struct {
	// Incarnation identifies the process that wrote the record; a restarted
	// process has a new one.
	Incarnation string    `json:"incarnation"`
	Outcomes    []Outcome `json:"outcomes,omitempty"`
	Claims      []Claim   `json:"claims,omitempty"`
	Digest      *Digest   `json:"digest,omitempty"`
}

// UnmarshalJSON decodes and checks a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	rec, err := decode(data)
	if err != nil {
		return err
	}
	*r = rec
	return nil
}

// decode scans the data once; json.Unmarshal into a Record would scan it twice,
// as for any type with an UnmarshalJSON method.
func decode(data []byte) (Record, error) {
	type plain Record
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return Record{}, err
	}
	rec := Record(p)
	return rec, rec.validate()
}

func (r *Record) validate() error {
	if r.Incarnation == "" {
		return &directory.FieldError{Field: "incarnation", Value: `""`, Reason: "must not be empty"}
	}
	for _, c := range r.Claims {
		if c.Attempt == "" || c.ExpiresMs <= 0 {
			return &directory.FieldError{Field: "claims", Value: c, Reason: "must name an attempt and an expiry"}
		}
	}
	for _, o := range r.Outcomes {
		if err := o.validate(); err != nil {
			return err
		}
	}
	if r.Digest != nil {
		return r.Digest.validate()
	}
	return nil
}

func (o Outcome) validate() error {
	if o.Attempt == "" || o.ClaimOffset < 1 {
		return &directory.FieldError{Field: "outcomes", Value: o, Reason: "must name an attempt and the offset of its claim"}
	}
	return o.Result.validate()
}

func (r Result) validate() error {
	switch r {
	case NotRun, Done, Unknown:
		return nil
	}
	return &directory.FieldError{Field: "result", Value: r, Reason: "must be notRun, done or unknown"}
}

func (d *Digest) validate() error {
	if err := d.Head.Validate(); err != nil {
		return err
	}
	for _, e := range d.Entries {
		if e.Attempt == "" || e.Incarnation == "" || e.Offset < 1 || e.Offset > d.LastOffset {
			return &directory.FieldError{Field: "digest.entries", Value: e, Reason: "must have an attempt, an incarnation and an offset from 1 to upTo"}
		}
	}
	return nil
}
