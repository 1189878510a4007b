package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/quarantine"
)

// answerTrial answers a gateway that asks to run a suspected request.
func (g *Gateway) answerTrial(entry string, data json.RawMessage) error {
	var m enginequeue.TrialRequest
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	s := g.suspects
	s.mu.Lock()
	granted := s.examiner.Ask(g.clock.Now(), entry+"/"+m.Request, m.Subjects)
	var news quarantine.Evidence
	switch {
	case !granted || !m.Retrial:
	case m.Marks:
		granted = s.ledger.MayRetry(s.wall(), m.Subjects)
	default:
		// Gateways of earlier builds leave it to the examiner.
		if news = s.ledger.Retry(s.wall(), m.Subjects); !news.Empty() {
			s.changedLocked()
		}
		granted = !news.Empty()
	}
	if !granted {
		s.examiner.End(entry + "/" + m.Request)
	}
	s.mu.Unlock()
	if !news.Empty() {
		s.tell(news)
	}
	g.queueHost.Notify(entry, enginequeue.MethodTrialAnswer, enginequeue.TrialReply{ID: m.ID, Granted: granted})
	return nil
}

// receiveTrialEnd handles the end of a trial.
func (g *Gateway) receiveTrialEnd(entry string, data json.RawMessage) error {
	var m enginequeue.TrialRequest
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	g.suspects.examiner.End(entry + "/" + m.Request)
	return nil
}

// examinerLocked returns the gateway that grants trials; nil if there is none. t.mu is held.
func (t *peerTable) examinerLocked() *peer {
	return t.electLocked(subjectExaminer, func(p *peer) bool { return p.examines })
}

// askTrial asks the examiner whether a request may run; answered is false if there was no
// answer within trialTimeout.
func (t *peerTable) askTrial(ctx context.Context, m enginequeue.TrialRequest) (granted, answered bool) {
	answer := make(chan bool, 1)
	t.mu.Lock()
	p := t.examinerLocked()
	if p == nil {
		t.mu.Unlock()
		return false, false
	}
	t.lastAsk++
	m.ID = t.lastAsk
	t.trialAsks[m.ID] = answer
	p.link.Notify(enginequeue.MethodTrial, m)
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.trialAsks, m.ID)
		t.mu.Unlock()
	}()
	timeout := time.NewTimer(trialTimeout.Duration())
	defer timeout.Stop()
	select {
	case granted = <-answer:
		t.g.metrics.trial(granted)
		return granted, true
	case <-ctx.Done():
		// The permission may be granted later, and would hold up other requests.
		t.endTrial(m.Request)
		return false, true
	case <-timeout.C:
		return false, false
	}
}

// receiveTrialAnswer passes the examiner's answer to the request that waits for it.
func (t *peerTable) receiveTrialAnswer(r enginequeue.TrialReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answer := t.trialAsks[r.ID]; answer != nil {
		delete(t.trialAsks, r.ID)
		answer <- r.Granted
	}
}

// endTrial tells the examiner that the trial of a request has ended.
func (t *peerTable) endTrial(request string) {
	t.notifyExaminer(enginequeue.MethodTrialEnd, enginequeue.TrialRequest{Request: request})
}

// notifyExaminer sends m to the examiner, if there is one.
func (t *peerTable) notifyExaminer(method string, m enginequeue.TrialRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.examinerLocked(); p != nil {
		p.link.Notify(method, m)
	}
}
