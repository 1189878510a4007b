package platform

import (
	"net/http"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// UsageReport is a usage report as it arrived.
type UsageReport struct {
	ReportID         string       `json:"reportId"`
	Account          string       `json:"account"`
	WindowStartMs    clock.Millis `json:"windowStartMs"`
	WindowEndMs      clock.Millis `json:"windowEndMs"`
	Requests         int64        `json:"requests"`
	PromptTokens     int64        `json:"promptTokens"`
	OutputTokens     int64        `json:"outputTokens"`
	CorrectionTokens int64        `json:"correctionTokens"`
	Author           string       `json:"author"`
	Term             int64        `json:"term"`
	// ReceivedMs is set by the platform.
	ReceivedMs clock.Millis `json:"receivedMs"`
}

func (p *Platform) serveReport(w http.ResponseWriter, r *http.Request) {
	var u UsageReport
	if !readJSON(w, r, &u) {
		return
	}
	u.ReceivedMs = p.clock.Wall()
	p.mu.Lock()
	p.usage = append(p.usage, u)
	p.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) serveUsage(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	reports := append([]UsageReport{}, p.usage...)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Reports []UsageReport `json:"reports"`
	}{reports})
}
