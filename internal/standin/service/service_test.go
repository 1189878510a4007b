package service_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/service"
)

func TestExecutionsCountLostAnswers(t *testing.T) {
	s := service.New(service.Config{Name: "s"})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(attempt string) (service.Answer, error) {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/deposits", strings.NewReader("nonce:N workMs:1"))
		req.Header.Set("X-Damaskport-Account", "a")
		req.Header.Set("X-Damaskport-Attempt", attempt)
		req.Header.Set("Idempotency-Key", "k")
		var answer service.Answer
		res, err := client.Do(req)
		if err != nil {
			return answer, err
		}
		defer res.Body.Close()
		return answer, json.NewDecoder(res.Body).Decode(&answer)
	}
	s.Faults().Add(fault.Fault{Path: "/deposits", Kind: fault.KindLoseAnswer, Count: 1})
	if _, err := send("1"); err == nil {
		t.Error("a lost answer arrived")
	}
	s.Faults().Add(fault.Fault{Path: "/", Kind: fault.KindFail, Status: 503, Count: 1})
	_, _ = send("2")
	answer, err := send("3")
	want := service.Answer{Service: "s", Nonce: "N", Account: "a", Path: "/deposits", Execution: 2}
	if diff := cmp.Diff(want, answer); diff != "" || err != nil {
		t.Errorf("%v, answer (-want +got):\n%s", err, diff)
	}
	e := service.Execution{Server: "s", Account: "a", IdempotencyKey: "k", Attempt: "1", Nonce: "N", Method: "POST", Path: "/deposits", Done: true}
	e3 := e
	e3.Attempt = "3"
	if diff := cmp.Diff([]service.Execution{e, e3}, s.Executions(), cmpopts.IgnoreFields(service.Execution{}, "AtMs")); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}
