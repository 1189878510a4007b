package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
)

// Errors reports all problems of a settings file.
type Errors = strictjson.Errors

// Problem is one problem of a settings file.
type Problem = strictjson.Problem

// Load reads, defaults and checks the settings file at path. The error is an
// *Errors unless the file cannot be read.
func Load(path string) (File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return File{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes, defaults and checks settings; name stands for the file in
// messages. The error is an *Errors with every problem found.
func Parse(name string, data []byte) (File, error) {
	doc, err := strictjson.Parse(name, data)
	if err != nil {
		return File{}, err
	}
	f := Defaults(Role(doc.Text("role")))
	doc.Decode(&f)
	c := checker{doc: doc}
	c.file(f)
	if err := doc.Err(); err != nil {
		return File{}, err
	}
	return f, nil
}
