package metrics

import (
	"bufio"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	prom "github.com/prometheus/client_golang/prometheus"
)

// Reading is the current value of a gauge that is read only when metrics are asked for. Name has no
// prefix; Label may be empty.
type Reading struct {
	Name, Label, LabelValue string
	Value                   float64
}

// Observe makes read give values at each scrape. It is meant for what costs too much to be read each
// second.
func (r *Root) Observe(read func() []Reading) { r.registry.MustRegister(observer(read)) }

// observer is an unchecked collector: which readings there are depends on the system.
type observer func() []Reading

// Describe implements prometheus.Collector.
func (observer) Describe(chan<- *prom.Desc) {}

// Collect implements prometheus.Collector.
func (o observer) Collect(ch chan<- prom.Metric) {
	for _, v := range o() {
		var labels prom.Labels
		if v.Label != "" {
			labels = prom.Labels{v.Label: v.LabelValue}
		}
		d := prom.NewDesc(metricPrefix+"_"+v.Name, v.Name+" gauge", nil, labels)
		ch <- prom.MustNewConstMetric(d, prom.GaugeValue, v.Value)
	}
}

// Memory is the memory of the process, in bytes.
type Memory struct {
	Resident int64 // VmRSS
	// Data is reserved for writing, stacks included (VmData), used or not.
	Data int64
}

// ProcessMemory returns the memory of the process as the kernel counts it.
func ProcessMemory() (Memory, error) {
	f, err := os.Open("/proc/self/status")
	if err != nil {
		return Memory{}, err
	}
	defer f.Close()
	var m Memory
	s := bufio.NewScanner(f)
	for s.Scan() {
		name, value, _ := strings.Cut(s.Text(), ":")
		to := map[string]*int64{"VmRSS": &m.Resident, "VmData": &m.Data}[name]
		if to == nil {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return Memory{}, errors.Wrap(err, name)
		}
		*to = kb << 10
	}
	if m.Resident == 0 {
		return Memory{}, errors.Errorf("/proc/self/status has no VmRSS")
	}
	return m, s.Err()
}
