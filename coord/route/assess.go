package route

import (
	"cmp"
	"slices"
)

// Objection is why a server does not get a request.
type Objection uint8

// The objections.
const (
	NoObjection Objection = iota
	// OldWeights means that the server runs an older weight version than required.
	OldWeights
	// OtherSoftware means that the server cannot continue the stream.
	OtherSoftware
	// Ejected means that the server is ejected, or gets only a part of its traffic.
	Ejected
	// AtLimit means that the server has as many requests of this daemon as it may have.
	AtLimit
	// AlreadyTried means that the server has been tried for the request.
	AlreadyTried
	// Farther means that a nearer tier has a server for the request.
	Farther
	// MoreLoaded means that other servers of the tier have fewer requests.
	MoreLoaded
)

var objectionTexts = [...]string{
	"", "runs an older weight version", "cannot continue the stream", "ejected after failures, or just back", "at its limit of requests in flight",
	"was tried already", "nearer servers have room", "others have fewer requests",
}

// String returns the objection as a text for operators; empty for none.
func (o Objection) String() string { return objectionTexts[o] }

// Assessment is how a server was judged for a request.
type Assessment struct {
	// Server and Tier are indices into the table.
	Server, Tier int
	// Chance is the part of equal requests that would get the server.
	Chance float64
	// Objection is why the server has no chance.
	Objection Objection
	Load      int
	IsFull    bool
}

// assessmentDraws is the number of choices from which chances are estimated.
const assessmentDraws = 256

// Assess returns how Pick judges all servers for a request, whatever its random number: those
// with the best chance first. It changes nothing.
func (t *Table) Assess(request Request, loads Loads) []Assessment {
	counts, nearest := make(map[int]int), len(t.tiers)
	for draw := range uint64(assessmentDraws) {
		request.Random = mix(draw)
		if choice, ok := t.Pick(&request, loads); ok {
			counts[choice.Server]++
			nearest = min(nearest, choice.Tier)
		}
	}
	assessed := make([]Assessment, len(t.servers))
	for server := range t.servers {
		a := Assessment{
			Server: server, Tier: t.TierOf(server), Chance: float64(counts[server]) / assessmentDraws,
			Load: loads.Load(server), IsFull: loads.Full(server),
		}
		if counts[server] == 0 {
			a.Objection = t.whyNot(request, loads, a, nearest)
		}
		assessed[server] = a
	}
	slices.SortFunc(assessed, func(a, b Assessment) int {
		return cmp.Or(cmp.Compare(b.Chance, a.Chance), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Server, b.Server))
	})
	return assessed
}

// whyNot returns why no choice fell on a server, while the nearest was in a tier. For a server
// with a reduced share it looks for a random number with which it would have a request.
func (t *Table) whyNot(request Request, loads Loads, a Assessment, nearest int) Objection {
	p := picker{table: t, request: &request, loads: loads, bounds: serverLimits}
	objection := p.objection(a.Server)
	for draw := uint64(0); draw < assessmentDraws && objection == Ejected && t.servers[a.Server].Share > 0; draw++ {
		request.Random = mix(draw)
		objection = p.objection(a.Server)
	}
	switch {
	case objection != NoObjection:
		return objection
	case a.Tier > nearest:
		return Farther
	}
	return MoreLoaded
}
