package sidecar_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/role/sidecar"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// brokenClock panics once in the core after it was broken.
type brokenClock struct {
	clock.System
	broken atomic.Bool
}

func (c *brokenClock) Now() clock.Millis {
	if c.broken.Load() && bytes.Contains(debug.Stack(), []byte("(*core).Run")) && c.broken.CompareAndSwap(true, false) {
		panic("broken clock")
	}
	return c.System.Now()
}

// TestSidecarServesAfterItsCoreFailed guards against sidecars that live on and refuse or drop requests for good
// after a task has panicked.
func TestSidecarServesAfterItsCoreFailed(t *testing.T) {
	f := settings.Defaults(settings.RoleSidecar)
	f.Name, f.Zone = "s1", "a"
	f.Sidecar.ControlAddr, f.Sidecar.DataAddr, f.Sidecar.Slots = "127.0.0.1:0", "127.0.0.1:0", 1
	f.Sidecar.ServerURL, f.Sidecar.DrainMs = "http://127.0.0.1:1", 100
	clk := &brokenClock{}
	s, err := sidecar.New(f, sidecar.Deps{Log: logging.Discard(), Clock: clk, Store: config.New(0)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	run := func() string {
		req, err := http.NewRequest(http.MethodPost, s.DataURL()+"/run/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(dispatch.HeaderReservation, `{"id":"r1","account":"a"}`)
		req.Header.Set(dispatch.HeaderRequest, "{}")
		res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	before := run()
	clk.broken.Store(true)
	for end := time.Now().Add(10 * time.Second); clk.broken.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the core did not fail")
		}
	}
	for range 20 {
		if after := run(); after != before || strings.Contains(after, "stopped") {
			t.Fatalf("answer %q after the core failed, want %q as before", after, before)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("Run = %v", err)
	}
}
