package directory

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
)

// Withdrawn keys are kept so that their ids are not issued again. When there are
// more than maxWithdrawnKeys, those withdrawn first are dropped until
// keptWithdrawnKeys remain.
const (
	maxWithdrawnKeys  = 12288
	keptWithdrawnKeys = 8192
)

// KeyPrefix is the prefix of every API key.
const KeyPrefix = "dk_"

// SplitKey splits an API key of the form dk_ID_SECRET; ok is false if text has another
// form.
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

// KeyWithdrawn reports whether the key with the id was withdrawn, alone or by
// the removal of its client account, and has not been dropped since.
func (d *Directory) KeyWithdrawn(id string) bool {
	k, _ := d.keys.get(id)
	return k.Withdrawn
}

// KeyKnown reports whether a key with the id was issued, even if it was
// withdrawn. Withdrawn keys that have been dropped are not known.
func (d *Directory) KeyKnown(id string) bool {
	_, ok := d.keys.get(id)
	return ok
}

// Keys returns all keys, including withdrawn ones, sorted by id.
func (d *Directory) Keys() []Key { return d.keys.sorted() }

// Authenticate returns the key for text, an API key as sent by a caller, and whether it
// is valid: issued, not withdrawn, and with the right secret. Secrets are compared in
// constant time.
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

// issueKey adds a key. The error is a FieldError if its id was issued before.
func (d *Directory) issueKey(k Key) error {
	if old, ok := d.keys.get(k.ID); ok {
		return &FieldError{"key.id", old.ID, "was already issued; a key id cannot be reused"}
	}
	k.Withdrawn = false
	k.WithdrawnAt = 0
	d.keys.set(k.ID, k)
	return nil
}

// withdrawKey withdraws a key by its id. The error is a FieldError if there is no such
// key.
func (d *Directory) withdrawKey(id string, offset int64) error {
	k, ok := d.keys.get(id)
	if !ok {
		return &FieldError{"withdrawKey", id, "is not the id of an issued key"}
	}
	d.markWithdrawn(k, offset)
	return nil
}

// withdrawKeysOf withdraws the keys of accounts that were removed at version offset.
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

// markWithdrawn withdraws a key at version offset and deletes its digest.
func (d *Directory) markWithdrawn(k Key, offset int64) {
	if k.Withdrawn {
		return
	}
	k.Withdrawn = true
	k.WithdrawnAt = offset
	k.Digest = ""
	d.keys.set(k.ID, k)
	d.withdrawnKeys++
}

// dropOldWithdrawnKeys drops the keys that were withdrawn first, until
// keptWithdrawnKeys remain, if there are more than maxWithdrawnKeys withdrawn keys.
func (d *Directory) dropOldWithdrawnKeys() {
	if d.withdrawnKeys <= maxWithdrawnKeys {
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
	for _, k := range old[:len(old)-keptWithdrawnKeys] {
		d.keys.remove(k.ID)
		d.withdrawnKeys--
		d.droppedKeysUpTo = k.WithdrawnAt
	}
}
