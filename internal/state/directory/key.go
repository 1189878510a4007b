package directory

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
)

// Bounds of the withdrawn keys that are kept. When there are more than
// maxWithdrawn the oldest are forgotten, down to keptWithdrawn.
const (
	maxWithdrawn  = 12288
	keptWithdrawn = 8192
)

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

// KeyWithdrawn reports whether the key id is known and withdrawn. The keys of
// a removed client account are withdrawn.
func (d *Directory) KeyWithdrawn(id string) bool {
	k, _ := d.keys.get(id)
	return k.Withdrawn
}

// KeyKnown reports whether a key with the id was issued and not yet forgotten.
func (d *Directory) KeyKnown(id string) bool {
	_, ok := d.keys.get(id)
	return ok
}

// Keys returns all keys, sorted by id, the withdrawn ones included.
func (d *Directory) Keys() []Key { return d.keys.sorted() }

// Authenticate returns the key that text shows, if it is valid.
// The comparison takes constant time for each key id.
func (d *Directory) Authenticate(text string) (Key, bool) {
	id, secret, ok := SplitKey(text)
	if !ok {
		return Key{}, false
	}
	k, _ := d.keys.get(id)
	sum := DigestSecret(secret)
	if subtle.ConstantTimeCompare([]byte(sum), []byte(k.Digest)) != 1 {
		return Key{}, false
	}
	if k.Withdrawn {
		return Key{}, false
	}
	if _, ok := d.accounts.get(k.Account); !ok {
		return Key{}, false
	}
	return k, true
}

func (d *Directory) issueKey(k Key) error {
	if old, ok := d.keys.get(k.ID); ok {
		return &FieldError{"key.id", old.ID, "was issued before and cannot be issued again"}
	}
	k.Withdrawn = false
	k.WithdrawnAt = 0
	d.keys.set(k.ID, k)
	return nil
}

func (d *Directory) withdrawKey(id string, offset int64) error {
	k, ok := d.keys.get(id)
	if !ok {
		return &FieldError{"withdrawKey", id, "is no key that was issued"}
	}
	d.markWithdrawn(k, offset)
	return nil
}

// withdrawKeysOf withdraws the keys of removed client accounts.
func (d *Directory) withdrawKeysOf(accounts map[string]bool, offset int64) {
	if len(accounts) == 0 {
		return
	}
	for _, k := range d.keys.all() {
		if accounts[k.Account] {
			d.markWithdrawn(k, offset)
		}
	}
}

func (d *Directory) markWithdrawn(k Key, offset int64) {
	if k.Withdrawn {
		return
	}
	k.Withdrawn = true
	k.WithdrawnAt = offset
	k.Digest = ""
	d.keys.set(k.ID, k)
	d.withdrawn++
}

// forgetKeys drops the oldest withdrawn keys when there are too many.
func (d *Directory) forgetKeys() {
	if d.withdrawn <= maxWithdrawn {
		return
	}
	var old []Key
	for _, k := range d.keys.all() {
		if k.Withdrawn {
			old = append(old, k)
		}
	}
	slices.SortFunc(old, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.WithdrawnAt, b.WithdrawnAt), cmp.Compare(a.ID, b.ID))
	})
	for _, k := range old[:len(old)-keptWithdrawn] {
		d.keys.remove(k.ID)
		d.withdrawn--
		d.forgottenAt = k.WithdrawnAt
	}
}
