package directory

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Op is one operation of a Change: it sets or removes one account, class, pool or
// route, or issues or withdraws one key. Exactly one field is set. What an operation
// changes is called its subject.
type Op struct {
	SetAccount    *Account `json:"setAccount,omitempty"`
	SetClass      *Class   `json:"setClass,omitempty"`
	SetPool       *Pool    `json:"setPool,omitempty"`
	SetRoute      *Route   `json:"setRoute,omitempty"`
	IssueKey      *Key     `json:"issueKey,omitempty"`
	RemoveAccount string   `json:"removeAccount,omitempty"`
	RemoveClass   string   `json:"removeClass,omitempty"`
	RemovePool    string   `json:"removePool,omitempty"`
	RemoveRoute   string   `json:"removeRoute,omitempty"`
	WithdrawKey   string   `json:"withdrawKey,omitempty"`
}

// Change is one record of the configuration stream. It holds either operations,
// which are accepted or rejected as a whole, or a snapshot of an earlier version.
type Change struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	// BasedOn is the version of the configuration that the author of the change
	// started from. The change is rejected if one of its subjects changed after
	// that version.
	BasedOn  int64     `json:"basedOn"`
	Ops      []Op      `json:"ops,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Subject returns the kind and name of what the operation changes, such as
// "account/harbour". It is empty if no field is set.
func (o Op) Subject() string {
	switch {
	case o.SetAccount != nil:
		return "account/" + o.SetAccount.Name
	case o.SetClass != nil:
		return "class/" + o.SetClass.Name
	case o.SetPool != nil:
		return "pool/" + o.SetPool.Name
	case o.SetRoute != nil:
		return "route/" + o.SetRoute.PathPrefix
	case o.IssueKey != nil:
		return "key/" + o.IssueKey.ID
	case o.RemoveAccount != "":
		return "account/" + o.RemoveAccount
	case o.RemoveClass != "":
		return "class/" + o.RemoveClass
	case o.RemovePool != "":
		return "pool/" + o.RemovePool
	case o.RemoveRoute != "":
		return "route/" + o.RemoveRoute
	case o.WithdrawKey != "":
		return "key/" + o.WithdrawKey
	}
	return ""
}

// changesKey reports whether the operation issues or withdraws an API key.
func (o Op) changesKey() bool {
	return o.IssueKey != nil || o.WithdrawKey != ""
}

// Validate checks that exactly one field is set and that its value is valid.
func (o Op) Validate() error {
	n := 0
	for _, set := range []bool{
		o.SetAccount != nil, o.SetClass != nil, o.SetPool != nil, o.SetRoute != nil, o.IssueKey != nil,
		o.RemoveAccount != "", o.RemoveClass != "", o.RemovePool != "", o.RemoveRoute != "", o.WithdrawKey != "",
	} {
		if set {
			n++
		}
	}
	if n != 1 {
		return &FieldError{"op", n, "must contain exactly one operation"}
	}
	switch {
	case o.SetAccount != nil:
		return o.SetAccount.Validate()
	case o.SetClass != nil:
		return o.SetClass.Validate()
	case o.SetPool != nil:
		return o.SetPool.Validate()
	case o.SetRoute != nil:
		return o.SetRoute.Validate()
	case o.IssueKey != nil:
		return o.IssueKey.Validate()
	}
	return nil
}

// UnmarshalJSON decodes and validates a change.
func (c *Change) UnmarshalJSON(data []byte) error {
	type plain Change
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if err := Change(p).Validate(); err != nil {
		return err
	}
	*c = Change(p)
	return nil
}

// Validate checks the change itself, but not its references to other subjects.
func (c Change) Validate() error {
	if c.ID == "" {
		return &FieldError{"change.id", `""`, "must not be empty"}
	}
	if (len(c.Ops) == 0) == (c.Snapshot == nil) {
		return &FieldError{"change.ops", len(c.Ops), "must contain either operations or a snapshot"}
	}
	for i, op := range c.Ops {
		if err := op.Validate(); err != nil {
			return errors.Wrapf(err, "ops[%d]", i)
		}
	}
	return nil
}
