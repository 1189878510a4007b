package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

func start(t *testing.T, cfg platform.Config) (*platform.Platform, string) {
	t.Helper()
	p := platform.New(cfg)
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		p.Faults().Clear()
		srv.Close()
	})
	return p, srv.URL
}

func post(t *testing.T, url string, v any) (int, string) {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Post(url, "application/json", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(data))
}

func TestLogOffsetsRetentionAndBytes(t *testing.T) {
	c := clock.NewManual(0, 1000)
	_, url := start(t, platform.Config{RetentionRecords: 2, RetentionMs: 500, Clock: c})
	log := logservice.New(url, http.DefaultClient)
	records := []string{`{"n":1}`, `{ "n": "<2>" }`, `{"n":3}`}
	for i, data := range records {
		offset, err := log.Append(t.Context(), "s", []byte(data))
		if err != nil || offset != int64(i+1) {
			t.Fatalf("append %d: offset %d, %v", i, offset, err)
		}
		c.Advance(100)
	}
	got, err := log.Read(t.Context(), "s", 1, 10, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := logservice.Page{FirstOffset: 2, NextOffset: 4, Records: []logservice.Record{
		{Offset: 2, AtMs: 1100, Data: json.RawMessage(records[1])},
		{Offset: 3, AtMs: 1200, Data: json.RawMessage(records[2])},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("page below retention (-want +got):\n%s", diff)
	}
	c.Advance(301)
	got, err = log.Read(t.Context(), "s", 1, 10, 0)
	if err != nil || got.FirstOffset != 3 || len(got.Records) != 1 {
		t.Errorf("after retention by age: %+v, %v", got, err)
	}
}

func TestLongPollSeesTheNextAppend(t *testing.T) {
	p, url := start(t, platform.Config{})
	log := logservice.New(url, http.DefaultClient)
	pages := make(chan logservice.Page, 1)
	go func() {
		page, _ := log.Read(context.Background(), "s", 1, 10, clock.Minute)
		pages <- page
	}()
	for p.State().Streams["s"].FirstOffset == 0 { // until the read is there
		if t.Context().Err() != nil {
			t.Fatal("no read arrived")
		}
	}
	if _, err := log.Append(t.Context(), "s", []byte(`1`)); err != nil {
		t.Fatal(err)
	}
	if page := <-pages; len(page.Records) != 1 || page.NextOffset != 2 {
		t.Errorf("page = %+v, want one record", page)
	}
}

func TestAppendFaults(t *testing.T) {
	p, url := start(t, platform.Config{AppendsPerSecond: 2})
	log := logservice.New(url, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	p.Faults().Add(fault.Fault{Path: "/v1/streams", Kind: fault.KindLoseAnswer, Count: 1})
	if _, err := log.Append(t.Context(), "s", []byte(`1`)); err == nil {
		t.Error("an append whose answer is lost succeeded")
	}
	if n := len(p.State().Streams["s"].Records); n != 1 {
		t.Errorf("%d records after a lost answer, want 1", n)
	}
	p.Faults().Add(fault.Fault{Path: "/v1/streams", Kind: fault.KindFail, Status: 503, Count: 1})
	var status *logservice.StatusError
	if _, err := log.Append(t.Context(), "s", []byte(`2`)); !errors.As(err, &status) || status.Status != 503 || status.NotAppended {
		t.Errorf("outage: %v, want status 503", err)
	}
	_, _ = log.Append(t.Context(), "s", []byte(`2`))
	if _, err := log.Append(t.Context(), "s", []byte(`3`)); !errors.As(err, &status) || !status.NotAppended {
		t.Errorf("past the rate: %v, want 429", err)
	}
	if n := len(p.State().Streams["s"].Records); n != 2 {
		t.Errorf("%d records, want 2", n)
	}
}

func TestFrozenAppendTakesEffectAfterItsSenderLeft(t *testing.T) {
	p, url := start(t, platform.Config{})
	p.Faults().Add(fault.Fault{Path: "/v1/streams", Kind: fault.KindFreeze, Count: 1})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := logservice.New(url, &http.Client{}).Append(ctx, "s", []byte(`1`))
		failed <- err
	}()
	for faultsLeft(t, url) > 0 { // until the append is held
	}
	cancel()
	if err := <-failed; err == nil {
		t.Error("a frozen append succeeded")
	}
	p.Faults().Clear()
	page, err := logservice.New(url, &http.Client{}).Read(t.Context(), "s", 1, 1, clock.Minute)
	if err != nil || len(page.Records) != 1 {
		t.Errorf("page = %+v, %v, want the frozen record", page, err)
	}
}

func faultsLeft(t *testing.T, url string) int {
	t.Helper()
	res, err := http.Get(url + "/admin/faults")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var faults []fault.Fault
	if err := json.NewDecoder(res.Body).Decode(&faults); err != nil {
		t.Fatal(err)
	}
	return len(faults)
}

func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checkFencing=%v", checks), func(t *testing.T) {
			c := clock.NewManual(0, 0)
			p, url := start(t, platform.Config{CheckFencing: checks, StartUpMs: 100, Clock: c})
			url += "/v1/capacity/orders"
			order := platform.Order{OrderID: "o1", Term: 7, Author: "e1", Action: "start", Zone: "a", Pool: "p"}
			if code, body := post(t, url, order); code != 200 || body != `{"server":"p-a-1"}` {
				t.Errorf("order: %d %s", code, body)
			}
			if _, body := post(t, url, order); body != `{"server":"p-a-1"}` {
				t.Errorf("repeated order: %s", body)
			}
			order.OrderID, order.Term = "o2", 6
			wantCode, results, servers := 200, []string{"done", "repeated", "done"}, 2
			if checks {
				wantCode, results, servers = 409, []string{"done", "repeated", "refused"}, 1
			}
			if code, body := post(t, url, order); code != wantCode {
				t.Errorf("order with an old term: %d %s, want %d", code, body, wantCode)
			}
			c.Advance(100)
			st := p.State()
			var got []string
			for _, o := range st.Orders {
				got = append(got, o.Result)
			}
			if diff := cmp.Diff(results, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
			if len(st.Servers) != servers || st.Servers[0].State != platform.StateLive {
				t.Errorf("servers = %+v, want %d live ones", st.Servers, servers)
			}
		})
	}
}

func TestInstancesLag(t *testing.T) {
	c := clock.NewManual(5000, 5000)
	p, url := start(t, platform.Config{ListLagMs: 1000, Clock: c})
	state := func() string {
		res, err := http.Get(url + "/v1/instances")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var list platform.InstanceList
		if err := json.NewDecoder(res.Body).Decode(&list); err != nil {
			t.Fatal(err)
		}
		if len(list.Instances) == 0 {
			return ""
		}
		return list.Instances[0].State
	}
	p.PutInstance(platform.Instance{Name: "m1", Role: "backend"})
	got := []string{state()}
	c.Advance(1000)
	got = append(got, state())
	if code, _ := post(t, url+"/v1/capacity/orders", platform.Order{OrderID: "o", Action: "stop", Server: "m1"}); code != 200 {
		t.Errorf("stop: %d", code)
	}
	got = append(got, state())
	c.Advance(1000)
	p.DeleteInstance("m1")
	got = append(got, state())
	c.Advance(1000)
	got = append(got, state())
	want := []string{"", "live", "live", "leaving", ""}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states seen (-want +got):\n%s", diff)
	}
}
