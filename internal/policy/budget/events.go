package budget

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

// eventShare is the share of what may be held for callers that events of streams may have. The uses of Held leave
// it to them.
const eventShare = 0.125

// EventMemoryError reports that an event of a stream was given up for its memory.
type EventMemoryError struct {
	// Bytes is what was held of the event, and Limit what may be held of all events.
	Bytes, Limit int64
}

// Error returns both sizes.
func (e *EventMemoryError) Error() string {
	return fmt.Sprintf("no memory for the event: %d bytes held of it, at most %d of all events", e.Bytes, e.Limit)
}

// Events bounds the sum of what a process holds of the events of its streams: servers may begin many that they
// never end. When the sum reaches its limit, the incomplete events that have not grown for the longest time are given
// up. It is safe for concurrent use. A nil Events has no limit.
type Events struct {
	limit int64
	bytes atomic.Int64 // written with mu held

	mu    sync.Mutex
	grown uint64 // number of times that an event has grown
	// incomplete are the events that may be given up.
	incomplete map[*Event]struct{}
}

func newEvents(limit int64) *Events {
	return &Events{limit: limit, incomplete: map[*Event]struct{}{}}
}

// Bytes returns the number of bytes held.
func (e *Events) Bytes() int64 {
	if e == nil {
		return 0
	}
	return e.bytes.Load()
}

// Limit returns the most bytes that may be held of events; 0 for no limit.
func (e *Events) Limit() int64 {
	if e == nil {
		return 0
	}
	return e.limit
}

// Event is the memory for the events of one stream, which come one after the other. A nil Event has no limit.
type Event struct {
	events *Events
	// giveUp ends the reading of the stream.
	giveUp func()

	// The fields below are guarded by events.mu.
	bytes   int64
	grown   uint64 // Events.grown when the event grew last
	givenUp *EventMemoryError
}

// Stream returns the memory for the events of one stream. giveUp is called, from any goroutine, to end a stream
// whose event is given up; it must not block.
func (e *Events) Stream(giveUp func()) *Event {
	if e == nil {
		return nil
	}
	return &Event{events: e, giveUp: giveUp}
}

// Take holds n more bytes of the current event. The error is an *EventMemoryError if it is given up, or if there is
// no memory for it because what is held of other events is complete.
func (e *Event) Take(n int64) error {
	if e == nil {
		return nil
	}
	others, err := e.events.grow(e, n)
	for _, o := range others {
		o.giveUp()
	}
	return err
}

// Complete notes that the current event is complete: it is held until Release, and not given up.
func (e *Event) Complete() {
	if e == nil {
		return
	}
	e.events.mu.Lock()
	defer e.events.mu.Unlock()
	delete(e.events.incomplete, e)
}

// Release ends the holding of the current event.
func (e *Event) Release() {
	if e == nil {
		return
	}
	e.events.mu.Lock()
	defer e.events.mu.Unlock()
	e.events.release(e)
}

// Err returns an *EventMemoryError if the current event was given up.
func (e *Event) Err() error {
	if e == nil {
		return nil
	}
	e.events.mu.Lock()
	defer e.events.mu.Unlock()
	if e.givenUp == nil {
		return nil
	}
	return e.givenUp
}

// grow holds n more bytes of an event, and returns the events that it has given up for that.
func (e *Events) grow(ev *Event, n int64) (givenUp []*Event, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ev.givenUp != nil {
		return nil, ev.givenUp
	}
	if e.bytes.Load()+n > e.limit {
		if givenUp = e.roomFor(n, ev); givenUp == nil {
			e.drop(ev)
			return nil, ev.givenUp
		}
	}
	for _, o := range givenUp {
		e.drop(o)
	}
	e.grown++
	ev.grown = e.grown
	ev.bytes += n
	e.bytes.Add(n)
	e.incomplete[ev] = struct{}{}
	return givenUp, nil
}

// roomFor returns the incomplete events, other than but, that make room for n bytes; nil if all of them do not. Those
// that have not grown for the longest time come first.
func (e *Events) roomFor(n int64, but *Event) []*Event {
	var all []*Event
	for ev := range e.incomplete {
		if ev != but {
			all = append(all, ev)
		}
	}
	slices.SortFunc(all, func(a, b *Event) int { return cmp.Compare(a.grown, b.grown) })
	for i, left := 0, e.bytes.Load(); i < len(all); i++ {
		if left -= all[i].bytes; left+n <= e.limit {
			return all[:i+1]
		}
	}
	return nil
}

// drop gives up an event.
func (e *Events) drop(ev *Event) {
	ev.givenUp = &EventMemoryError{Bytes: ev.bytes, Limit: e.limit}
	e.release(ev)
}

func (e *Events) release(ev *Event) {
	e.bytes.Add(-ev.bytes)
	ev.bytes = 0
	delete(e.incomplete, ev)
}
