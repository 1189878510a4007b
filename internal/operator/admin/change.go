package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	// maxChangeBytes is the size of the largest record that the log takes.
	maxChangeBytes = 4 << 20
	// maxUnconfirmed bounds the appends without an answer that are remembered.
	maxUnconfirmed = 1024
	retryAfter     = "1"
)

// changer appends changes and reads them back.
type changer struct {
	deps Deps

	mu sync.Mutex
	// unconfirmed holds the ids of changes whose append got no answer. They
	// are not appended again: the first append may still take effect.
	unconfirmed map[string]bool
}

func (c *changer) serve(w http.ResponseWriter, r *http.Request) {
	change, refused := decodeChange(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if refused != nil {
		writeJSON(w, refused.Status, refused.Result)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.deps.TimeoutMs.Duration())
	defer cancel()
	status, result := c.do(ctx, change)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	c.deps.Logger.WithFields(logrus.Fields{
		"event": "configChange", "change": change.ID, "author": change.Author, "offset": result.Offset,
		"accepted": result.Accepted, "unknown": result.Unknown, "peers": result.Peers, "reason": result.Reason,
	}).Info()
	writeJSON(w, status, result)
}

// decodeChange decodes a change strictly and checks it on its own.
func decodeChange(body io.Reader) (directory.Change, *Error) {
	data, err := io.ReadAll(body)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return directory.Change{}, refusal(http.StatusRequestEntityTooLarge, errors.Errorf("a change has at most %d bytes", large.Limit))
		}
		return directory.Change{}, refusal(http.StatusBadRequest, errors.Wrap(err, "read the change"))
	}
	change, err := parseChange(data)
	if err != nil {
		return directory.Change{}, refusal(http.StatusBadRequest, err)
	}
	return change, nil
}

func parseChange(data []byte) (directory.Change, error) {
	var change directory.Change
	doc, err := strictjson.Parse("change", data)
	if err != nil {
		return change, err
	}
	if doc.Has("snapshot") {
		doc.Reject("snapshot", nil, "must not be given")
		return change, doc.Err()
	}
	doc.Decode(&change)
	if err := doc.Err(); err != nil {
		return change, err
	}
	return change, change.Validate()
}

func refusal(status int, err error) *Error {
	var bad *strictjson.Errors
	if errors.As(err, &bad) {
		return &Error{status, Result{Reason: "the change cannot be decoded", Problems: bad.Problems}}
	}
	return &Error{status, Result{Reason: err.Error()}}
}

// do appends the change unless that was tried before, and waits for the
// fold's decision.
func (c *changer) do(ctx context.Context, change directory.Change) (int, Result) {
	store := c.deps.Store
	if err := store.Wait(ctx, change.BasedOn); err != nil {
		return http.StatusServiceUnavailable, Result{Reason: "this entry has not yet reached the version that the change is based on"}
	}
	data, err := json.Marshal(change)
	if err != nil {
		return http.StatusBadRequest, Result{Reason: err.Error()}
	}
	if status, result, done := c.decided(ctx, change, data); done {
		return status, result
	}
	refused := make(chan error, 1)
	if !c.isUnconfirmed(change.ID) {
		if _, err := store.Current().WithChange(change); err != nil {
			return http.StatusConflict, Result{Reason: err.Error()}
		}
		c.remember(change.ID)
		go func() { refused <- c.append(ctx, change.ID, data) }()
	}
	return c.await(ctx, change, data, refused)
}

// append returns an error only when the record was surely not added.
func (c *changer) append(ctx context.Context, id string, data []byte) error {
	_, err := c.deps.Appender.Append(ctx, logservice.StreamConfig, data)
	if err == nil {
		return nil
	}
	var status *logservice.StatusError
	var dial *net.OpError
	if (errors.As(err, &status) && status.NotAppended) || (errors.As(err, &dial) && dial.Op == "dial") {
		c.forget(id)
		return err
	}
	c.deps.Logger.WithFields(logrus.Fields{"event": "configAppendUnconfirmed", "change": id}).Warn(err)
	return nil
}

// await waits until the change is read back or the log has refused it. It
// does not wait for the answer to the append, which may be lost.
func (c *changer) await(ctx context.Context, change directory.Change, data []byte, refused <-chan error) (int, Result) {
	for {
		changed := c.deps.Store.Changed()
		if status, result, done := c.decided(ctx, change, data); done {
			return status, result
		}
		select {
		case <-changed:
		case err := <-refused:
			if err != nil {
				return http.StatusServiceUnavailable, Result{Reason: "not appended: " + err.Error()}
			}
		case <-ctx.Done():
			return http.StatusGatewayTimeout, Result{
				Unknown: true,
				Reason:  "the log has not shown the change in time; send the same change with the same id again to learn its outcome",
			}
		}
	}
}

// decided returns the outcome of a change that was read back. An acceptance
// is told after the other processes have been sent the change.
func (c *changer) decided(ctx context.Context, change directory.Change, data []byte) (int, Result, bool) {
	outcome, ok := c.deps.Store.FindChange(change.ID, change.BasedOn+1)
	if !ok {
		return 0, Result{}, false
	}
	c.forget(change.ID)
	if string(directory.Canonical(outcome.Data)) != string(directory.Canonical(data)) {
		return http.StatusConflict, Result{Reason: "the id " + change.ID + " belongs to another change"}, true
	}
	if !outcome.Verdict.Accepted {
		return http.StatusConflict, Result{Offset: outcome.Offset, Reason: outcome.Verdict.Reason}, true
	}
	result := Result{Offset: outcome.Offset, Accepted: true}
	if c.deps.Spread != nil {
		result.Peers = c.deps.Spread(ctx, outcome.Offset)
	}
	return http.StatusOK, result, true
}

func (c *changer) isUnconfirmed(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unconfirmed[id]
}

func (c *changer) remember(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for old := range c.unconfirmed {
		if len(c.unconfirmed) < maxUnconfirmed {
			break
		}
		delete(c.unconfirmed, old)
	}
	c.unconfirmed[id] = true
}

func (c *changer) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unconfirmed, id)
}
