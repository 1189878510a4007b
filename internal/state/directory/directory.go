package directory

import (
	"fmt"
	"strings"
)

// Directory is the configuration at one version. Create it with New or
// FromSnapshot. Its exported methods do not modify it.
type Directory struct {
	version  int64  // stream offset of the last record applied
	digest   uint64 // hash of all records applied
	accounts table[Account]
	classes  table[Class]
	pools    table[Pool]
	routes   []Route // longest prefix first
	keys     table[Key]
	// changed maps a subject (see Op.Subject) to the version of its last accepted
	// change. It has no entries for keys, which are issued once and withdrawn at
	// most once.
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

// Verdict says whether a record of the configuration stream was accepted.
type Verdict struct {
	ChangeID string // Change.ID; empty if the record could not be decoded
	Accepted bool
	// Reason is why the record was rejected; empty if it was accepted.
	Reason string
}

// ConflictError reports a change that was rejected because another record had changed
// one of its subjects after the version that the change is based on.
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

// PoolByModel returns the first of the named pools that is of kind PoolModel and serves
// the model; false if there is none.
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

// Route returns the route with the longest prefix that matches path; false if there is
// none. A prefix matches only whole path segments.
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
