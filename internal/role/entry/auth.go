package entry

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Headers that callers may set.
const (
	headerClass       = "X-Damaskport-Class"
	headerAccount     = "X-Damaskport-Account"
	headerIdempotency = "Idempotency-Key"
	cookieKey         = "damaskport_key"
)

// keyParams are the query parameters in which a key may be shown.
var keyParams = []string{"key", "api_key", "api-key"}

// keyHeaders are the headers in which a key may be shown as it is.
var keyHeaders = []string{"X-Api-Key", "Api-Key"}

// shownKey returns the key that a request shows, or "".
func shownKey(r *http.Request) string {
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

// authenticate returns the key of the caller and its account.
func authenticate(d *directory.Directory, r *http.Request) (directory.Key, directory.Account, *exchange.Failure) {
	text := shownKey(r)
	if text == "" {
		return directory.Key{}, directory.Account{}, unauthorized("missingKey", "no key was given; send it as Authorization: Bearer KEY")
	}
	k, ok := d.Authenticate(text)
	if !ok {
		return directory.Key{}, directory.Account{}, unauthorized("invalidKey", "the key is not valid or has been withdrawn")
	}
	a, ok := d.Account(k.Account)
	if !ok {
		return directory.Key{}, directory.Account{}, unauthorized("invalidKey", "the key is not valid or has been withdrawn")
	}
	if named := r.Header.Values(headerAccount); len(named) > 0 && (len(named) > 1 || named[0] != a.Name) {
		return directory.Key{}, directory.Account{}, forbidden("accountMismatch", headerAccount, "the key belongs to another client account than the one named")
	}
	return k, a, nil
}

func unauthorized(code, message string) *exchange.Failure {
	return &exchange.Failure{Status: http.StatusUnauthorized, Code: code, Message: message, NotRun: true}
}

func forbidden(code, param, message string) *exchange.Failure {
	return &exchange.Failure{Status: http.StatusForbidden, Code: code, Param: param, Message: message, NotRun: true}
}

// forwardHeader returns the header that may go on to a backend server:
// without keys, hop-by-hop fields and the router's own fields.
func forwardHeader(h http.Header) http.Header {
	out := http.Header{}
	drop := map[string]bool{
		"Authorization": true, headerIdempotency: true, "Expect": true, "X-Api-Key": true, "Api-Key": true, "Cookie": true,
	}
	for k, v := range exchange.EndToEnd(h) {
		// Some servers read an underscore in a name as a hyphen.
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

// forwardPath returns the path and query without the parameters that show a key.
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

// carriesKey reports whether what would go on to a backend server holds a
// known key or the start of one.
func carriesKey(d *directory.Directory, header http.Header, path string, body []byte) bool {
	if holdsKey(d, body) || holdsKey(d, []byte(path)) {
		return true
	}
	for k, values := range header {
		// The server has capitalized the header's name.
		if holdsKey(d, []byte(strings.ToLower(k))) {
			return true
		}
		for _, v := range values {
			if holdsKey(d, []byte(v)) {
				return true
			}
		}
	}
	return false
}

// maxDecodings is the number of encodings inside one another in which a key
// is looked for.
const maxDecodings = 3

// holdsKey searches text for the prefix and id of a known key, as it is and
// percent-encoded or escaped.
func holdsKey(d *directory.Directory, text []byte) bool {
	encoded := true
	for range maxDecodings {
		if holdsPlainKey(d, text) {
			return true
		}
		if text, encoded = unescape(text); !encoded {
			return false
		}
	}
	return holdsPlainKey(d, text)
}

func holdsPlainKey(d *directory.Directory, text []byte) bool {
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
