package openai

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
)

// maxAssembledBytes bounds the total size of the chunks of a response that is assembled in
// memory. It allows for tens of thousands of tokens.
const maxAssembledBytes = 4 << 20

// Assembler builds a complete chat completion from the chunks of a stream, for callers
// that did not request streaming.
type Assembler struct {
	topLevel map[string]json.RawMessage // fields other than choices
	choices  map[int]*choice
	size     int64 // bytes of all chunks so far
}

// choice is a choice of the chat completion, as merged so far.
type choice struct {
	message      map[string]any
	finishReason any            // nil until a chunk carries it
	other        map[string]any // other fields
}

// chunk holds the choices of a chat completion chunk.
type chunk struct {
	Choices []map[string]any `json:"choices"`
}

// NewAssembler returns an empty Assembler.
func NewAssembler() *Assembler {
	return &Assembler{topLevel: map[string]json.RawMessage{}, choices: map[int]*choice{}}
}

// Add adds the chunk with the given JSON. The error is a *bounded.TooLargeError once the
// chunks exceed 4 MiB in total, since an engine may never end its stream.
func (a *Assembler) Add(data []byte) error {
	if a.size += int64(len(data)); a.size > maxAssembledBytes {
		return &bounded.TooLargeError{What: "an assembled chat completion", Bytes: maxAssembledBytes}
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	delete(fields, "choices")
	for k, v := range fields {
		if _, ok := a.topLevel[k]; !ok || k == "usage" {
			a.topLevel[k] = v
		}
	}
	for _, ch := range c.Choices {
		a.addChoice(ch)
	}
	return nil
}

// addChoice merges the choice of a chunk into the choice with the same index.
func (a *Assembler) addChoice(ch map[string]any) {
	index, _ := ch["index"].(float64)
	out := a.choices[int(index)]
	if out == nil {
		out = &choice{message: map[string]any{}, other: map[string]any{}}
		a.choices[int(index)] = out
	}
	for k, v := range ch {
		switch k {
		case "index":
		case "delta":
			if delta, ok := v.(map[string]any); ok {
				mergeDelta(out.message, delta)
			}
		case "finish_reason":
			if v != nil {
				out.finishReason = v
			}
		default:
			mergeDelta(out.other, map[string]any{k: v})
		}
	}
}

// replacedFields lists the fields that chunks repeat in full: a new string replaces the
// old one instead of being appended to it.
var replacedFields = map[string]bool{"role": true, "id": true, "type": true, "index": true}

// mergeDelta merges the delta src into dst: strings and lists are appended, objects are
// merged, and other values are replaced. A null in src leaves the old value.
func mergeDelta(dst, src map[string]any) {
	for k, v := range src {
		old, ok := dst[k]
		if !ok || old == nil {
			dst[k] = v
			continue
		}
		switch v := v.(type) {
		case string:
			if s, ok := old.(string); ok && !replacedFields[k] {
				dst[k] = s + v
				continue
			}
			dst[k] = v
		case map[string]any:
			if m, ok := old.(map[string]any); ok {
				mergeDelta(m, v)
			}
		case []any:
			if l, ok := old.([]any); ok {
				dst[k] = mergeList(l, v)
			}
		case nil:
		default:
			dst[k] = v
		}
	}
}

// mergeList merges each element of src that has an index, such as a tool call, into the
// element of dst with the same index, and appends the other elements.
func mergeList(dst, src []any) []any {
	for _, v := range src {
		m, ok := v.(map[string]any)
		if !ok || m["index"] == nil {
			dst = append(dst, v)
			continue
		}
		i := slices.IndexFunc(dst, func(o any) bool {
			om, ok := o.(map[string]any)
			return ok && om["index"] == m["index"]
		})
		if i < 0 {
			dst = append(dst, v)
			continue
		}
		mergeDelta(dst[i].(map[string]any), m)
	}
	return dst
}

// Answer returns the chat completion assembled from the chunks so far, as JSON.
func (a *Assembler) Answer() ([]byte, error) {
	out := map[string]any{}
	for k, v := range a.topLevel {
		out[k] = v
	}
	out["object"] = "chat.completion"
	choices := make([]map[string]any, 0, len(a.choices))
	for _, i := range slices.Sorted(maps.Keys(a.choices)) {
		ch := a.choices[i]
		m := map[string]any{"index": i, "message": ch.message, "finish_reason": ch.finishReason}
		maps.Copy(m, ch.other)
		choices = append(choices, m)
	}
	out["choices"] = choices
	return json.Marshal(out)
}
