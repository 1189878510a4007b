package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// MaxWindow is the maximum length of an idempotency window.
const MaxWindow = 24 * clock.Hour

// maxLifetime is the maximum time from the record of a claim to its expiry. A claim
// that expires later is refused: its author's clock must be wrong.
const maxLifetime = MaxWindow + clock.Hour

// maxIssueSkew is how far in the future the issue time in a key may be, since the
// clock of the process that issued it may be ahead.
const maxIssueSkew = clock.Minute

// issuedPrefix marks the idempotency keys that carry their time of issue.
const issuedPrefix = "dpk1-"

// Key identifies a protected request. All attempts to run the request share it.
type Key [16]byte

// KeyOf returns the key of the request that a client account sends on a route
// with an idempotency key: the first 16 bytes of a SHA-256 hash.
func KeyOf(account, route, idempotencyKey string) Key {
	h := sha256.New()
	for _, part := range []string{account, route, idempotencyKey} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:16])
}

// String returns the key as 32 hexadecimal digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// MarshalText encodes the key as 32 hexadecimal digits.
func (k Key) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, k[:]), nil
}

// UnmarshalText decodes 32 hexadecimal digits.
func (k *Key) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(k) {
		return &directory.FieldError{Field: "claim.key", Value: string(text), Reason: "must be 32 hexadecimal digits"}
	}
	_, err := hex.Decode(k[:], text)
	return err
}

// ExpiredKeyError reports an idempotency key whose window has ended, or whose
// time of issue is too far in the future.
type ExpiredKeyError struct {
	IssuedMs clock.Millis
	NowMs    clock.Millis
	WindowMs clock.Millis
}

// Error gives the times in milliseconds.
func (e *ExpiredKeyError) Error() string {
	return fmt.Sprintf("idempotency key issued at %d ms has a window of %d ms, which does not contain the current time %d ms", e.IssuedMs, e.WindowMs, e.NowMs)
}

// IssueKey returns an idempotency key that carries its time of issue, in
// wall-clock time. The nonce must be unique.
func IssueKey(nowMs clock.Millis, nonce string) string {
	return issuedPrefix + strconv.FormatInt(int64(nowMs), 36) + "-" + nonce
}

// IssuedAt returns the time of issue of an idempotency key made by IssueKey;
// false for any other key.
func IssuedAt(idempotencyKey string) (clock.Millis, bool) {
	rest, ok := strings.CutPrefix(idempotencyKey, issuedPrefix)
	if !ok {
		return 0, false
	}
	stamp, _, ok := strings.Cut(rest, "-")
	if !ok {
		return 0, false
	}
	ms, err := strconv.ParseInt(stamp, 36, 64)
	return clock.Millis(ms), err == nil
}

// Expiry returns the wall-clock time at which the window of an idempotency key
// ends. The window starts at the key's time of issue if it carries one, else
// at nowMs, and lasts for windowMs or MaxWindow, whichever is shorter. The
// error is an ExpiredKeyError if nowMs is outside the window of an issued key.
func Expiry(idempotencyKey string, nowMs, windowMs clock.Millis) (clock.Millis, error) {
	windowMs = min(windowMs, MaxWindow)
	issued, ok := IssuedAt(idempotencyKey)
	if !ok {
		return nowMs.AddFull(windowMs), nil
	}
	if issued+windowMs <= nowMs || issued > nowMs+maxIssueSkew {
		return 0, &ExpiredKeyError{IssuedMs: issued, NowMs: nowMs, WindowMs: windowMs}
	}
	return issued + windowMs, nil
}
