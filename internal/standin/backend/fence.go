package backend

import (
	"net/http"
	"strconv"
	"sync"
)

// Headers that the system's processes send to backend servers.
const (
	HeaderFencing     = "X-Fencing-Number"
	HeaderAttempt     = "X-Damaskport-Attempt"
	HeaderAccount     = "X-Damaskport-Account"
	HeaderIdempotency = "Idempotency-Key"
)

// Fence refuses senders with a lower fencing number than the highest seen.
type Fence struct {
	mu      sync.Mutex
	highest int64
}

// Admit reports whether r carries a current fencing number. If not, it has
// answered with 409.
func (f *Fence) Admit(w http.ResponseWriter, r *http.Request) bool {
	n, _ := strconv.ParseInt(r.Header.Get(HeaderFencing), 10, 64)
	f.mu.Lock()
	stale := n < f.highest
	f.highest = max(f.highest, n)
	highest := f.highest
	f.mu.Unlock()
	if stale {
		WriteError(w, http.StatusConflict, "staleFencingNumber", "fencing number "+strconv.FormatInt(n, 10)+" is below "+strconv.FormatInt(highest, 10))
	}
	return !stale
}

// WriteError answers with an error in the shape of OpenAI's protocol.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	type body struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	WriteJSON(w, status, struct {
		Error body `json:"error"`
	}{body{message, "serverError", code}})
}
