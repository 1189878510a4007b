package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Headers by which callers select a class, state the account that they expect their
// API key to belong to, and identify a request across retries; and the name of the
// cookie that may hold the API key.
const (
	headerClass       = "X-Damaskport-Class"
	headerAccount     = "X-Damaskport-Account"
	headerIdempotency = "Idempotency-Key"
	cookieKey         = "damaskport_key"
)

// keyParams are the query parameters that may hold an API key.
var keyParams = []string{"key", "api_key", "api-key"}

// keyHeaders are the headers whose whole value may be an API key.
var keyHeaders = []string{"X-Api-Key", "Api-Key"}

// presentedKey returns the API key that a request presents, or "". The Authorization
// header takes precedence over keyHeaders, keyParams and the cookie, in this order.
func presentedKey(r *http.Request) string {
	if scheme, text, ok := strings.Cut(r.Header.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "bearer") {
		return strings.TrimSpace(text)
	}
	for _, name := range keyHeaders {
		if v := r.Header.Get(name); v != "" {
			return v
		}
	}
	if strings.Contains(r.URL.RawQuery, directory.KeyPrefix) {
		q := r.URL.Query()
		for _, name := range keyParams {
			if v := q.Get(name); v != "" {
				return v
			}
		}
	}
	if c, err := r.Cookie(cookieKey); err == nil {
		return c.Value
	}
	return ""
}

// authenticate returns the caller's API key and its account, or a failure with
// status 401, or 403 if the request names another account.
func authenticate(d *directory.Directory, r *http.Request) (directory.Key, directory.Account, *exchange.Failure) {
	text := presentedKey(r)
	if text == "" {
		return directory.Key{}, directory.Account{}, unauthorized("missingKey", "the request has no API key; send it as Authorization: Bearer KEY")
	}
	k, ok := d.Authenticate(text)
	if !ok {
		return directory.Key{}, directory.Account{}, unauthorized("invalidKey", "the API key is not valid or has been withdrawn")
	}
	a, ok := d.Account(k.Account)
	if !ok {
		return directory.Key{}, directory.Account{}, unauthorized("invalidKey", "the API key is not valid or has been withdrawn")
	}
	if named := r.Header.Values(headerAccount); len(named) > 0 && (len(named) > 1 || named[0] != a.Name) {
		return directory.Key{}, directory.Account{}, forbidden("accountMismatch", headerAccount, "the key does not belong to the client account named in the header")
	}
	return k, a, nil
}

func unauthorized(code, message string) *exchange.Failure {
	return &exchange.Failure{Status: http.StatusUnauthorized, Code: code, Message: message, NotRun: true}
}

func forbidden(code, param, message string) *exchange.Failure {
	return &exchange.Failure{Status: http.StatusForbidden, Code: code, Param: param, Message: message, NotRun: true}
}

// forwardHeader returns the headers that are forwarded to a backend server: all but
// those that may hold an API key, hop-by-hop headers and headers reserved for the
// router.
func forwardHeader(h http.Header) http.Header {
	out := http.Header{}
	drop := map[string]bool{
		"Authorization": true, headerIdempotency: true, "Expect": true, "X-Api-Key": true, "Api-Key": true, "Cookie": true,
	}
	for k, v := range exchange.EndToEnd(h) {
		// Some servers treat an underscore in a header name as a hyphen, so both
		// spellings are dropped.
		name := http.CanonicalHeaderKey(strings.ReplaceAll(k, "_", "-"))
		if !drop[name] && !strings.HasPrefix(name, "X-Damaskport-") && !strings.HasPrefix(name, "Damaskport-") {
			out[k] = v
		}
	}
	if c := forwardCookies(h); c != "" {
		out.Set("Cookie", c)
	}
	return out
}

// forwardCookies returns the value of the Cookie header without the API key.
func forwardCookies(h http.Header) string {
	var kept []string
	for _, line := range h["Cookie"] {
		for _, c := range strings.Split(line, ";") {
			c = strings.TrimSpace(c)
			if name, _, _ := strings.Cut(c, "="); c != "" && name != cookieKey {
				kept = append(kept, c)
			}
		}
	}
	return strings.Join(kept, "; ")
}

// forwardPath returns the path and query without the parameters that hold an API
// key.
func forwardPath(u *url.URL) string {
	if u.RawQuery == "" {
		return u.EscapedPath()
	}
	var kept []string
	for _, part := range strings.Split(u.RawQuery, "&") {
		name, value, _ := strings.Cut(part, "=")
		if isKeyParam(name) && strings.HasPrefix(value, directory.KeyPrefix) {
			continue
		}
		kept = append(kept, part)
	}
	if len(kept) == 0 {
		return u.EscapedPath()
	}
	return u.EscapedPath() + "?" + strings.Join(kept, "&")
}

func isKeyParam(name string) bool {
	for _, k := range keyParams {
		if k == name {
			return true
		}
	}
	return false
}

// forwardsKey reports whether the header, path or body to be forwarded contains the
// id of a known API key. Backend servers must not see callers' keys.
func forwardsKey(d *directory.Directory, header http.Header, path string, body []byte) bool {
	if containsKey(d, body) || containsKey(d, []byte(path)) {
		return true
	}
	for k, values := range header {
		// net/http has capitalized the name, whereas the prefix of keys is in lower
		// case.
		if containsKey(d, []byte(strings.ToLower(k))) {
			return true
		}
		for _, v := range values {
			if containsKey(d, []byte(v)) {
				return true
			}
		}
	}
	return false
}

// maxDecodings is the number of nested encodings that are decoded in the search for
// a key.
const maxDecodings = 3

// containsKey reports whether text contains the prefix and id of a known key, either
// plainly or percent-encoded or JSON-escaped up to maxDecodings times.
func containsKey(d *directory.Directory, text []byte) bool {
	encoded := true
	for range maxDecodings {
		if containsUnencodedKey(d, text) {
			return true
		}
		if text, encoded = unescape(text); !encoded {
			return false
		}
	}
	return containsUnencodedKey(d, text)
}

// containsUnencodedKey reports whether text, without decoding, contains the prefix
// and id of a known key.
func containsUnencodedKey(d *directory.Directory, text []byte) bool {
	prefix := []byte(directory.KeyPrefix)
	for {
		i := bytes.Index(text, prefix)
		if i < 0 {
			return false
		}
		text = text[i+len(prefix):]
		end := bytes.IndexFunc(text, func(r rune) bool {
			return (r < '0' || r > '9') && (r < 'A' || r > 'Z') && (r < 'a' || r > 'z')
		})
		if end < 0 {
			end = len(text)
		}
		if d.KeyKnown(string(text[:end])) {
			return true
		}
	}
}
