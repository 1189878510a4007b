package logservice_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

// countedConn counts the bytes of TCP payload sent and received.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLog measures the bytes sent and received, HTTP headers included, per
// append and per read of 1, 10 and 100 records of 100 bytes.
func BenchmarkLog(b *testing.B) {
	srv := httptest.NewServer(platform.New(platform.Config{}).Handler())
	defer srv.Close()
	var bytes atomic.Int64
	tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countedConn{c, &bytes}, err
	}}
	defer tr.CloseIdleConnections()
	c := logservice.New(srv.URL, &http.Client{Transport: tr})
	record := []byte(fmt.Sprintf(`{"pad":%q}`, strings.Repeat("x", 90)))
	b.Run("append", func(b *testing.B) {
		bytes.Store(0)
		for b.Loop() {
			if _, err := c.Append(b.Context(), "bench", record); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/append")
	})
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("read/records=", n), func(b *testing.B) {
			bytes.Store(0)
			for b.Loop() {
				page, err := c.Read(b.Context(), "bench", 1, n, 0)
				if err != nil || len(page.Records) != n {
					b.Fatalf("got %d records, error %v", len(page.Records), err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/read")
		})
	}
}
