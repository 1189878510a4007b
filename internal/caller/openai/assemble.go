package openai

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
)

// maxWholeBytes bounds the chunks of an answer that is held whole: tens of thousands of
// tokens.
const maxWholeBytes = 4 << 20

// Assembler builds a whole answer from the chunks of a stream.
type Assembler struct {
	head    map[string]json.RawMessage
	choices map[int]*choice
	bytes   int64
}

type choice struct {
	message map[string]any
	finish  any
	rest    map[string]any
}

type chunk struct {
	Choices []map[string]any `json:"choices"`
}

// NewAssembler returns an empty Assembler.
func NewAssembler() *Assembler {
	return &Assembler{head: map[string]json.RawMessage{}, choices: map[int]*choice{}}
}

// Add takes in the data of one chunk. The error is a *bounded.TooLargeError for an
// answer without end.
func (a *Assembler) Add(data []byte) error {
	if a.bytes += int64(len(data)); a.bytes > maxWholeBytes {
		return &bounded.TooLargeError{What: "an answer that is held whole", Bytes: maxWholeBytes}
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
		if _, ok := a.head[k]; !ok || k == "usage" {
			a.head[k] = v
		}
	}
	for _, ch := range c.Choices {
		a.addChoice(ch)
	}
	return nil
}

func (a *Assembler) addChoice(ch map[string]any) {
	index, _ := ch["index"].(float64)
	out := a.choices[int(index)]
	if out == nil {
		out = &choice{message: map[string]any{}, rest: map[string]any{}}
		a.choices[int(index)] = out
	}
	for k, v := range ch {
		switch k {
		case "index":
		case "delta":
			if delta, ok := v.(map[string]any); ok {
				merge(out.message, delta)
			}
		case "finish_reason":
			if v != nil {
				out.finish = v
			}
		default:
			merge(out.rest, map[string]any{k: v})
		}
	}
}

// replaced lists the string fields that each chunk repeats rather than continues.
var replaced = map[string]bool{"role": true, "id": true, "type": true, "index": true}

// merge continues the strings and lists of dst with those of src.
func merge(dst, src map[string]any) {
	for k, v := range src {
		old, ok := dst[k]
		if !ok || old == nil {
			dst[k] = v
			continue
		}
		switch v := v.(type) {
		case string:
			if s, ok := old.(string); ok && !replaced[k] {
				dst[k] = s + v
				continue
			}
			dst[k] = v
		case map[string]any:
			if m, ok := old.(map[string]any); ok {
				merge(m, v)
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

// mergeList merges elements with an index, such as tool calls, into the
// element of that index, and appends the others.
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
		merge(dst[i].(map[string]any), m)
	}
	return dst
}

// Answer returns the whole answer.
func (a *Assembler) Answer() ([]byte, error) {
	out := map[string]any{}
	for k, v := range a.head {
		out[k] = v
	}
	out["object"] = "chat.completion"
	choices := make([]map[string]any, 0, len(a.choices))
	for _, i := range slices.Sorted(maps.Keys(a.choices)) {
		ch := a.choices[i]
		m := map[string]any{"index": i, "message": ch.message, "finish_reason": ch.finish}
		maps.Copy(m, ch.rest)
		choices = append(choices, m)
	}
	out["choices"] = choices
	return json.Marshal(out)
}
