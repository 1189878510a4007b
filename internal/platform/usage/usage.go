// Package usage is a client of the platform's interface for usage reports.
//
//	POST {base}/v1/usage  a Report -> 202
//
// The interface rejects no report. The caller must ensure that only one process sends
// a report and that each retry has the same figures.
package usage

import (
	"context"
	"encoding/json"

	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Report is the usage of a client account in one window.
type Report struct {
	ReportID      string       `json:"reportId"`
	Account       string       `json:"account"`
	WindowStartMs clock.Millis `json:"windowStartMs"`
	WindowEndMs   clock.Millis `json:"windowEndMs"`
	Requests      int64        `json:"requests"`
	PromptTokens  int64        `json:"promptTokens"`
	OutputTokens  int64        `json:"outputTokens"`
	// CorrectionTokens is the number of tokens by which earlier reports of the
	// account were too low; negative if they were too high.
	CorrectionTokens int64 `json:"correctionTokens"`
	// Author identifies the sender, and Term is the fencing number of its lease.
	Author string `json:"author"`
	Term   int64  `json:"term"`
}

// Client sends usage reports. It is safe for concurrent use.
type Client struct {
	base string
}

// New returns a Client of the interface at the URL base.
func New(base string) *Client {
	return &Client{base: base}
}

// Report sends one report while the guard permits it. After an error the platform may
// have accepted the report, unless the error is a *fenced.StatusError that reports a
// rejection, or a *fenced.LapsedError whose Sent is false.
func (c *Client) Report(ctx context.Context, r Report, g fenced.Guard) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fenced.Post(ctx, c.base+"/v1/usage", body, g)
	return err
}
