package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Engine is the state of a model engine as a daemon sees it when it places an
// item.
type Engine struct {
	Server catalog.Server
	// Version is the newest version of the model of the item that the engine is
	// known to run.
	Version structs.WeightVersion
	// LocalItems is the number of items that this daemon runs on the engine.
	LocalItems int
	// OtherItems is the number of items that other daemons reported to run on it.
	OtherItems int
	// Connections is the number of connections that this daemon is likely to have open to
	// the engine, in use or idle.
	Connections int
	// IsForeign is set if the engine takes the items of another model first.
	IsForeign bool
	// Pace is the expected time between the events of a run that starts now,
	// and BestPace the shortest mean time of a run so far; zero means unknown.
	Pace     time.Duration
	BestPace time.Duration
	// RTT is the round-trip time to the engine.
	RTT time.Duration
	// Memory is the engine's memory for tokens.
	Memory TokenMemory
	// Preempts is set for a while after the engine preempted a run: it has too many.
	Preempts bool
	// Blocked is set for a while after the engine refused an item.
	Blocked bool
}

const (
	// DefaultPace is assumed for all engines while the pace of none is known.
	// It is about the time of 71 tokens at half a millisecond each.
	DefaultPace = 40 * time.Millisecond
	// occupancyPenalty is the relative increase of the cost of a full engine,
	// which spreads items over engines of equal pace.
	occupancyPenalty = 0.5
	// foreignPenalty is the relative increase of the cost of a foreign engine, which is
	// left to the items of its own model while there are others.
	foreignPenalty = 0.5
	// crowdedPenalty is the relative increase of the cost of an engine without free slots:
	// an item waits there for about the time that it runs.
	crowdedPenalty = 1.0
	// connectPenalty is the relative increase of the cost of an engine to which the next
	// item needs a new connection: engines take a limited number.
	connectPenalty = 0.3
	// unknownPenalty takes the place of connectPenalty at an engine of unknown pace. It is
	// lower, as one that has just started would otherwise stay without items.
	unknownPenalty = 0.1
	// tieBreakSpread is the relative range of the factors by which the costs of
	// engines differ between daemons, so that not all daemons start with the
	// same one of several equal engines.
	tieBreakSpread = 0.03
	// maxExamined bounds the engines of a group that are examined for one item.
	maxExamined = 64
)

// isConnected reports whether the next item needs no new connection.
func (e *Engine) isConnected() bool { return e.LocalItems < e.Connections }

// isFull reports whether this daemon runs as many items on the engine as it has slots.
func (e *Engine) isFull() bool { return e.LocalItems >= e.Server.Slots }

// isCrowded reports whether the slots have items of this daemon and others, or the engine
// shows that these are too many.
func (e *Engine) isCrowded() bool {
	return e.Preempts || e.LocalItems+e.OtherItems >= e.Server.Slots
}

// occupancy returns the items on the engine for each of its slots.
func (e *Engine) occupancy() float64 {
	return float64(e.LocalItems+e.OtherItems) / float64(e.Server.Slots)
}

// TakesNow reports whether the engine should get an item now. A crowded foreign one should
// not: the item would wait longer there than at its owner, who still has the choice. An
// engine that is not foreign takes items whatever else runs there: owners that see each end
// of their own runs first would otherwise keep all slots. For pressing items no engine is
// foreign, as an engine admits them before less urgent ones.
func (e *Engine) TakesNow() bool { return !e.IsForeign || !e.isCrowded() }

// MeanBestPace returns the mean of the known best paces, or DefaultPace when
// none is known.
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

// EngineSelector selects engines for the items of a model that are placed
// together. It keeps the engines in one heap for each round-trip time, software version and
// whether a connection is idle, so that Select examines a few engines only, however many
// there are.
type EngineSelector struct {
	// StepEnd is the expected time until the step of the items is whole. An item that ends
	// well before that goes where a connection is idle, if its own model's engines have one,
	// rather than where it ends soonest. Zero means that each item has to end soon.
	StepEnd      time.Duration
	engines      []Engine
	fallbackPace time.Duration
	salts        []float64
	groups       []engineGroup
}

// engineGroup is a min-heap of the engines with one round-trip time and software
// version that need a new connection for the next item, or do not, ordered by the cost of an
// event.
type engineGroup struct {
	rtt         time.Duration
	software    structs.SoftwareVersion
	isConnected bool
	heap        []int32
}

// holds reports whether an engine belongs to the group.
func (g *engineGroup) holds(engine *Engine) bool {
	return g.rtt == engine.RTT && g.software == engine.Server.Software && g.isConnected == engine.isConnected()
}

