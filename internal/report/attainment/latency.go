package attainment

import (
	"encoding/json"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyUs = 3_600_000_000
	digits       = 3
)

// Latency is a distribution of times, from a high dynamic range histogram of
// microseconds.
type Latency struct {
	h *hdrhistogram.Histogram
}

// latencyJSON is Latency in JSON: a few quantiles and the encoded histogram.
type latencyJSON struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"meanMs"`
	P50Ms  float64 `json:"p50Ms"`
	P95Ms  float64 `json:"p95Ms"`
	P99Ms  float64 `json:"p99Ms"`
	MaxMs  float64 `json:"maxMs"`
	// Histogram is in the compressed V2 encoding, in base64.
	Histogram string `json:"histogram"`
}

func newLatency() Latency {
	return Latency{hdrhistogram.New(1, maxLatencyUs, digits)}
}

func (l Latency) record(us int64) {
	_ = l.h.RecordValue(max(1, min(us, maxLatencyUs)))
}

// Count returns the number of times recorded.
func (l Latency) Count() int64 {
	if l.h == nil {
		return 0
	}
	return l.h.TotalCount()
}

// Ms returns the quantile q, in percent, in milliseconds.
func (l Latency) Ms(q float64) float64 {
	if l.h == nil {
		return 0
	}
	return float64(l.h.ValueAtQuantile(q)) / 1000
}

// MarshalJSON encodes quantiles and the histogram.
func (l Latency) MarshalJSON() ([]byte, error) {
	if l.h == nil {
		return json.Marshal(latencyJSON{})
	}
	encoded, err := l.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(latencyJSON{
		Count:     l.h.TotalCount(),
		MeanMs:    l.h.Mean() / 1000,
		P50Ms:     l.Ms(50),
		P95Ms:     l.Ms(95),
		P99Ms:     l.Ms(99),
		MaxMs:     float64(l.h.Max()) / 1000,
		Histogram: string(encoded),
	})
}

// UnmarshalJSON decodes the histogram.
func (l *Latency) UnmarshalJSON(data []byte) error {
	var v latencyJSON
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	if v.Histogram == "" {
		*l = Latency{}
		return nil
	}
	h, err := hdrhistogram.Decode([]byte(v.Histogram))
	l.h = h
	return err
}
