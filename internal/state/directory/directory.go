package directory

import (
	"fmt"
	"strings"
)

// Directory is the configuration at one version. Create it with New or
// FromSnapshot. Exported methods leave the receiver unchanged.
type Directory struct {
	version  int64
	digest   uint64
	accounts table[Account]
	classes  table[Class]
	pools    table[Pool]
	routes   []Route // longest prefix first
	keys     table[Key]
	// changed maps a subject to the version of its last accepted change. Keys
	// are left out: a key is issued once and withdrawn at most once.
	changed table[int64]
	// withdrawnKeys is the number of withdrawn keys in keys.
	withdrawnKeys int
	// droppedKeysUpTo is the highest version at which a key was withdrawn that
	// has since been removed from keys.
	droppedKeysUpTo int64
}

// New returns the empty directory at version 0.
func New() *Directory {
	return &Directory{}
}

// Verdict tells whether one record was accepted.
type Verdict struct {
	ChangeID string
	Accepted bool
	// Reason is why the record was rejected; empty if it was accepted.
	Reason string
}

// ConflictError reports a change whose subject was changed by another record
// after the version that the change is based on.
type ConflictError struct {
	Subject   string
	BasedOn   int64 // version that the rejected change is based on
	ChangedAt int64 // version of the subject's last change
}

// Error returns the subject and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: changed at version %d, after version %d that the rejected change is based on", e.Subject, e.ChangedAt, e.BasedOn)
}

// Version returns the stream offset of the last record applied; 0 before the first.
func (d *Directory) Version() int64 { return d.version }

// Digest returns a hash of all records applied so far.
func (d *Directory) Digest() uint64 { return d.digest }

// Account returns the named client account.
func (d *Directory) Account(name string) (Account, bool) { return d.accounts.get(name) }

// Class returns the named request class.
func (d *Directory) Class(name string) (Class, bool) { return d.classes.get(name) }

// Pool returns the named pool.
func (d *Directory) Pool(name string) (Pool, bool) { return d.pools.get(name) }

// PoolByModel returns the first of the named pools that serves the model.
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

// Route returns the route whose prefix is the longest match of path. A prefix
// matches whole path segments only.
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