// NewEngineSelector returns a selector among the engines that run oldestVersion or
// a newer version and can take an item. The salt should differ between daemons.
// The selector updates LocalItems in the given slice.
func NewEngineSelector(engines []Engine, oldestVersion structs.WeightVersion, salt uint64) *EngineSelector {
	s := &EngineSelector{engines: engines, fallbackPace: MeanBestPace(engines), salts: make([]float64, len(engines))}
	for i := range engines {
		engine := &engines[i]
		if engine.Blocked || engine.isFull() || engine.Version < oldestVersion {
			continue
		}
		s.salts[i] = 1 + tieBreakSpread*fraction(xxhash.Sum64String(string(engine.Server.ID))^salt)
		group := s.groupOf(engine)
		group.heap = append(group.heap, int32(i))
	}
	for g := range s.groups {
		heap := s.groups[g].heap
		for at := len(heap)/2 - 1; at >= 0; at-- {
			s.siftDown(heap, at)
		}
	}
	return s
}

// groupOf returns the group of an engine.
func (s *EngineSelector) groupOf(engine *Engine) *engineGroup {
	at := slices.IndexFunc(s.groups, func(group engineGroup) bool { return group.holds(engine) })
	if at < 0 {
		at = len(s.groups)
		s.groups = append(s.groups, engineGroup{rtt: engine.RTT, software: engine.Server.Software, isConnected: engine.isConnected()})
	}
	return &s.groups[at]
}

// rendezvousHash returns the rank of a model at a server among other models.
func rendezvousHash(server structs.HostName, model structs.ServiceName) uint64 {
	return xxhash.Sum64String(string(server) + string(model))
}

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// FallbackPace returns the pace that is assumed for engines of unknown pace.
func (s *EngineSelector) FallbackPace() time.Duration { return s.fallbackPace }

// Engine returns the engine with an index.
func (s *EngineSelector) Engine(index int) *Engine { return &s.engines[index] }

// PaceOf returns the pace of an engine, or the fallback pace when it is
// unknown.
func (s *EngineSelector) PaceOf(index int) time.Duration {
	if pace := s.engines[index].Pace; pace > 0 {
		return pace
	}
	return s.fallbackPace
}

// eventCost returns the cost of an event on an engine, in nanoseconds.
func (s *EngineSelector) eventCost(index int32) float64 {
	engine := &s.engines[index]
	penalty := occupancyPenalty * engine.occupancy()
	if engine.IsForeign {
		penalty += foreignPenalty
	}
	if engine.isCrowded() {
		penalty += crowdedPenalty
	}
	switch {
	case engine.isConnected():
	case engine.Pace > 0:
		penalty += connectPenalty
	default:
		penalty += unknownPenalty
	}
	return float64(s.PaceOf(int(index))) * s.salts[index] * (1 + penalty)
}

// Select returns the index of the engine on which an item with the given number
// of events is expected to finish first. It skips the servers in avoid and those that
// may not continue the item's text from a position, and returns false when no engine can
// take the item.
func (s *EngineSelector) Select(events int, avoid []structs.HostName, position resume.Position) (int, bool) {
	return s.search(events, 0, avoid, position)
}

// SelectFitting is Select among the engines with memory for an item that is expected to need
// some tokens. If none of them takes the item now, the memory does not count: expectations may
// be wrong, and an engine admits what it can.
func (s *EngineSelector) SelectFitting(events, tokens int, avoid []structs.HostName, position resume.Position) (int, bool) {
	if choice, ok := s.search(events, tokens, avoid, position); ok && s.engines[choice].TakesNow() {
		return choice, true
	}
	return s.search(events, 0, avoid, position)
}

func (s *EngineSelector) search(events, tokens int, avoid []structs.HostName, position resume.Position) (int, bool) {
	best, bestCost := -1, 0.0
	connected, connectedCost := -1, 0.0
	for g := range s.groups {
		// All engines of a group give the same answer unless the software is unknown.
		group := &s.groups[g]
		if group.software != "" && len(group.heap) > 0 && !position.ContinuesAt(s.engines[group.heap[0]].Server) {
			continue
		}
		index, ok := s.cheapest(group, tokens, avoid)
		if ok && group.software == "" && !position.ContinuesAt(s.engines[index].Server) {
			index, ok = s.sameProcess(group, tokens, avoid, position)
		}
		if !ok {
			continue
		}
		cost := s.eventCost(index)*float64(max(1, events)) + float64(s.groups[g].rtt)
		if best < 0 || cost < bestCost {
			best, bestCost = int(index), cost
		}
		if group.isConnected && (connected < 0 || cost < connectedCost) {
			connected, connectedCost = int(index), cost
		}
	}
	if connected >= 0 && connected != best && s.endsInTime(connected, events) {
		return connected, true
	}
	return best, best >= 0
}

