package directory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Directory is the folded configuration. The zero value is not usable; start
// from New or FromSnapshot. All methods leave the receiver unchanged.
type Directory struct {
	version  int64
	digest   uint64
	accounts map[string]Account
	classes  map[string]Class
	pools    map[string]Pool
	routes   []Route // longest prefix first
	keys     map[string]Key
	changed  map[string]int64 // subject -> version of its last accepted change
}

// New returns the empty directory at version 0.
func New() *Directory {
	return &Directory{
		accounts: map[string]Account{},
		classes:  map[string]Class{},
		pools:    map[string]Pool{},
		keys:     map[string]Key{},
		changed:  map[string]int64{},
	}
}

// Verdict is the fold's decision about one record.
type Verdict struct {
	ChangeID string
	Accepted bool
	// Reason says why a change was rejected.
	Reason string
}

// ConflictError reports a change made against a version that is out of date
// for one of its subjects.
type ConflictError struct {
	Subject string
	BasedOn int64
	Changed int64
}

// Error names the subject and the versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: changed at version %d, after version %d that the change was made against", e.Subject, e.Changed, e.BasedOn)
}

// Version returns the offset of the last folded record.
func (d *Directory) Version() int64 { return d.version }

// Digest returns a hash over all records folded so far.
func (d *Directory) Digest() uint64 { return d.digest }

// Apply folds the record at offset, which must be above the version, and
// returns the next directory with the verdict on the change.
func (d *Directory) Apply(offset int64, data []byte) (*Directory, Verdict) {
	next := *d
	next.version = offset
	next.digest = chain(d.digest, offset, data)
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return &next, Verdict{Reason: err.Error()}
	}
	if c.Snapshot != nil {
		return &next, Verdict{ChangeID: c.ID, Accepted: true}
	}
	out, err := next.applyOps(offset, c)
	if err != nil {
		return &next, Verdict{ChangeID: c.ID, Reason: err.Error()}
	}
	return out, Verdict{ChangeID: c.ID, Accepted: true}
}

// WithChange returns the directory that c would lead to if it were the next
// record, or the reason for which the fold would reject it.
func (d *Directory) WithChange(c Change) (*Directory, error) {
	next := *d
	next.version = d.version + 1
	return next.applyOps(next.version, c)
}

func (d *Directory) applyOps(offset int64, c Change) (*Directory, error) {
	for _, op := range c.Ops {
		if op.WithdrawKey != "" {
			continue
		}
		if at := d.changed[op.Subject()]; at > c.BasedOn {
			return nil, &ConflictError{op.Subject(), c.BasedOn, at}
		}
	}
	next := d.clone()
	for _, op := range c.Ops {
		if err := next.apply(op); err != nil {
			return nil, err
		}
		next.changed[op.Subject()] = offset
	}
	if err := next.check(); err != nil {
		return nil, err
	}
	return next, nil
}

func (d *Directory) clone() *Directory {
	next := *d
	next.accounts = maps.Clone(d.accounts)
	next.classes = maps.Clone(d.classes)
	next.pools = maps.Clone(d.pools)
	next.routes = slices.Clone(d.routes)
	next.keys = maps.Clone(d.keys)
	next.changed = maps.Clone(d.changed)
	return &next
}

func (d *Directory) apply(op Op) error {
	switch {
	case op.SetAccount != nil:
		d.accounts[op.SetAccount.Name] = *op.SetAccount
	case op.SetClass != nil:
		d.classes[op.SetClass.Name] = *op.SetClass
	case op.SetPool != nil:
		d.pools[op.SetPool.Name] = *op.SetPool
	case op.SetRoute != nil:
		d.setRoute(*op.SetRoute)
	case op.IssueKey != nil:
		return d.issueKey(*op.IssueKey)
	case op.RemoveAccount != "":
		delete(d.accounts, op.RemoveAccount)
	case op.RemoveClass != "":
		delete(d.classes, op.RemoveClass)
	case op.RemovePool != "":
		delete(d.pools, op.RemovePool)
	case op.RemoveRoute != "":
		d.removeRoute(op.RemoveRoute)
	case op.WithdrawKey != "":
		return d.withdrawKey(op.WithdrawKey)
	}
	return nil
}

func (d *Directory) setRoute(r Route) {
	d.removeRoute(r.PathPrefix)
	d.routes = append(d.routes, r)
	d.sortRoutes()
}

func (d *Directory) sortRoutes() {
	slices.SortFunc(d.routes, func(a, b Route) int {
		if n := len(b.PathPrefix) - len(a.PathPrefix); n != 0 {
			return n
		}
		return strings.Compare(a.PathPrefix, b.PathPrefix)
	})
}

func (d *Directory) removeRoute(prefix string) {
	d.routes = slices.DeleteFunc(d.routes, func(r Route) bool { return r.PathPrefix == prefix })
}

func (d *Directory) issueKey(k Key) error {
	if old, ok := d.keys[k.ID]; ok {
		return &FieldError{"key.id", old.ID, "was issued before and cannot be issued again"}
	}
	k.Withdrawn = false
	d.keys[k.ID] = k
	return nil
}

