package contract

import (
	"sync/atomic"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/placement"
)

// Progress is what a running item tells of itself. It is safe for concurrent
// use.
type Progress struct {
	events atomic.Int64
	first  atomic.Int64
	last   atomic.Int64
}

// Note records one more event at a time.
func (p *Progress) Note(now time.Time) {
	if p.events.Add(1) == 1 {
		p.first.Store(now.UnixNano())
	}
	p.last.Store(now.UnixNano())
}

// Pace is the time between the events so far, up to a time at which the next
// one has not come; false while there are too few.
func (p *Progress) Pace(now time.Time) (time.Duration, bool) {
	events := p.events.Load()
	if events < placement.EnoughEvents {
		return 0, false
	}
	first, last := time.Unix(0, p.first.Load()), time.Unix(0, p.last.Load())
	pace := last.Sub(first) / time.Duration(events-1)
	if silent := now.Sub(last); silent > pace {
		pace = now.Sub(first) / time.Duration(events)
	}
	return pace, true
}

// Events counts the events since the run began.
func (p *Progress) Events() int { return int(p.events.Load()) }
