package window

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Window is an interval of wall-clock time for which usage is reported, from
// StartMs up to but not including EndMs.
type Window struct {
	StartMs clock.Millis `json:"windowStartMs"`
	EndMs   clock.Millis `json:"windowEndMs"`
}

// Containing returns the window of the given length that contains the time at. Windows
// are aligned to multiples of length.
func Containing(at, length clock.Millis) Window {
	start := at - at%length
	return Window{StartMs: start, EndMs: start + length}
}

// Figures is an amount of usage.
type Figures struct {
	Requests     int64 `json:"requests"`
	PromptTokens int64 `json:"promptTokens"`
	OutputTokens int64 `json:"outputTokens"`
}

// Tokens returns the sum of prompt and output tokens.
func (f Figures) Tokens() int64 { return f.PromptTokens + f.OutputTokens }

// Plus returns the sum of f and g.
func (f Figures) Plus(g Figures) Figures {
	return Figures{f.Requests + g.Requests, f.PromptTokens + g.PromptTokens, f.OutputTokens + g.OutputTokens}
}

// Minus returns the difference of f and g.
func (f Figures) Minus(g Figures) Figures {
	return Figures{f.Requests - g.Requests, f.PromptTokens - g.PromptTokens, f.OutputTokens - g.OutputTokens}
}

// Max returns the maximum of f and g, field by field.
func (f Figures) Max(g Figures) Figures {
	return Figures{max(f.Requests, g.Requests), max(f.PromptTokens, g.PromptTokens), max(f.OutputTokens, g.OutputTokens)}
}

// Increment is the usage that one sidecar process has counted so far for a
// client account and window. It is a running total, not the change since the last one.
type Increment struct {
	Account string `json:"account"`
	Window
	Figures
}

// Seal fixes the figures that are reported for a client account and a window.
type Seal struct {
	Account string `json:"account"`
	Window
	Figures
	// CorrectionTokens is the usage that earlier seals of the account left out;
	// it is negative if they reported too much.
	CorrectionTokens int64 `json:"correctionTokens"`
}

// ReportID returns the identifier of the seal's report. It is the same for each
// retry, so that the platform can drop duplicates.
func (s Seal) ReportID() string {
	return s.Account + "/" + strconv.FormatInt(int64(s.StartMs), 10) + "-" + strconv.FormatInt(int64(s.EndMs), 10)
}

// Confirmation records that the platform has accepted the report of a seal.
type Confirmation struct {
	Account string `json:"account"`
	Window
}

// Count is the usage that one sidecar process has counted for a client account and
// window.
type Count struct {
	Incarnation string `json:"incarnation"`
	Figures
}

// State is the state of one window of a client account.
type State struct {
	Window
	Counts    []Count `json:"counts,omitempty"`
	Seal      *Seal   `json:"seal,omitempty"`
	Confirmed bool    `json:"confirmed,omitempty"`
}

// Entry is the state of one client account.
type Entry struct {
	Account string `json:"account"`
	// Owed is the number of tokens that were counted for sealed windows but are
	// in no seal; it is negative if seals contain more than was counted.
	Owed    int64   `json:"owed"`
	Windows []State `json:"windows"`
}

// Digest is one part of a digest: a snapshot of the state of a shard of client
// accounts that is split into parts of one record each.
type Digest struct {
	digest.Head
	Shard   int     `json:"shard"`
	Shards  int     `json:"shards"`
	Entries []Entry `json:"entries"`
}

// Record is one record of the usage stream. An empty record only advances the log
// time.
type Record struct {
	// Incarnation identifies the process that wrote the record; a restarted
	// process has a new one.
	Incarnation string         `json:"incarnation"`
	Increments  []Increment    `json:"increments,omitempty"`
	Seals       []Seal         `json:"seals,omitempty"`
	Confirms    []Confirmation `json:"confirms,omitempty"`
	Digest      *Digest        `json:"digest,omitempty"`
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
	for _, in := range r.Increments {
		if err := validateUsage("increments", in.Account, in.Window, in.Figures); err != nil {
			return err
		}
	}
	for _, s := range r.Seals {
		if err := validateUsage("seals", s.Account, s.Window, s.Figures); err != nil {
			return err
		}
	}
	for _, c := range r.Confirms {
		if err := validateUsage("confirms", c.Account, c.Window, Figures{}); err != nil {
			return err
		}
	}
	if r.Digest != nil {
		return r.Digest.Head.Validate()
	}
	return nil
}

// validateUsage validates the account, window and figures of an element of field.
func validateUsage(field, account string, w Window, f Figures) error {
	if account == "" || w.StartMs < 0 || w.EndMs <= w.StartMs {
		return &directory.FieldError{Field: field, Value: account, Reason: "must name a client account and a window"}
	}
	if f.Requests < 0 || f.PromptTokens < 0 || f.OutputTokens < 0 {
		return &directory.FieldError{Field: field, Value: account, Reason: "must not have negative figures"}
	}
	return nil
}

// ShardOf returns the shard of a client account, in [0, shards).
func ShardOf(account string, shards int) int {
	return int(xxhash.Sum64String(account) % uint64(shards))
}
