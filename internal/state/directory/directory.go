package directory

import (
	"fmt"
	"strings"
)

// Directory is the folded configuration. The zero value is not usable; start
// from New or FromSnapshot. All methods leave the receiver unchanged.
type Directory struct {
	version  int64
	digest   uint64
	accounts table[Account]
	classes  table[Class]
	pools    table[Pool]
	routes   []Route // longest prefix first
	keys     table[Key]
	// changed holds the version of a subject's last accepted change. Keys
	// have none: they are issued once and withdrawn for good.
	changed table[int64]
	// withdrawn counts the withdrawn keys in keys.
	withdrawn int
	// forgottenAt is the highest version at which a key was withdrawn that
	// is no longer in keys.
	forgottenAt int64
}

// New returns the empty directory at version 0.
func New() *Directory {
	return &Directory{}
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

// Account returns the named client account.
func (d *Directory) Account(name string) (Account, bool) { return d.accounts.get(name) }

// Class returns the named request class.
func (d *Directory) Class(name string) (Class, bool) { return d.classes.get(name) }

// Pool returns the named pool.
func (d *Directory) Pool(name string) (Pool, bool) { return d.pools.get(name) }

// PoolByModel returns the pool among names that serves the model.
func (d *Directory) PoolByModel(model string, names []string) (Pool, bool) {
	for _, name := range names {
		if p, ok := d.pools.get(name); ok && p.Kind == PoolModel && p.Model == model {
			return p, true
		}
	}
	return Pool{}, false
}

// Accounts returns all client accounts, sorted by name.
func (d *Directory) Accounts() []Account { return d.accounts.sorted() }

// Classes returns all request classes, sorted by name.
func (d *Directory) Classes() []Class { return d.classes.sorted() }

// Pools returns all pools, sorted by name.
func (d *Directory) Pools() []Pool { return d.pools.sorted() }

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
