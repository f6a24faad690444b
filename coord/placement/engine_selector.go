package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Engine is what a daemon knows of a model engine when it places an item.
type Engine struct {
	Server catalog.Server
	// Version is the newest version of the item's model that the engine is
	// known to run.
	Version structs.WeightVersion
	// LocalItems counts the items that this daemon runs there.
	LocalItems int
	// Pace is the time between the events of a run that begins now, and BestPace the
	// shortest one seen; zero is unknown.
	Pace     time.Duration
	BestPace time.Duration
	// RTT is the round trip to the engine.
	RTT time.Duration
	// Blocked engines refused an item a moment ago.
	Blocked bool
}

const (
	// DefaultPace is the time between events as long as no engine's is known: 71
	// tokens at half a millisecond each.
	DefaultPace = 40 * time.Millisecond
	// crowding is the part by which a run takes longer in the reckoning for a
	// full engine, so that items spread over engines of equal pace.
	crowding = 0.5
	// salting is the part by which paces differ in the reckoning of different
	// daemons, so that they do not all begin with the same one of equal engines.
	salting = 0.03
)

// MeanBestPace is the mean of the known best paces, or DefaultPace when there is none.
func MeanBestPace(engines []Engine) time.Duration {
	sum, known := time.Duration(0), 0
	for i := range engines {
		if engines[i].BestPace > 0 {
			sum += engines[i].BestPace
			known++
		}
	}
	if known == 0 {
		return DefaultPace
	}
	return sum / time.Duration(known)
}

// EngineSelector offers the engines that can take items of a model, for the items of one
// turn. It finds the best engine in a time that grows with the logarithm of their
// number.
type EngineSelector struct {
	engines []Engine
	usual   time.Duration
	salts   []float64
	lanes   []lane
}

// lane is a heap of the engines at one distance, of which the first has the
// shortest cost for each event.
type lane struct {
	distance time.Duration
	heap     []int32
}

// NewEngineSelector returns a board of the engines that run a version or a newer one. The
// salt is the daemon's own. The board counts items in the slice it is given.
func NewEngineSelector(engines []Engine, oldest structs.WeightVersion, salt uint64) *EngineSelector {
	b := &EngineSelector{engines: engines, usual: MeanBestPace(engines), salts: make([]float64, len(engines))}
	for i := range engines {
		engine := &engines[i]
		if engine.Blocked || engine.LocalItems >= engine.Server.Slots || engine.Version < oldest {
			continue
		}
		b.salts[i] = 1 + salting*fraction(xxhash.Sum64String(string(engine.Server.ID))^salt)
		at := slices.IndexFunc(b.lanes, func(l lane) bool { return l.distance == engine.RTT })
		if at < 0 {
			at = len(b.lanes)
			b.lanes = append(b.lanes, lane{distance: engine.RTT})
		}
		b.lanes[at].heap = append(b.lanes[at].heap, int32(i))
	}
	for l := range b.lanes {
		heap := b.lanes[l].heap
		for at := len(heap)/2 - 1; at >= 0; at-- {
			b.down(heap, at)
		}
	}
	return b
}

// fraction maps a hash to a number from 0 up to 1.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// FallbackPace returns the pace that is taken for engines of unknown pace.
func (b *EngineSelector) FallbackPace() time.Duration { return b.usual }

// Engine returns an engine by its index.
func (b *EngineSelector) Engine(index int) *Engine { return &b.engines[index] }

// PaceOf returns the pace that is taken for an engine.
func (b *EngineSelector) PaceOf(index int) time.Duration {
	if pace := b.engines[index].Pace; pace > 0 {
		return pace
	}
	return b.usual
}

// eventCost is the time that an event takes in the reckoning.
func (b *EngineSelector) eventCost(index int32) float64 {
	engine := &b.engines[index]
	full := float64(engine.LocalItems) / float64(engine.Server.Slots)
	return float64(b.PaceOf(int(index))) * b.salts[index] * (1 + crowding*full)
}

// Select returns the engine on which an item of so many events ends soonest, and
// false when none can take it now. Engines to avoid are passed over.
func (b *EngineSelector) Select(events int, avoid []structs.HostName) (int, bool) {
	best, bestCost := -1, 0.0
	for l := range b.lanes {
		index, ok := b.first(&b.lanes[l], avoid)
		if !ok {
			continue
		}
		cost := b.eventCost(index)*float64(max(1, events)) + float64(b.lanes[l].distance)
		if best < 0 || cost < bestCost {
			best, bestCost = int(index), cost
		}
	}
	return best, best >= 0
}

// first returns the best engine of a lane that is not to be avoided.
func (b *EngineSelector) first(l *lane, avoid []structs.HostName) (int32, bool) {
	if len(l.heap) == 0 {
		return 0, false
	}
	if !b.isAvoided(l.heap[0], avoid) {
		return l.heap[0], true
	}
	// The few engines to avoid are near the top of the heap: its nodes are tried
	// in the order of their costs until one will do.
	var room [16]int
	open := append(room[:0], 0)
	for len(open) > 0 {
		least := 0
		for i := range open {
			if b.eventCost(l.heap[open[i]]) < b.eventCost(l.heap[open[least]]) {
				least = i
			}
		}
		at := open[least]
		if !b.isAvoided(l.heap[at], avoid) {
			return l.heap[at], true
		}
		open = slices.Delete(open, least, least+1)
		for child := 2*at + 1; child <= 2*at+2 && child < len(l.heap); child++ {
			open = append(open, child)
		}
	}
	return 0, false
}

func (b *EngineSelector) isAvoided(index int32, avoid []structs.HostName) bool {
	return len(avoid) > 0 && slices.Contains(avoid, b.engines[index].Server.ID)
}

// Assign counts an item at an engine that Select returned.
func (b *EngineSelector) Assign(index int) {
	engine := &b.engines[index]
	engine.LocalItems++
	for l := range b.lanes {
		lane := &b.lanes[l]
		if lane.distance != engine.RTT {
			continue
		}
		at := slices.Index(lane.heap, int32(index))
		if at < 0 {
			return
		}
		if engine.LocalItems >= engine.Server.Slots {
			last := len(lane.heap) - 1
			lane.heap[at] = lane.heap[last]
			lane.heap = lane.heap[:last]
			if at == last {
				return
			}
			b.up(lane.heap, at)
		}
		b.down(lane.heap, at)
		return
	}
}

func (b *EngineSelector) down(heap []int32, at int) {
	for {
		least, leastCost := at, b.eventCost(heap[at])
		for child := 2*at + 1; child <= 2*at+2 && child < len(heap); child++ {
			if cost := b.eventCost(heap[child]); cost < leastCost {
				least, leastCost = child, cost
			}
		}
		if least == at {
			return
		}
		heap[at], heap[least] = heap[least], heap[at]
		at = least
	}
}

func (b *EngineSelector) up(heap []int32, at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if b.eventCost(heap[parent]) <= b.eventCost(heap[at]) {
			return
		}
		heap[at], heap[parent] = heap[parent], heap[at]
		at = parent
	}
}
