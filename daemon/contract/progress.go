package contract

import (
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/placement"
)

// Progress is what a running item tells of itself. It is safe for concurrent
// use.
type Progress struct {
	mu     sync.Mutex
	events int
	first  time.Time
	// times holds when the newest events came, the event n at n modulo its length.
	times [placement.MinSampleEvents]time.Time
}

// RecordEvent records one more event at a time.
func (p *Progress) RecordEvent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events == 0 {
		p.first = now
	}
	p.times[p.events%len(p.times)] = now
	p.events++
}

// PaceSample is the pace of the run, up to a time at which the next event has not
// come; false while there are too few events.
func (p *Progress) PaceSample(now time.Time) (placement.PaceSample, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := len(p.times)
	if p.events < count {
		return placement.PaceSample{Events: p.events}, false
	}
	oldest, last := p.times[p.events%count], p.times[(p.events-1)%count]
	sample := placement.PaceSample{
		Recent: last.Sub(oldest) / time.Duration(count-1),
		Mean:   last.Sub(p.first) / time.Duration(p.events-1),
		Events: p.events,
	}
	if silent := now.Sub(last); silent > sample.Recent {
		sample.Recent = now.Sub(oldest) / time.Duration(count)
	}
	return sample, true
}

// EventCount counts the events since the run began.
func (p *Progress) EventCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events
}

// TimeToFirstEvent is how long after a time the first event came, and zero while none
// has.
func (p *Progress) TimeToFirstEvent(begun time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events == 0 {
		return 0
	}
	return p.first.Sub(begun)
}
