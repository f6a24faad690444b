package zone

import (
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// HavePart is the version of a shared state that a follower has.
type HavePart struct {
	Name    string
	Version uint64
}

// SharedPart is an encoded update of a shared state.
type SharedPart struct {
	Name    string
	Encoded []byte
}

// AddSharedState implements contract.ZoneControl.
func (s *service) AddSharedState(state contract.SharedState) {
	s.sharedStates = append(s.sharedStates, state)
}

// OnCollectorChange implements contract.ZoneControl.
func (s *service) OnCollectorChange(handler func(isCollector bool)) {
	s.collectorChangeHandlers = append(s.collectorChangeHandlers, handler)
}

// NotifyFollowers implements contract.ZoneControl. It replies to all held
// requests.
func (s *service) NotifyFollowers() {
	if s.collector != nil {
		s.replyToAllHeld()
	}
}

func (s *service) notifyCollectorChange(isCollector bool) {
	for _, handler := range s.collectorChangeHandlers {
		handler(isCollector)
	}
}

// sharedVersions lists the versions of the shared states on this daemon.
func (s *service) sharedVersions() []HavePart {
	list := make([]HavePart, 0, len(s.sharedStates))
	for _, state := range s.sharedStates {
		list = append(list, HavePart{Name: state.StateName(), Version: state.StateVersion()})
	}
	return list
}

// versionOf returns the version of the named state in have, or 0 if it is not
// listed.
func versionOf(have []HavePart, name string) uint64 {
	for _, part := range have {
		if part.Name == name {
			return part.Version
		}
	}
	return 0
}

// lacksSharedState reports whether a follower has an older version of any
// shared state.
func (s *service) lacksSharedState(have []HavePart) bool {
	for _, state := range s.sharedStates {
		if versionOf(have, state.StateName()) < state.StateVersion() {
			return true
		}
	}
	return false
}

// encodeSharedStates encodes the updates of the shared states for which a
// follower has an older version.
func (s *service) encodeSharedStates(have []HavePart) []SharedPart {
	var parts []SharedPart
	for _, state := range s.sharedStates {
		version := versionOf(have, state.StateName())
		if version >= state.StateVersion() {
			continue
		}
		encoded, err := state.EncodeSince(version)
		if err != nil {
			s.log.WithError(err).Errorf("Cannot encode shared state %s.", state.StateName())
			continue
		}
		parts = append(parts, SharedPart{Name: state.StateName(), Encoded: encoded})
	}
	return parts
}

// mergeSharedParts applies the updates of shared states that the collector
// sent.
func (s *service) mergeSharedParts(parts []SharedPart) {
	for _, part := range parts {
		for _, state := range s.sharedStates {
			if state.StateName() != part.Name {
				continue
			}
			if err := state.Merge(part.Encoded); err != nil {
				s.log.WithError(err).Errorf("Cannot merge shared state %s.", part.Name)
			}
		}
	}
}
