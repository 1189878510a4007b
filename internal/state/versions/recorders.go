package versions

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Recorder is what a gateway process says of its record of streams.
type Recorder struct {
	// Process identifies the process.
	Process string `json:"process"`
	// Begins are the further versions at which streams may begin at the process, by pool; see Span.Further.
	Begins map[string][]string `json:"begins,omitempty"`
	// Behind is set while the process can't record the streams that it begins, and Unnamed if some began at a version
	// that its record does not name.
	Behind  bool `json:"behind,omitempty"`
	Unnamed bool `json:"unnamed,omitempty"`
	// Left is set once the process has ended in order, so that its record is complete.
	Left bool `json:"left,omitempty"`
}

// UnmarshalJSON decodes and checks a recorder. The error is a *FieldError if it names no process.
func (r *Recorder) UnmarshalJSON(data []byte) error {
	type plain Recorder
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Process == "" {
		return &FieldError{"process", "must not be empty"}
	}
	*r = Recorder(p)
	return nil
}

// begins reports whether streams of a pool may begin at the process at another version than base.
func (r Recorder) begins(pool, base string) bool {
	return slices.ContainsFunc(r.Begins[pool], func(v string) bool { return v != base })
}

// Recorders are the processes whose records hold the streams that began at further versions. A stream that no record
// holds began at the base version of its pool, if all of them are certain to have recorded theirs. It is not safe for
// concurrent use.
type Recorders struct {
	known map[string]recorder
}

type recorder struct {
	Recorder
	atMs clock.Millis
}

// NewRecorders returns Recorders without processes.
func NewRecorders() *Recorders { return &Recorders{known: map[string]recorder{}} }

// Learn applies what a process said at a time, in Unix ms. Of what it said before that, as other clocks may tell the time,
// only the versions are added.
func (r *Recorders) Learn(atMs clock.Millis, said Recorder) {
	old, ok := r.known[said.Process]
	if !ok || atMs >= old.atMs {
		r.known[said.Process] = recorder{said, atMs}
		return
	}
	all := maps.Clone(said.Begins)
	for pool, versions := range old.Begins {
		all = put(all, pool, slices.Concat(all[pool], versions))
	}
	old.Begins = all
	r.known[said.Process] = old
}

func put(m map[string][]string, pool string, all []string) map[string][]string {
	if m == nil {
		m = map[string][]string{}
	}
	slices.Sort(all)
	m[pool] = slices.Compact(all)
	return m
}

// Sweep forgets processes that have said nothing for d, unless they are running.
func (r *Recorders) Sweep(now, d clock.Millis, running func(process string) bool) {
	for process, k := range r.known {
		if now-k.atMs > d && !running(process) {
			delete(r.known, process)
		}
	}
}

// Begun returns the processes other than own at which streams of a pool may have begun at another version than base.
func (r *Recorders) Begun(own, pool, base string) []string {
	var out []string
	for process, k := range r.known {
		if process != own && !k.Left && (k.Unnamed || k.begins(pool, base)) {
			out = append(out, process)
		}
	}
	slices.Sort(out)
	return out
}

// Complete reports whether the record of a process holds all streams that it began, as far as the process says.
func (r *Recorders) Complete(process string) bool {
	k := r.known[process]
	return !k.Behind && !k.Unnamed
}
