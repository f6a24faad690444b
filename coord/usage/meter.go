package usage

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Counts holds how many requests of each workspace began to run.
type Counts map[structs.WorkspaceName]int64

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for workspace, count := range other {
		c[workspace] += count
	}
}

const (
	// slotLength is the resolution of the times at which requests began.
	slotLength = 10 * time.Millisecond
	// maxSlots bounds the memory of a meter. When it is exceeded the older half of the
	// time is forgotten.
	maxSlots = 50_000
)

// Start is a number of requests of a workspace that began at about the same time. At is
// since boot.
type Start struct {
	At        time.Duration
	Workspace structs.WorkspaceName
	Count     int64
}

// Meter counts the requests that began to run by their time since boot, so that the
// windows can be cut when they are read: the clock of the host may have been wrong. It is
// not safe for concurrent use.
type Meter struct {
	keep   time.Duration
	newest int64
	slots  map[slotKey]int64
}

type slotKey struct {
	slot      int64
	workspace structs.WorkspaceName
}

// NewMeter returns an empty meter that keeps counts for a time.
func NewMeter(keep time.Duration) *Meter {
	return &Meter{keep: keep, slots: make(map[slotKey]int64)}
}

// Add counts requests.
func (m *Meter) Add(start Start) {
	key := slotKey{int64(start.At / slotLength), start.Workspace}
	m.newest = max(m.newest, key.slot)
	m.slots[key] += start.Count
	if len(m.slots) > maxSlots {
		m.forget(m.newest - int64(m.keep/slotLength))
	}
	if len(m.slots) > maxSlots {
		m.forget(m.newest - int64(m.keep/slotLength)/2)
	}
}

// Sum returns the counts of the time from a moment to another one, without the latter.
func (m *Meter) Sum(from, to time.Duration) Counts {
	m.forget(m.newest - int64(m.keep/slotLength))
	counts := make(Counts)
	for key, count := range m.slots {
		if at := time.Duration(key.slot) * slotLength; at >= from && at < to {
			counts[key.workspace] += count
		}
	}
	return counts
}

// TakeAll returns everything that the meter holds and empties it.
func (m *Meter) TakeAll() []Start {
	starts := make([]Start, 0, len(m.slots))
	for key, count := range m.slots {
		starts = append(starts, Start{At: time.Duration(key.slot) * slotLength, Workspace: key.workspace, Count: count})
	}
	clear(m.slots)
	return starts
}

// forget removes the slots before a number.
func (m *Meter) forget(before int64) {
	for key := range m.slots {
		if key.slot < before {
			delete(m.slots, key)
		}
	}
}
