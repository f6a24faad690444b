// Package intake decides how much a daemon may hold for clients, and which of them is
// refused or closed first when that is used up. It answers the load of clients that
// nobody controls: many large bodies at once that stop short of their end, heads and
// answers that are sent or read very slowly, and more connections than a host has
// descriptors. Ordinary callers hold little and move, so that they come through beside
// such a crowd; while nothing is used up, nobody meets a limit.
package intake

import (
	"slices"
	"time"
)

// Phase is what a connection is doing.
type Phase uint8

// The phases.
const (
	// Idle is a connection without a request.
	Idle Phase = iota
	// Receiving is a request that is still arriving. It has not run, so that it may be
	// refused.
	Receiving
	// Running is a request that may have been passed on. It ends by its deadline.
	Running
	// Answering is an answer that the client does not take at present.
	Answering
)

// Holder is a connection of a client.
type Holder struct {
	// Origin is the address of the client, without the port.
	Origin string
	Phase  Phase
	// Held is the number of bytes that are held for it.
	Held int64
	// Still is how long it has not moved: the time since it last took as much as it had
	// claimed, or since an idle connection was opened or last served.
	Still time.Duration
	// Served is set once the connection has carried a request.
	Served bool
}

// Budget is how much may be held for all clients together.
type Budget struct {
	// Bytes is the size of all holdings, and Connections and Requests are the numbers of
	// connections and of requests in progress.
	Bytes       int64
	Connections int
	Requests    int
	// Work is the memory of accepted batch jobs, in bytes. No more are accepted beyond it;
	// those that are taken over from other daemons are held nevertheless.
	Work int64
	// StalledAfter is how long a client that holds much may not move when others need
	// the room.
	StalledAfter time.Duration
}

const (
	// SmallHolding is what an ordinary request needs at the most, in bytes.
	SmallHolding = 128 << 10
	// largePart is the part of the budget for holdings beyond SmallHolding. The rest
	// is left to ordinary requests while large ones run, which nobody may end.
	largePart = 0.75
)

// Admits reports whether a client that holds some bytes may hold more, where sum is what
// all hold together.
func (b Budget) Admits(held, more, sum int64) bool {
	limit := b.Bytes
	if held+more > SmallHolding {
		limit = int64(largePart * float64(b.Bytes))
	}
	return sum+more <= limit
}

// AdmitsWork reports whether further work may be accepted, where held is that of the jobs
// accepted before.
func (b Budget) AdmitsWork(held, more int64) bool { return held+more <= b.Work }

// BytesFrom returns the indices of the holders to end, so that claimer can hold more
// bytes. It ends stalled ones until they free enough, those that hold most and have moved
// least before others. If none has stalled, the claimer itself is refused when it holds
// more than an equal share; otherwise the largest request that is arriving ends. Without
// a result the claimer has to wait for those that run.
func (b Budget) BytesFrom(holders []Holder, claimer int, more int64) []int {
	var stalled []int
	for i, h := range holders {
		if (h.Phase == Receiving || h.Phase == Answering) && h.Still >= b.StalledAfter && h.Held > 0 && i != claimer {
			stalled = append(stalled, i)
		}
	}
	if len(stalled) > 0 {
		return b.worst(holders, stalled, more)
	}
	return b.largestArriving(holders, claimer, more)
}

// worst returns those of the candidates that end first, until they hold enough. Those of
// an address that holds more than half of all come before others.
func (b Budget) worst(holders []Holder, candidates []int, enough int64) []int {
	dominant := dominantOrigin(holders)
	weight := func(i int) float64 { return float64(holders[i].Held) * holders[i].Still.Seconds() }
	slices.SortFunc(candidates, func(i, j int) int {
		if first, second := holders[i].Origin == dominant, holders[j].Origin == dominant; first != second {
			return before(first)
		}
		return before(weight(i) > weight(j))
	})
	var freed int64
	for count, i := range candidates {
		if freed += holders[i].Held; freed >= enough {
			return candidates[:count+1]
		}
	}
	return candidates
}

func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// largestArriving returns the largest request that is arriving, if it holds more than an
// equal share, or else the claimer if that does.
func (b Budget) largestArriving(holders []Holder, claimer int, more int64) []int {
	arriving, largest := 0, -1
	for i, h := range holders {
		if h.Phase != Receiving {
			continue
		}
		arriving++
		if i != claimer && (largest < 0 || h.Held > holders[largest].Held) {
			largest = i
		}
	}
	share := b.Bytes / int64(max(1, arriving))
	if holders[claimer].Held+more > max(share, SmallHolding) {
		return []int{claimer}
	}
	if largest >= 0 && holders[largest].Held > max(share, SmallHolding) {
		return []int{largest}
	}
	return nil
}

// ConnectionFrom returns the index of the connection to close, so that another can be
// opened. Idle connections that have never carried a request end before those that have,
// and these before requests that have stalled while they arrived, in each case the one
// that has not moved for longest. It returns -1 if there is none.
func (b Budget) ConnectionFrom(holders []Holder) int {
	const notClosed = 3
	rank := func(h Holder) int {
		switch {
		case h.Phase == Idle && !h.Served:
			return 0
		case h.Phase == Idle:
			return 1
		case (h.Phase == Receiving || h.Phase == Answering) && h.Still >= b.StalledAfter:
			return 2
		}
		return notClosed
	}
	dominant := dominantConnections(holders)
	best := -1
	for i, h := range holders {
		switch {
		case rank(h) == notClosed:
		case best < 0:
			best = i
		default:
			chosen := holders[best]
			if first, second := h.Origin == dominant, chosen.Origin == dominant; first != second {
				if first {
					best = i
				}
			} else if rank(h) < rank(chosen) || rank(h) == rank(chosen) && h.Still > chosen.Still {
				best = i
			}
		}
	}
	return best
}

// dominantOrigin returns the address whose clients hold more than half of all bytes.
func dominantOrigin(holders []Holder) string {
	return dominant(holders, func(h Holder) int64 { return h.Held })
}

// dominantConnections returns the address that has more than half of all connections.
func dominantConnections(holders []Holder) string {
	return dominant(holders, func(Holder) int64 { return 1 })
}

func dominant(holders []Holder, size func(Holder) int64) string {
	sizes := make(map[string]int64)
	var sum int64
	for _, h := range holders {
		sizes[h.Origin] += size(h)
		sum += size(h)
	}
	for origin, own := range sizes {
		if 2*own > sum {
			return origin
		}
	}
	return ""
}
