package openai

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Model is an entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// NewModelList returns a list without models, which encodes as [] and not as null.
func NewModelList() ModelList {
	return ModelList{Object: "list", Data: []Model{}}
}

// WithModel returns a copy of the list with the model id appended.
func (l ModelList) WithModel(id string) ModelList {
	l.Data = append(slices.Clone(l.Data), Model{ID: id, Object: "model", OwnedBy: "damaskport"})
	return l
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Continuation joins the chunks of several attempts at one chat completion into a single
// stream: chunks of resumed attempts get the ID and other metadata of the first attempt,
// and their leading chunks without content are dropped. The zero value is ready to use.
type Continuation struct {
	shared     map[string]json.RawMessage
	resumed    bool
	hasContent bool
}

// Start begins a new attempt. delivered is the number of output tokens that the caller
// already has from earlier attempts; the attempt is a resumed one if it is positive.
func (c *Continuation) Start(delivered int) {
	c.resumed = delivered > 0
	c.hasContent = false
}

// sharedFields lists the fields that have the same value in all chunks of a response.
var sharedFields = []string{"id", "created", "model", "system_fingerprint"}

// Rewrite returns the chunk to pass on to the caller for the chunk data, which holds the
// given number of output tokens, or false if the chunk must be dropped.
func (c *Continuation) Rewrite(data []byte, tokens int) ([]byte, bool) {
	if !c.resumed {
		if c.shared == nil {
			c.saveShared(data)
		}
		return data, true
	}
	if tokens > 0 {
		c.hasContent = true
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return data, true
	}
	if !c.hasContent && hasOnlyRole(fields["choices"]) {
		return nil, false
	}
	for _, k := range sharedFields {
		if v, ok := c.shared[k]; ok {
			fields[k] = v
		}
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return data, true
	}
	return out, true
}

// saveShared saves the values of sharedFields from the first chunk of the first attempt.
func (c *Continuation) saveShared(data []byte) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return
	}
	c.shared = map[string]json.RawMessage{}
	for _, k := range sharedFields {
		if v, ok := fields[k]; ok {
			c.shared[k] = v
		}
	}
}

// hasOnlyRole reports whether choices holds nothing but the role. It is called for chunks
// without output tokens, so that it only checks that no choice has a finish reason.
func hasOnlyRole(choices json.RawMessage) bool {
	var list []struct {
		FinishReason *string `json:"finish_reason"`
	}
	if json.Unmarshal(choices, &list) != nil || len(list) == 0 {
		return false
	}
	for _, ch := range list {
		if ch.FinishReason != nil {
			return false
		}
	}
	return true
}
