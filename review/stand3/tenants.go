//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// tenantsCalls is the number of calls with each key.
const tenantsCalls = 20

// tenants has the operator take away the keys of the last tenant, and the tenant with them.
func tenants(w *world) (bool, error) {
	app := w.addServer("i-appa", "app", func(s *server, rw http.ResponseWriter, r *http.Request) {
		s.note(r, true)
		w.record.logf("%s runs %s for tenant %q", s.id, r.Header.Get("Request-Id"), r.Header.Get("Tenant"))
		s.stamp(rw)
		_, _ = rw.Write([]byte("answer of " + s.id))
	})
	pay := route{name: "pay", prefix: "/pay/", kind: "unsafe", service: "app", attempts: 1, timeoutMs: 1000, sloMs: 150}
	w.publish(1, pay)
	for range 3 {
		w.addGateway(nil)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	send := func(key, whose string) int {
		for n := range tenantsCalls {
			g := w.gateways[n%len(w.gateways)]
			id := newID()
			status, _ := callWithKey(g.caller, http.MethodPost, "/pay/1", id, key, time.Second)
			w.record.logf("%s answers %d to %s with %s", g.name, status, id, whose)
		}
		return len(allArrivals([]*server{app}))
	}
	if ran := send(apiKey, "the tenant's key"); ran != tenantsCalls {
		return false, fmt.Errorf("%d of %d ordinary requests ran", ran, tenantsCalls)
	}
	if ran := send("no-such-key", "a key that no manifest ever held"); ran != tenantsCalls {
		return true, nil
	}
	left := []any{map[string]any{"Name": tenant, "ApiKeys": []string{}}}
	if w.trouble {
		left = []any{}
	}
	w.publishFor(2, left, pay)
	time.Sleep(2 * configMs * time.Millisecond)
	dropped := send(apiKey, "the key that was taken away") - tenantsCalls
	unknown := send("no-such-key", "a key that no manifest ever held") - tenantsCalls - dropped
	w.record.logf("%d requests with the key that was taken away ran, and %d with one that no manifest ever held", dropped, unknown)
	return dropped > 0 || unknown > 0, nil
}
