package membership_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/damaskport/damaskport/internal/platform/membership"
)

// BenchmarkList measures the size of the list in bytes and the time to read it, by
// the number of instances.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{100, 1000, 4960} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			var list membership.List
			for i := range n {
				list.Instances = append(list.Instances, membership.Instance{
					Name: fmt.Sprintf("assistant-%04d", i), Role: membership.RoleBackend, Pool: fmt.Sprint("pool-", i%16), Zone: fmt.Sprint("zone-", i%7),
					Address: fmt.Sprintf("10.%d.%d.%d:9000", i/65536, i/256%256, i%256), State: membership.StateLive, StartedMs: 1_796_000_000_000,
				})
			}
			data, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
			defer srv.Close()
			c := membership.New(srv.URL, srv.Client())
			for b.Loop() {
				got, err := c.List(b.Context())
				if err != nil || len(got.Instances) != n {
					b.Fatalf("got %d instances, error %v", len(got.Instances), err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
