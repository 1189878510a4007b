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

// MaxWindow is the longest idempotency window.
const MaxWindow = 24 * clock.Hour

// maxLife bounds how long after its record a claim may stay live. A claim that
// asks for more is refused: its author's clock is wrong.
const maxLife = MaxWindow + clock.Hour

// maxIssueSkew bounds how far in the future an issued key's time may lie.
const maxIssueSkew = clock.Minute

const issuedPrefix = "dpk1-"

// Key identifies one protected request across its attempts.
type Key [16]byte

// KeyOf returns the key of a client account's request on a route with an
// idempotency key.
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

// ExpiredKeyError reports an idempotency key that is past its window, or
// whose time lies in the future.
type ExpiredKeyError struct {
	IssuedMs clock.Millis
	NowMs    clock.Millis
	WindowMs clock.Millis
}

// Error states the times in milliseconds.
func (e *ExpiredKeyError) Error() string {
	return fmt.Sprintf("idempotency key issued at %d is outside its window of %d ms at %d", e.IssuedMs, e.WindowMs, e.NowMs)
}

// IssueKey returns an idempotency key that carries its time. The nonce must
// be unique.
func IssueKey(nowMs clock.Millis, nonce string) string {
	return issuedPrefix + strconv.FormatInt(int64(nowMs), 36) + "-" + nonce
}

// IssuedAt returns the time that an issued idempotency key carries.
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

// Expiry returns the end of the window of an idempotency key at wall-clock
// time nowMs: counted from its issue where it carries a time, else from
// nowMs. A window is at most MaxWindow. The error is an ExpiredKeyError when
// an issued key is outside its window.
func Expiry(idempotencyKey string, nowMs, windowMs clock.Millis) (clock.Millis, error) {
	windowMs = min(windowMs, MaxWindow)
	issued, ok := IssuedAt(idempotencyKey)
	if !ok {
		return nowMs + windowMs, nil
	}
	if issued+windowMs <= nowMs || issued > nowMs+maxIssueSkew {
		return 0, &ExpiredKeyError{IssuedMs: issued, NowMs: nowMs, WindowMs: windowMs}
	}
	return issued + windowMs, nil
}