// endsInTime reports whether an item with a number of events is expected to end on an engine
// well before its step, without taking the slot of another item.
func (s *EngineSelector) endsInTime(index, events int) bool {
	engine := &s.engines[index]
	if engine.IsForeign || engine.isCrowded() {
		return false
	}
	pace := float64(s.PaceOf(index)) * (1 + occupancyPenalty*engine.occupancy())
	finish := pace*float64(max(1, events)) + float64(engine.RTT)
	return lengthMargin*finish <= float64(s.StepEnd)
}

// sameProcess returns the engine of a group of unknown software that generated a text.
func (s *EngineSelector) sameProcess(group *engineGroup, tokens int, avoid []structs.HostName, position resume.Position) (int32, bool) {
	at := slices.IndexFunc(group.heap, func(index int32) bool {
		return position.ContinuesAt(s.engines[index].Server) && !s.isAvoided(index, tokens, avoid)
	})
	if at < 0 {
		return 0, false
	}
	return group.heap[at], true
}

// cheapest returns the engine of a group with the lowest cost that is not to be
// avoided and has memory for a number of tokens.
func (s *EngineSelector) cheapest(group *engineGroup, tokens int, avoid []structs.HostName) (int32, bool) {
	if len(group.heap) == 0 {
		return 0, false
	}
	if !s.isAvoided(group.heap[0], tokens, avoid) {
		return group.heap[0], true
	}
	// The few engines to avoid, and those whose memory is taken, are near the top of the
	// heap. The search visits nodes in the order of their costs until one is acceptable.
	var buffer [16]int
	frontier := append(buffer[:0], 0)
	for range maxExamined {
		if len(frontier) == 0 {
			break
		}
		least := 0
		for i := range frontier {
			if s.eventCost(group.heap[frontier[i]]) < s.eventCost(group.heap[frontier[least]]) {
				least = i
			}
		}
		at := frontier[least]
		if !s.isAvoided(group.heap[at], tokens, avoid) {
			return group.heap[at], true
		}
		frontier = slices.Delete(frontier, least, least+1)
		for child := 2*at + 1; child <= 2*at+2 && child < len(group.heap); child++ {
			frontier = append(frontier, child)
		}
	}
	return 0, false
}

func (s *EngineSelector) isAvoided(index int32, tokens int, avoid []structs.HostName) bool {
	engine := &s.engines[index]
	return tokens > 0 && !engine.Memory.Fits(tokens) || len(avoid) > 0 && slices.Contains(avoid, engine.Server.ID)
}

// Assign counts an item on an engine that Select returned.
func (s *EngineSelector) Assign(index int) { s.AssignTokens(index, 0) }

// AssignTokens is Assign for an item that is expected to need some tokens.
func (s *EngineSelector) AssignTokens(index, tokens int) {
	engine := &s.engines[index]
	engine.Memory.Expected += tokens
	group := s.groupOf(engine)
	at := slices.Index(group.heap, int32(index))
	engine.LocalItems++
	if at < 0 {
		return
	}
	if group.holds(engine) && !engine.isFull() {
		s.siftDown(group.heap, at)
		return
	}
	s.remove(group, at)
	if engine.isFull() {
		return
	}
	group = s.groupOf(engine)
	group.heap = append(group.heap, int32(index))
	s.siftUp(group.heap, len(group.heap)-1)
}

// remove takes an engine out of its group.
func (s *EngineSelector) remove(group *engineGroup, at int) {
	last := len(group.heap) - 1
	group.heap[at] = group.heap[last]
	group.heap = group.heap[:last]
	if at < last {
		s.siftUp(group.heap, at)
		s.siftDown(group.heap, at)
	}
}

func (s *EngineSelector) siftDown(heap []int32, at int) {
	for {
		least, leastCost := at, s.eventCost(heap[at])
		for child := 2*at + 1; child <= 2*at+2 && child < len(heap); child++ {
			if cost := s.eventCost(heap[child]); cost < leastCost {
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

func (s *EngineSelector) siftUp(heap []int32, at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if s.eventCost(heap[parent]) <= s.eventCost(heap[at]) {
			return
		}
		heap[at], heap[parent] = heap[parent], heap[at]
		at = parent
	}
}
