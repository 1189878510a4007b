// Package usage speaks to the platform's interface for usage reports.
//
//	POST {base}/v1/usage  a Report -> 202
//
// The interface rejects nothing: sending each report from one process only,
// and with the same figures each time, is up to the caller.
package usage

import (
	"context"
	"encoding/json"

	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Report is what a client account used in one window.
type Report struct {
	ReportID      string       `json:"reportId"`
	Account       string       `json:"account"`
	WindowStartMs clock.Millis `json:"windowStartMs"`
	WindowEndMs   clock.Millis `json:"windowEndMs"`
	Requests      int64        `json:"requests"`
	PromptTokens  int64        `json:"promptTokens"`
	OutputTokens  int64        `json:"outputTokens"`
	// CorrectionTokens is what earlier reports of the account left out.
	CorrectionTokens int64 `json:"correctionTokens"`
	// Author and Term name the sender and its lease.
	Author string `json:"author"`
	Term   int64  `json:"term"`
}

// Client sends reports. It is safe for concurrent use.
type Client struct {
	base string
}

// New returns a Client of the interface at base.
func New(base string) *Client {
	return &Client{base: base}
}

// Report sends one report while the guard allows it. After an error other
// than a refusing fenced.StatusError it may have been accepted.
func (c *Client) Report(ctx context.Context, r Report, g fenced.Guard) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fenced.Post(ctx, c.base+"/v1/usage", body, g)
	return err
}
