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

// report sends the reports that the platform has not confirmed, and records
// which ones it has accepted now. After a failure it waits longer each time.
func (s *session) report(ctx context.Context) error {
	now := s.clock.Now()
	if now < s.pauseMs {
		return nil
	}
	unconfirmed := s.fold.UnconfirmedSeals()
	s.prune(unconfirmed)
	err := s.send(ctx, unconfirmed)
	if err != nil {
		s.backoff = min(max(firstBackoff, 2*s.backoff), lastBackoff)
		s.pauseMs = now + s.backoff
		s.scope.Counter("usage_report_failures").Inc(1)
	} else {
		s.backoff = 0
	}
	if e := s.confirm(ctx, unconfirmed); e != nil {
		return e
	}
	return err
}

// prune forgets accepted reports that the stream shows as confirmed.
func (s *session) prune(unconfirmed []window.Seal) {
	open := map[string]window.Seal{}
	for _, seal := range unconfirmed {
		if _, ok := s.sent[seal.ReportID()]; ok {
			open[seal.ReportID()] = seal
		}
	}
	s.sent = open
}

// send sends the reports. It goes on after one that the platform refuses, and
// stops at any other failure.
func (s *session) send(ctx context.Context, seals []window.Seal) error {
	var mu sync.Mutex
	var refused error
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelReports)
	for _, seal := range seals {
		mu.Lock()
		_, known := s.sent[seal.ReportID()]
		mu.Unlock()
		if known || gctx.Err() != nil {
			continue
		}
		g.Go(func() error {
			err := s.platform.Report(gctx, s.reportOf(seal), s.tenure)
			mu.Lock()
			defer mu.Unlock()
			var status *fenced.StatusError
			if errors.As(err, &status) && status.Refused() {
				refused = errors.Wrapf(err, "report %s", seal.ReportID())
				return nil
			}
			if err != nil {
				return err
			}
			s.sent[seal.ReportID()] = seal
			s.count(seal)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return refused
}

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

// confirm records the accepted reports. It is repeated until the stream shows it.
func (s *session) confirm(ctx context.Context, unconfirmed []window.Seal) error {
	var rec window.Record
	for _, seal := range unconfirmed {
		if _, ok := s.sent[seal.ReportID()]; !ok || len(rec.Confirms) == sealsPerRecord {
			continue
		}
		rec.Confirms = append(rec.Confirms, window.Confirmation{Account: seal.Account, Window: seal.Window})
	}
	if len(rec.Confirms) == 0 {
		return nil
	}
	return s.append(ctx, rec)
}

func (s *session) count(seal window.Seal) {
	s.scope.Counter("usage_reports").Inc(1)
	if s.clock.Wall() > seal.EndMs+lateWindows*s.cfg.WindowMs {
		s.scope.Counter("usage_reports_late").Inc(1)
	}
	if seal.CorrectionTokens != 0 {
		s.scope.Counter("usage_reports_corrected").Inc(1)
	}
}
