// Package quarantine decides which requests are kept from backend servers because they end
// each server that runs them: by themselves, or by a part of their prompts.
//
// What may be to blame is a subject: a prompt part, which many requests share, or a request,
// which comes again and again (Request). A Ledger holds the evidence of the whole fleet: which servers ended, and which requests
// they had not answered yet. Evidence is merged in any order and any number of times, so
// gateways with the same evidence decide alike. Breaks holds what may become evidence: the
// requests that broke off at servers of which it is not known whether they have ended. An
// Examiner, on one gateway for all, lets one request with a suspected subject run at a time. The
// package is pure: the current time is an argument, in Unix milliseconds, since evidence
// outlives processes.
package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// maxIDBytes is the length in the store above which the id of a part or of a try is replaced by its hash.
	maxIDBytes = 64
	// maxSubjects bounds the subjects of one request that are examined, and maxSuspects the
	// requests that are kept of one Ending.
	maxSubjects = 32
	maxSuspects = 16
	// maxEndings bounds the endings in a ledger, maxSuspectBytes their suspects, maxMarks the
	// marks of one kind, and maxRetrialMarks those of retrials that are told. Together they fit
	// into one record of the store.
	maxEndings      = 128
	maxSuspectBytes = 96 << 10
	maxMarks        = 1024
	maxRetrialMarks = 256
	// evidenceKeep is how long evidence counts.
	evidenceKeep = 24 * 3600 * clock.Second
	// skewMargin is the difference of two gateways' clocks up to which an answer that came
	// after the end of a server counts as such.
	skewMargin = clock.Second
)

// FieldError reports an invalid field of evidence.
type FieldError struct {
	Field, Reason string
}

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("evidence field %s: %s", e.Field, e.Reason) }

// Suspect is a request that a server had been sent and not answered when it ended.
type Suspect struct {
	Request string `json:"request"`
	Account string `json:"account,omitempty"`
	// Subjects are the ids of the parts of the prompt, without the last one, which belongs
	// to the request alone, and of the request.
	Subjects []string `json:"parts"`
	// Trial is set if an Examiner had let the request run: no other one with its suspected
	// subjects ran then.
	Trial bool `json:"trial,omitempty"`
}

// requestID returns the id of the request among the subjects; empty if it is not known.
func (s Suspect) requestID() string {
	if i := slices.IndexFunc(s.Subjects, IsRequest); i >= 0 {
		return s.Subjects[i]
	}
	return ""
}

// bytes returns about the size of s in the store.
func (s Suspect) bytes() int {
	const names = 48 // names of the fields and punctuation
	n := names + jsonBytes(s.Request) + jsonBytes(s.Account)
	for _, id := range s.Subjects {
		n += jsonBytes(id) + 3
	}
	return n
}

// jsonBytes returns the length of s in JSON, at most.
func jsonBytes(s string) int {
	const escaped = 6 // \u003c
	n := len(s)
	for _, c := range []byte(s) {
		if c < ' ' || c >= utf8.RuneSelf || strings.IndexByte(`"\\<>&`, c) >= 0 {
			n += escaped - 1
		}
	}
	return n
}

// Ending is the end of one start of a server.
type Ending struct {
	Server   servers.Key  `json:"server"`
	AtMs     clock.Millis `json:"at"`
	Suspects []Suspect    `json:"suspects"`
}

// Mark is the time of an event that concerns a subject.
type Mark struct {
	Subject string       `json:"part"`
	AtMs    clock.Millis `json:"at"`
	// Operator is set if an operator cleared the subject.
	Operator bool `json:"operator,omitempty"`
}

// Evidence is what gateways tell each other and keep in the store.
type Evidence struct {
	Endings []Ending `json:"endings,omitempty"`
	// Cleared are subjects with which a request was answered, or which an operator cleared.
	// They void all earlier evidence against the subject.
	Cleared []Mark `json:"cleared,omitempty"`
	// Retrials are the times at which a request with a refused subject was tried again.
	Retrials []Mark `json:"retrials,omitempty"`
}

// Empty reports whether there is no evidence.
func (e Evidence) Empty() bool { return len(e.Endings)+len(e.Cleared)+len(e.Retrials) == 0 }

// UnmarshalJSON decodes and checks evidence. The error is a *FieldError if a bound is
// exceeded or a name is missing.
func (e *Evidence) UnmarshalJSON(data []byte) error {
	type plain Evidence
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if len(p.Endings) > maxEndings || len(p.Cleared) > maxMarks || len(p.Retrials) > maxMarks {
		return &FieldError{"endings", "too many entries"}
	}
	for _, end := range p.Endings {
		if len(end.Suspects) > maxSuspects {
			return &FieldError{"suspects", "too many entries"}
		}
		for _, s := range end.Suspects {
			if s.Request == "" || len(s.Subjects) > maxSubjects || slices.ContainsFunc(s.Subjects, invalidSubject) {
				return &FieldError{"suspects", "invalid request or subjects"}
			}
		}
	}
	for _, m := range slices.Concat(p.Cleared, p.Retrials) {
		if invalidSubject(m.Subject) {
			return &FieldError{"part", "invalid id"}
		}
	}
	*e = Evidence(p)
	return nil
}

func invalidSubject(id string) bool { return id == "" || len(id) > maxIDBytes }

// Normalize returns the parts of a prompt as they stand in evidence: without duplicates, long
// ids replaced by a hash, and so few that there is room for the id of the request.
func Normalize(parts []string) []string {
	out := make([]string, 0, min(len(parts)+1, maxSubjects))
	for _, id := range parts {
		id = shortID(strings.ToLower(id))
		if id != "" && len(out) < maxSubjects-1 && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// shortID returns id, or its hash if it is long in the store.
func shortID(id string) string {
	if jsonBytes(id) > maxIDBytes {
		return fmt.Sprintf("#%016x", xxhash.Sum64String(id))
	}
	return id
}

// marks are the newest times of events by subject.
type marks map[string]Mark

// add records m and reports whether it is newer than what was known. Of more than limit
// marks the oldest quarter is dropped.
func (s marks) add(m Mark, limit int) bool {
	if old, ok := s[m.Subject]; ok && old.AtMs >= m.AtMs {
		return false
	}
	s[m.Subject] = m
	if len(s) > limit {
		all := slices.SortedFunc(maps.Values(s), func(a, b Mark) int { return cmp.Compare(a.AtMs, b.AtMs) })
		for _, old := range all[:limit/4] {
			delete(s, old.Subject)
		}
	}
	return true
}
