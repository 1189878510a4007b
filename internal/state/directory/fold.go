package directory

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// Apply returns the directory after the record at an offset of the configuration
// stream, and whether the record was accepted. A rejected record changes only the
// version and the digest. Apply panics if offset is not above the current version.
func (d *Directory) Apply(offset int64, data []byte) (*Directory, Verdict) {
	if offset <= d.version {
		panic(&supervise.InvariantError{
			Invariant: "configuration version only rises",
			Detail:    fmt.Sprintf("record %d after version %d", offset, d.version),
		})
	}
	next := *d
	next.version = offset
	var c Change
	err := json.Unmarshal(data, &c)
	if err == nil && c.Snapshot != nil {
		next.digest = chainDigest(d.digest, offset, snapshotDigestInput(c))
		return &next, Verdict{ChangeID: c.ID, Accepted: true}
	}
	next.digest = chainDigest(d.digest, offset, Canonical(data))
	if err != nil {
		return &next, Verdict{Reason: err.Error()}
	}
	out, err := next.applyOps(offset, c)
	if err != nil {
		return &next, Verdict{ChangeID: c.ID, Reason: err.Error()}
	}
	return out, Verdict{ChangeID: c.ID, Accepted: true}
}

// Canonical returns data in the form in which encoding/json encodes a
// json.RawMessage with this content, so that a record has the same digest whether it
// was read from the log or forwarded by another process. Invalid JSON is returned
// unchanged.
func Canonical(data []byte) []byte {
	var compact, out bytes.Buffer
	if json.Compact(&compact, data) != nil {
		return data
	}
	json.HTMLEscape(&out, compact.Bytes())
	return out.Bytes()
}

// WithChange returns the directory as it would be if c were the next record, or
// the error for which Apply would reject it.
func (d *Directory) WithChange(c Change) (*Directory, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	next := *d
	next.version = d.version + 1
	return next.applyOps(next.version, c)
}

// applyOps returns the directory with the operations of c applied; offset is the
// version of c.
func (d *Directory) applyOps(offset int64, c Change) (*Directory, error) {
	if c.BasedOn < 0 || c.BasedOn >= offset {
		return nil, &FieldError{"change.basedOn", c.BasedOn, fmt.Sprintf("must be at least 0 and below the change's own version, %d", offset)}
	}
	for _, op := range c.Ops {
		if at, _ := d.changed.get(op.Subject()); at > c.BasedOn {
			return nil, &ConflictError{op.Subject(), c.BasedOn, at}
		}
		if op.IssueKey != nil && c.BasedOn < d.droppedKeysUpTo {
			return nil, &ConflictError{op.Subject(), c.BasedOn, d.droppedKeysUpTo}
		}
	}
	next := d.fork()
	removed := map[string]bool{}
	for _, op := range c.Ops {
		if err := next.applyOp(offset, op); err != nil {
			return nil, err
		}
		if op.RemoveAccount != "" {
			removed[op.RemoveAccount] = true
		}
		if !op.changesKey() {
			next.changed.set(op.Subject(), offset)
		}
	}
	if err := next.checkReferences(c.Ops); err != nil {
		return nil, err
	}
	next.withdrawKeysOf(removed, offset)
	next.dropOldWithdrawnKeys()
	return next, nil
}

// fork returns a copy that may be modified without affecting d.
func (d *Directory) fork() *Directory {
	next := *d
	next.accounts.markShared()
	next.classes.markShared()
	next.pools.markShared()
	next.keys.markShared()
	next.changed.markShared()
	return &next
}

// applyOp applies one operation of the change at offset. It modifies d, which must be a
// copy made by fork.
func (d *Directory) applyOp(offset int64, op Op) error {
	switch {
	case op.SetAccount != nil:
		d.accounts.set(op.SetAccount.Name, *op.SetAccount)
	case op.SetClass != nil:
		d.classes.set(op.SetClass.Name, *op.SetClass)
	case op.SetPool != nil:
		d.pools.set(op.SetPool.Name, *op.SetPool)
	case op.SetRoute != nil:
		d.setRoute(*op.SetRoute)
	case op.IssueKey != nil:
		return d.issueKey(*op.IssueKey)
	case op.RemoveAccount != "":
		d.accounts.remove(op.RemoveAccount)
	case op.RemoveClass != "":
		d.classes.remove(op.RemoveClass)
	case op.RemovePool != "":
		d.pools.remove(op.RemovePool)
	case op.RemoveRoute != "":
		d.removeRoute(op.RemoveRoute)
	case op.WithdrawKey != "":
		return d.withdrawKey(op.WithdrawKey, offset)
	}
	return nil
}

// setRoute adds a route or replaces the one with the same prefix.
func (d *Directory) setRoute(r Route) {
	d.removeRoute(r.PathPrefix)
	d.routes = append(d.routes, r)
	d.sortRoutes()
}

// sortRoutes orders the routes by decreasing length of the prefix, then by prefix.
func (d *Directory) sortRoutes() {
	slices.SortFunc(d.routes, func(a, b Route) int {
		if n := len(b.PathPrefix) - len(a.PathPrefix); n != 0 {
			return n
		}
		return strings.Compare(a.PathPrefix, b.PathPrefix)
	})
}

// removeRoute removes the route with the prefix, if there is one. It copies the slice,
// which other directories may share.
func (d *Directory) removeRoute(prefix string) {
	d.routes = slices.DeleteFunc(slices.Clone(d.routes), func(r Route) bool { return r.PathPrefix == prefix })
}

// chainDigest returns the directory digest after a record, from the digest before it
// and the record's offset and data.
func chainDigest(digest uint64, offset int64, data []byte) uint64 {
	h := xxhash.New()
	var head [16]byte
	binary.BigEndian.PutUint64(head[:8], digest)
	binary.BigEndian.PutUint64(head[8:], uint64(offset))
	_, _ = h.Write(head[:])
	_, _ = h.Write(data)
	return h.Sum64()
}
