package contract

import (
	"sync"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/placement"
)

// Progress tracks the events of a run. It is safe for concurrent use.
type Progress struct {
	mu     sync.Mutex
	events int
	first  time.Time
	// times is a ring buffer of the arrival times of the newest events: event n is
	// at index n modulo its length.
	times [placement.MinSampleEvents]time.Time
}

// RecordEvent records an event that arrived at the time now.
func (p *Progress) RecordEvent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events == 0 {
		p.first = now
	}
	p.times[p.events%len(p.times)] = now
	p.events++
}

// PaceSample returns the pace of the run. If the time since the last event exceeds
// the recent pace, it counts as one more interval, so that a stalled run shows a
// slower pace. It returns false while there are too few events.
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
	if sinceLast := now.Sub(last); sinceLast > sample.Recent {
		sample.Recent = now.Sub(oldest) / time.Duration(count)
	}
	return sample, true
}

// Silence returns the time since the last event, and false while there is none.
func (p *Progress) Silence(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events == 0 {
		return 0, false
	}
	return now.Sub(p.times[(p.events-1)%len(p.times)]), true
}

// EventCount returns the number of events since the start of the run.
func (p *Progress) EventCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events
}

// TimeToFirstEvent returns the time from start to the first event, and zero while
// there is none.
func (p *Progress) TimeToFirstEvent(start time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events == 0 {
		return 0
	}
	return p.first.Sub(start)
}
