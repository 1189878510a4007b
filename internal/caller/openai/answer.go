package openai

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Model is one model in the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// NewModelList returns an empty list.
func NewModelList() ModelList {
	return ModelList{Object: "list", Data: []Model{}}
}

// WithModel returns the list with one more model.
func (l ModelList) WithModel(id string) ModelList {
	l.Data = append(slices.Clone(l.Data), Model{ID: id, Object: "model", OwnedBy: "damaskport"})
	return l
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Continuation makes the chunks of later attempts continue those of the
// first: they keep its id and repeat nothing. The zero value is ready.
type Continuation struct {
	head    map[string]json.RawMessage
	resumed bool
	content bool
}

// Start begins an attempt after delivered tokens.
func (c *Continuation) Start(delivered int) {
	c.resumed = delivered > 0
	c.content = false
}

// constant lists the fields that all chunks of one answer share.
var constant = []string{"id", "created", "model", "system_fingerprint"}

// Rewrite returns the chunk as the caller must see it, and whether it must
// see it at all.
func (c *Continuation) Rewrite(data []byte, tokens int) ([]byte, bool) {
	if !c.resumed {
		if c.head == nil {
			c.remember(data)
		}
		return data, true
	}
	if tokens > 0 {
		c.content = true
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return data, true
	}
	if !c.content && onlyRole(fields["choices"]) {
		return nil, false
	}
	for _, k := range constant {
		if v, ok := c.head[k]; ok {
			fields[k] = v
		}
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return data, true
	}
	return out, true
}

func (c *Continuation) remember(data []byte) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return
	}
	c.head = map[string]json.RawMessage{}
	for _, k := range constant {
		if v, ok := fields[k]; ok {
			c.head[k] = v
		}
	}
}

// onlyRole reports whether the choices carry neither content nor an end.
func onlyRole(choices json.RawMessage) bool {
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
