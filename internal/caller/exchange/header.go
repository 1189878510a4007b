package exchange

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to a single connection (RFC 9110, section 7.6.1),
// and Content-Length, which the sender of each hop sets itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of h without hop-by-hop headers, including those that its
// Connection header lists, and without Content-Length.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
