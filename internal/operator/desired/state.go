// Package desired holds what operators want the configuration to be, and the
// change that leads there.
package desired

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// State is the wanted configuration. A nil slice leaves its kind as it is; any
// other holds all that is wanted of the kind.
type State struct {
	Pools    []directory.Pool    `json:"pools,omitempty"`
	Classes  []directory.Class   `json:"classes,omitempty"`
	Accounts []directory.Account `json:"accounts,omitempty"`
	Routes   []directory.Route   `json:"routes,omitempty"`
}

// FromSnapshot returns the state that s holds.
func FromSnapshot(s directory.Snapshot) State {
	return State{Pools: s.Pools, Classes: s.Classes, Accounts: s.Accounts, Routes: s.Routes}
}

// MarshalIndent returns the state as a file that Parse accepts.
func (s State) MarshalIndent() ([]byte, error) {
	return json.MarshalIndent(s, "", "  ")
}

// Load reads and checks the file at path: JSON with comments, of the shape of
// State. The error is a *strictjson.Errors unless the file cannot be read.
func Load(path string) (State, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return State{}, errors.Wrap(err, "read the configuration")
	}
	return Parse(path, data)
}

// Parse decodes and checks a wanted configuration; name stands for the file
// in messages. The error is a *strictjson.Errors with every problem found.
func Parse(name string, data []byte) (State, error) {
	doc, err := strictjson.Parse(name, data)
	if err != nil {
		return State{}, err
	}
	var s State
	doc.Decode(&s)
	if err := doc.Err(); err != nil {
		return State{}, err
	}
	s.Check(doc.Reject)
	if err := doc.Err(); err != nil {
		return State{}, err
	}
	return s, nil
}
