package placement

import (
	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Objection is why an engine does not get an item.
type Objection string

// The objections.
const (
	NoObjection  Objection = ""
	IsBlocked    Objection = "refused or not reached lately, or at a limit that it names"
	HasOldWeight Objection = "runs no or older weights of the model"
	HasNoSlot    Objection = "this daemon's items fill its slots"
	IsReserved   Objection = "takes items of another model first, and its slots are taken"
	CostsMore    Objection = "the item is expected to finish earlier elsewhere"
)

// Assessment is how an engine was judged for an item.
type Assessment struct {
	// Index is that of the engine in the selector.
	Index     int
	Objection Objection
}

// Assess returns how the selector judges the engines for an item with a number of events.
// The first gets it unless there is an objection: then the item waits, as the others would
// end it later. At most the given number of engines are put in order; the rest, and those
// that cannot take an item, follow. It changes nothing.
func (s *EngineSelector) Assess(events int, oldestVersion structs.WeightVersion, most int) []Assessment {
	var assessed []Assessment
	var avoid []structs.HostName
	known := make(map[int]bool)
	for len(assessed) < most {
		index, ok := s.Select(events, avoid, resume.Position{})
		if !ok {
			break
		}
		a := Assessment{Index: index, Objection: CostsMore}
		switch {
		case !s.engines[index].TakesNow():
			a.Objection = IsReserved
		case len(assessed) == 0:
			a.Objection = NoObjection
		}
		assessed, known[index] = append(assessed, a), true
		avoid = append(avoid, s.engines[index].Server.ID)
	}
	selectable := make(map[int]bool)
	for _, group := range s.groups {
		for _, index := range group.heap {
			selectable[int(index)] = true
		}
	}
	for index := range s.engines {
		if !known[index] {
			assessed = append(assessed, Assessment{Index: index, Objection: s.objection(index, selectable[index], oldestVersion)})
		}
	}
	return assessed
}

// objection returns why an engine is not among the best.
func (s *EngineSelector) objection(index int, isSelectable bool, oldestVersion structs.WeightVersion) Objection {
	switch engine := &s.engines[index]; {
	case isSelectable:
		return CostsMore
	case engine.Blocked:
		return IsBlocked
	case engine.Version < oldestVersion:
		return HasOldWeight
	}
	return HasNoSlot
}
