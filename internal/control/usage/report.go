package usage

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/platform/usage"
	"github.com/damaskport/damaskport/internal/state/window"
)

// sendReports sends the platform the reports of sealed windows that it has not accepted
// yet, and appends a confirmation to the stream for each accepted report that has none
// there. After a failure it does nothing until the back-off has
// passed: initialBackoff at first, doubled with each further failure up to maxBackoff.
func (s *session) sendReports(ctx context.Context) error {
	now := s.clock.Now()
	if now < s.retryAtMs {
		return nil
	}
	unconfirmed := s.fold.UnconfirmedSeals()
	s.removeConfirmed(unconfirmed)
	err := s.sendAll(ctx, unconfirmed)
	if err != nil {
		s.backoff = min(max(initialBackoff, 2*s.backoff), maxBackoff)
		s.retryAtMs = now + s.backoff
		s.scope.Counter("usage_report_failures").Inc(1)
	} else {
		s.backoff = 0
	}
	if e := s.recordConfirmations(ctx, unconfirmed); e != nil {
		return e
	}
	return err
}

// removeConfirmed removes from s.accepted the reports whose confirmation has been read
// from the stream: those that are not among the unconfirmed seals.
func (s *session) removeConfirmed(unconfirmed []window.Seal) {
	remaining := map[string]window.Seal{}
	for _, seal := range unconfirmed {
		if _, ok := s.accepted[seal.ReportID()]; ok {
			remaining[seal.ReportID()] = seal
		}
	}
	s.accepted = remaining
}

// sendAll sends the reports concurrently. It continues with the others after one that
// the platform rejects, and stops at any other failure.
func (s *session) sendAll(ctx context.Context, seals []window.Seal) error {
	var mu sync.Mutex
	var rejected error
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReports)
	for _, seal := range seals {
		mu.Lock()
		_, accepted := s.accepted[seal.ReportID()]
		mu.Unlock()
		if accepted || gctx.Err() != nil {
			continue
		}
		g.Go(func() error {
			err := s.platform.Report(gctx, s.reportOf(seal), s.tenure)
			mu.Lock()
			defer mu.Unlock()
			var status *fenced.StatusError
			if errors.As(err, &status) && status.Refused() {
				rejected = errors.Wrapf(err, "report %s", seal.ReportID())
				return nil
			}
			if err != nil {
				return err
			}
			s.accepted[seal.ReportID()] = seal
			s.countReport(seal)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return rejected
}

// reportOf returns the report of a sealed window.
func (s *session) reportOf(seal window.Seal) usage.Report {
	return usage.Report{
		ReportID:         seal.ReportID(),
		Account:          seal.Account,
		WindowStartMs:    seal.StartMs,
		WindowEndMs:      seal.EndMs,
		Requests:         seal.Requests,
		PromptTokens:     seal.PromptTokens,
		OutputTokens:     seal.OutputTokens,
		CorrectionTokens: seal.CorrectionTokens,
		Author:           s.cfg.Author,
		Term:             s.tenure.Term(),
	}
}

// recordConfirmations records the accepted reports in the stream. Each cycle repeats
// it until the stream shows the record.
func (s *session) recordConfirmations(ctx context.Context, unconfirmed []window.Seal) error {
	var rec window.Record
	for _, seal := range unconfirmed {
		if _, ok := s.accepted[seal.ReportID()]; !ok || len(rec.Confirms) == maxSealsPerRecord {
			continue
		}
		rec.Confirms = append(rec.Confirms, window.Confirmation{Account: seal.Account, Window: seal.Window})
	}
	if len(rec.Confirms) == 0 {
		return nil
	}
	return s.append(ctx, rec)
}

// countReport counts an accepted report in the metrics.
func (s *session) countReport(seal window.Seal) {
	s.scope.Counter("usage_reports").Inc(1)
	if s.clock.Wall() > seal.EndMs+lateWindows*s.cfg.WindowMs {
		s.scope.Counter("usage_reports_late").Inc(1)
	}
	if seal.CorrectionTokens != 0 {
		s.scope.Counter("usage_reports_corrected").Inc(1)
	}
}
