package versions

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// idBytes is the size of a stream's id in a record.
	idBytes = 8
	// maxStreams bounds the streams in an Index.
	maxStreams = 1 << 18
)

// ID identifies a stream by the request that brought its first event.
type ID uint64

// IDOf returns the ID of the stream that a request began.
func IDOf(request string) ID { return ID(xxhash.Sum64String(request)) }

// Begin is the pool and the software version at which a stream began.
type Begin struct{ Pool, Version string }

// Batch holds streams that one gateway began. Its JSON form maps pool and version to the IDs, 8
// bytes each in base64.
type Batch struct {
	AtMs    clock.Millis
	Streams map[ID]Begin
	// Recorder is what the gateway says of the record; it has no process in records of earlier builds.
	Recorder Recorder
	// Unproved are streams that a start of a server may have begun of which no list was read
	// since.
	Unproved map[ID]Supposed
}

// Supposed is where a stream began, if its server had not started anew just before.
type Supposed struct {
	Pool    string       `json:"pool"`
	Version string       `json:"version"`
	Server  string       `json:"server"`
	Start   int64        `json:"start"`
	BeganMs clock.Millis `json:"began"`
}

// Prove returns what a list of servers as of a time says, by the starts that it has shown. steady converts Unix ms to
// the clock of that time.
func (s Supposed) Prove(asOf clock.Millis, starts servers.Starts, steady func(wall clock.Millis) clock.Millis) Proof {
	if starts.Latest(s.Server) == 0 {
		return Unproved
	}
	return Contact{Server: s.Server, Start: s.Start, OpenedMs: steady(s.BeganMs + startMargin), BeganMs: s.BeganMs}.Prove(asOf, starts)
}

// wireBatch is the JSON form of a Batch.
type wireBatch struct {
	AtMs     clock.Millis                 `json:"at"`
	IDs      map[string]map[string]string `json:"ids"`
	Unproved map[ID]Supposed              `json:"unproved,omitempty"`
	Recorder *Recorder                    `json:"recorder,omitempty"`
}

// MarshalJSON encodes the batch.
func (b Batch) MarshalJSON() ([]byte, error) {
	raw := map[Begin][]byte{}
	for id, begin := range b.Streams {
		raw[begin] = binary.BigEndian.AppendUint64(raw[begin], uint64(id))
	}
	w := wireBatch{AtMs: b.AtMs, IDs: map[string]map[string]string{}, Unproved: b.Unproved}
	if b.Recorder.Process != "" {
		w.Recorder = &b.Recorder
	}
	for begin, ids := range raw {
		if w.IDs[begin.Pool] == nil {
			w.IDs[begin.Pool] = map[string]string{}
		}
		w.IDs[begin.Pool][begin.Version] = base64.RawStdEncoding.EncodeToString(ids)
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes and checks a batch. The error is a *FieldError if the IDs are cut or
// no base64.
func (b *Batch) UnmarshalJSON(data []byte) error {
	var w wireBatch
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	out := Batch{AtMs: w.AtMs, Streams: map[ID]Begin{}, Unproved: w.Unproved}
	if w.Recorder != nil {
		out.Recorder = *w.Recorder
	}
	for pool, byVersion := range w.IDs {
		for name, text := range byVersion {
			ids, err := base64.RawStdEncoding.DecodeString(text)
			if err != nil || len(ids)%idBytes != 0 {
				return &FieldError{"ids", "invalid encoding"}
			}
			for ; len(ids) > 0; ids = ids[idBytes:] {
				out.Streams[ID(binary.BigEndian.Uint64(ids))] = Begin{pool, name}
			}
		}
	}
	*b = out
	return nil
}

// known is what an Index knows of one stream.
type known struct {
	Begin
	atMs clock.Millis
	// contradicted is set if records name different versions.
	contradicted bool
}

// Index holds the version at which each stream began. It is not safe for concurrent use.
type Index struct {
	streams map[ID]known
	// supposed are the unproved streams, which are not in streams.
	supposed map[ID]Supposed
}

// NewIndex returns an Index without streams.
func NewIndex() *Index { return &Index{streams: map[ID]known{}, supposed: map[ID]Supposed{}} }

// Add adds the streams of a batch. A stream that another batch has at another version is
// known at neither.
func (x *Index) Add(now clock.Millis, b Batch) {
	for id, s := range b.Unproved {
		if _, ok := x.streams[id]; !ok && len(x.supposed) < maxStreams {
			s.BeganMs = min(s.BeganMs, now)
			x.supposed[id] = s
		}
	}
	for id, begin := range b.Streams {
		k, ok := x.streams[id]
		if !ok && len(x.streams) >= maxStreams {
			continue
		}
		delete(x.supposed, id)
		x.streams[id] = known{begin, max(k.atMs, min(b.AtMs, now)), ok && (k.contradicted || k.Begin != begin)}
	}
}

// Find returns where a stream began; ok is false if that is not known.
func (x *Index) Find(id ID) (b Begin, ok bool) {
	k, ok := x.streams[id]
	return k.Begin, ok && !k.contradicted
}

// Known reports whether a record names a stream, also if it is not known at which version it began.
func (x *Index) Known(id ID) bool {
	_, proved := x.streams[id]
	_, supposed := x.supposed[id]
	return proved || supposed
}

// Supposed returns where an unproved stream may have begun; ok is false if id is none.
func (x *Index) Supposed(id ID) (s Supposed, ok bool) {
	s, ok = x.supposed[id]
	return s, ok
}

// Sweep forgets streams that can no longer go on.
func (x *Index) Sweep(now clock.Millis) {
	for id, k := range x.streams {
		if now-k.atMs > StreamLifetime {
			delete(x.streams, id)
		}
	}
	for id, s := range x.supposed {
		if now-s.BeganMs > StreamLifetime {
			delete(x.supposed, id)
		}
	}
}

// Len returns the number of streams.
func (x *Index) Len() int { return len(x.streams) }
