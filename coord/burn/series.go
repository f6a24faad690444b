// Package burn computes how fast a workspace uses up its error budget: the
// fraction of its requests that its objective allows to fail or to miss their
// deadline.
//
// Requests are counted per time slot in ring buffers, so that memory is bounded
// and the count of a window is a sum of slots.
package burn

import "time"

// Count is a number of requests.
type Count struct {
	// Good requests got a correct response within their deadline, Bad ones did
	// not.
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (c *Count) add(other Count) {
	c.Good += other.Good
	c.Bad += other.Bad
}

func (c Count) total() uint64 { return c.Good + c.Bad }

// Length and number of the slots of both rings.
const (
	fineSlotLength   = 10 * time.Second
	fineSlots        = 360
	coarseSlotLength = 10 * time.Minute
	coarseSlots      = 432
	// maxFineWindow is the longest window that the fine ring covers.
	maxFineWindow = fineSlotLength * (fineSlots - 1)
)

// Period is the time over which the error budget is counted.
const Period = coarseSlotLength * coarseSlots

// Series holds the request counts of one workspace and class over the last
// Period. The zero value is empty. It is not safe for concurrent use.
type Series struct {
	fine, coarse ring
}

// Add counts one request that finished now.
func (s *Series) Add(now time.Time, good bool) {
	count := Count{Bad: 1}
	if good {
		count = Count{Good: 1}
	}
	s.AddCount(now, count)
}

// AddCount counts several requests that finished at about the same time.
func (s *Series) AddCount(now time.Time, count Count) {
	s.fine.add(slotOf(now, fineSlotLength), fineSlots, count)
	s.coarse.add(slotOf(now, coarseSlotLength), coarseSlots, count)
}

// Sum returns the count of the window that ends now. The window is rounded up
// to whole slots.
func (s *Series) Sum(now time.Time, window time.Duration) Count {
	if window <= maxFineWindow {
		return s.fine.sum(slotOf(now, fineSlotLength), slotsIn(window, fineSlotLength), fineSlots)
	}
	return s.coarse.sum(slotOf(now, coarseSlotLength), slotsIn(window, coarseSlotLength), coarseSlots)
}

// slotOf returns the number of the slot that contains a time, counted from the
// Unix epoch.
func slotOf(at time.Time, slotLength time.Duration) int64 {
	return at.UnixNano() / int64(slotLength)
}

// slotsIn returns how many slots a window needs, rounded up.
func slotsIn(window, slotLength time.Duration) int64 {
	return int64((window + slotLength - 1) / slotLength)
}

// ring is a ring buffer of the counts of the newest slots.
type ring struct {
	counts []Count
	// newest is the number of the newest slot.
	newest int64
}

// add counts requests of a slot. Slots older than the ring are ignored.
func (r *ring) add(slot int64, slots int, count Count) {
	if r.counts == nil {
		r.counts = make([]Count, slots)
		r.newest = slot
	}
	if slot <= r.newest-int64(slots) {
		return
	}
	r.advance(slot)
	r.counts[slot%int64(slots)].add(count)
}

// advance makes slot the newest one unless a newer one exists, and clears the
// slots in between.
func (r *ring) advance(slot int64) {
	slots := int64(len(r.counts))
	if slot-r.newest >= slots {
		clear(r.counts)
		r.newest = slot
	}
	for r.newest < slot {
		r.newest++
		r.counts[r.newest%slots] = Count{}
	}
}

// sum returns the count of the window slots that end with slot now.
func (r *ring) sum(now, window int64, slots int) Count {
	var sum Count
	if r.counts == nil {
		return sum
	}
	oldest := max(now-window+1, r.newest-int64(slots)+1)
	for slot := oldest; slot <= min(now, r.newest); slot++ {
		sum.add(r.counts[slot%int64(slots)])
	}
	return sum
}
