package gateway

import (
	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/metrics"
)

// observeMemory reads the memory of the process and of its sockets. What the kernel does not tell is
// left out.
func (g *Gateway) observeMemory() []metrics.Reading {
	budget := g.buffers.Budget()
	out := []metrics.Reading{
		{Name: "socket_budget_bytes", Value: float64(budget.Bytes())},
		{Name: "socket_given_bytes", Value: float64(budget.Given())},
	}
	if held, err := g.buffers.Usage(); err == nil {
		for _, k := range socketbuffer.Kinds {
			out = append(out, metrics.Reading{Name: "socket_held_bytes", Label: "peer", LabelValue: k.String(), Value: float64(held[k])})
		}
	} else {
		g.log.WithField("event", "socketMemoryUnknown").Debug(err)
	}
	mem, err := metrics.ProcessMemory()
	if err != nil {
		g.log.WithField("event", "processMemoryUnknown").Debug(err)
		return out
	}
	return append(out, metrics.Reading{Name: "resident_bytes", Value: float64(mem.Resident)}, metrics.Reading{Name: "data_bytes", Value: float64(mem.Data)})
}