func (d *Directory) withdrawKey(id string) error {
	k, ok := d.keys[id]
	if !ok {
		return &FieldError{"withdrawKey", id, "is no key that was issued"}
	}
	k.Withdrawn = true
	d.keys[id] = k
	return nil
}

// check verifies the references between subjects.
func (d *Directory) check() error {
	for _, c := range d.classes {
		for _, p := range c.Pools {
			if _, ok := d.pools[p]; !ok {
				return &FieldError{"class/" + c.Name + ".pools", p, "names no pool"}
			}
		}
	}
	for _, a := range d.accounts {
		for _, c := range a.Classes {
			if _, ok := d.classes[c]; !ok {
				return &FieldError{"account/" + a.Name + ".classes", c, "names no class"}
			}
		}
	}
	for _, r := range d.routes {
		p, ok := d.pools[r.Pool]
		if !ok || p.Kind != PoolService {
			return &FieldError{"route/" + r.PathPrefix + ".pool", r.Pool, "names no pool of plain services"}
		}
	}
	return nil
}

// ToSnapshot returns the whole state.
func (d *Directory) ToSnapshot() Snapshot {
	return Snapshot{
		Version:  d.version,
		Digest:   d.digest,
		Accounts: sortedValues(d.accounts),
		Classes:  sortedValues(d.classes),
		Pools:    sortedValues(d.pools),
		Routes:   slices.Clone(d.routes),
		Keys:     sortedValues(d.keys),
		Changed:  maps.Clone(d.changed),
	}
}

// FromSnapshot returns the directory that s describes.
func FromSnapshot(s Snapshot) *Directory {
	d := New()
	d.version = s.Version
	d.digest = s.Digest
	for _, a := range s.Accounts {
		d.accounts[a.Name] = a
	}
	for _, c := range s.Classes {
		d.classes[c.Name] = c
	}
	for _, p := range s.Pools {
		d.pools[p.Name] = p
	}
	for _, k := range s.Keys {
		d.keys[k.ID] = k
	}
	d.routes = slices.Clone(s.Routes)
	d.sortRoutes()
	if s.Changed != nil {
		d.changed = maps.Clone(s.Changed)
	}
	return d
}

// Account returns the named client account.
func (d *Directory) Account(name string) (Account, bool) {
	a, ok := d.accounts[name]
	return a, ok
}

// Class returns the named request class.
func (d *Directory) Class(name string) (Class, bool) {
	c, ok := d.classes[name]
	return c, ok
}

// Pool returns the named pool.
func (d *Directory) Pool(name string) (Pool, bool) {
	p, ok := d.pools[name]
	return p, ok
}

// PoolByModel returns the pool among names that serves the model.
func (d *Directory) PoolByModel(model string, names []string) (Pool, bool) {
	for _, name := range names {
		if p, ok := d.pools[name]; ok && p.Kind == PoolModel && p.Model == model {
			return p, true
		}
	}
	return Pool{}, false
}

// Accounts returns all client accounts, sorted by name.
func (d *Directory) Accounts() []Account { return sortedValues(d.accounts) }

// Classes returns all request classes, sorted by name.
func (d *Directory) Classes() []Class { return sortedValues(d.classes) }

// Pools returns all pools, sorted by name.
func (d *Directory) Pools() []Pool { return sortedValues(d.pools) }

// Route returns the route with the longest prefix of path, on whole path segments.
func (d *Directory) Route(path string) (Route, bool) {
	for _, r := range d.routes {
		if rest, ok := strings.CutPrefix(path, r.PathPrefix); ok {
			if rest == "" || rest[0] == '/' || strings.HasSuffix(r.PathPrefix, "/") {
				return r, true
			}
		}
	}
	return Route{}, false
}

// KeyWithdrawn reports whether the key id is known and withdrawn.
func (d *Directory) KeyWithdrawn(id string) bool {
	return d.keys[id].Withdrawn
}

// Authenticate returns the key that text shows, if it is valid.
// The comparison takes constant time for each key id.
func (d *Directory) Authenticate(text string) (Key, bool) {
	id, secret, ok := SplitKey(text)
	if !ok {
		return Key{}, false
	}
	k := d.keys[id]
	sum := DigestSecret(secret)
	if subtle.ConstantTimeCompare([]byte(sum), []byte(k.Digest)) != 1 {
		return Key{}, false
	}
	if k.Withdrawn {
		return Key{}, false
	}
	if _, ok := d.accounts[k.Account]; !ok {
		return Key{}, false
	}
	return k, true
}

// KeyPrefix starts every caller's key.
const KeyPrefix = "dk_"

// SplitKey splits a key of the form dk_ID_SECRET.
func SplitKey(text string) (id, secret string, ok bool) {
	rest, ok := strings.CutPrefix(text, KeyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "_")
}

// DigestSecret returns the lower-case hexadecimal SHA-256 of a key's secret part.
func DigestSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func chain(digest uint64, offset int64, data []byte) uint64 {
	h := xxhash.New()
	var head [16]byte
	binary.BigEndian.PutUint64(head[:8], digest)
	binary.BigEndian.PutUint64(head[8:], uint64(offset))
	_, _ = h.Write(head[:])
	_, _ = h.Write(data)
	return h.Sum64()
}

func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
