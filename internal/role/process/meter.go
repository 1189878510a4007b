package process

import "sync"

// meter counts what a backend server generated, by client account.
type meter struct {
	mu     sync.Mutex
	totals map[string]figures
}

type figures struct {
	requests     int64
	promptTokens int64
	outputTokens int64
}

func newMeter() *meter { return &meter{totals: map[string]figures{}} }

// Add counts one attempt.
func (m *meter) Add(account string, promptTokens, outputTokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.totals[account]
	f.requests++
	f.promptTokens += int64(promptTokens)
	f.outputTokens += int64(outputTokens)
	m.totals[account] = f
}
