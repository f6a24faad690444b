// Package burn tells how fast a workspace uses up its error budget: the part
// of its requests that its objective allows to be answered wrongly, late or
// not at all.
//
// Counts are kept by time slots in rings, so that memory is bounded and a
// window is a sum of slots.
package burn

import "time"

// Count is a number of requests.
type Count struct {
	// Good were answered correctly within their due time, Bad were not.
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (c *Count) add(other Count) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// total is the number of all requests.
func (c Count) total() uint64 { return c.Good + c.Bad }

const (
	fineSpan    = 10 * time.Second
	fineSlots   = 360
	coarseSpan  = 10 * time.Minute
	coarseSlots = 432
	// fineReach is the longest window that the fine slots span.
	fineReach = fineSpan * (fineSlots - 1)
)

// Period is the time over which the error budget is counted.
const Period = coarseSpan * coarseSlots

// Series holds the counts of one workspace and class. The zero value is empty.
// It is not safe for concurrent use.
type Series struct {
	fine, coarse ring
}

// Add counts a request.
func (s *Series) Add(now time.Time, good bool) {
	count := Count{Bad: 1}
	if good {
		count = Count{Good: 1}
	}
	s.AddCount(now, count)
}

// AddCount counts several requests that ended at about one time.
func (s *Series) AddCount(now time.Time, count Count) {
	s.fine.add(slotOf(now, fineSpan), fineSlots, count)
	s.coarse.add(slotOf(now, coarseSpan), coarseSlots, count)
}

// Sum sums the counts of the window that ends now. Windows are rounded up to
// whole slots.
func (s *Series) Sum(now time.Time, window time.Duration) Count {
	if window <= fineReach {
		return s.fine.sum(slotOf(now, fineSpan), slotsIn(window, fineSpan), fineSlots)
	}
	return s.coarse.sum(slotOf(now, coarseSpan), slotsIn(window, coarseSpan), coarseSlots)
}

func slotOf(at time.Time, span time.Duration) int64 { return at.UnixNano() / int64(span) }

func slotsIn(window, span time.Duration) int64 { return int64((window + span - 1) / span) }

// ring holds the counts of the newest slots.
type ring struct {
	counts []Count
	newest int64
}

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

// advance empties the slots that are passed over.
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
