package zone

import (
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// HavePart says which version of a part a follower has.
type HavePart struct {
	Name    string
	Version uint64
}

// SharedPart is what a follower lacks of a part.
type SharedPart struct {
	Name    string
	Encoded []byte
}

// AddSharedState implements contract.Zone.
func (s *service) AddSharedState(part contract.SharedState) { s.parts = append(s.parts, part) }

// OnCollectorChange implements contract.Zone.
func (s *service) OnCollectorChange(call func(collects bool)) { s.onRole = append(s.onRole, call) }

// NotifyFollowers implements contract.Zone.
func (s *service) NotifyFollowers() {
	if s.collects != nil {
		s.releaseAll()
	}
}

func (s *service) tellRole(collects bool) {
	for _, call := range s.onRole {
		call(collects)
	}
}

// have lists the versions of the parts known here.
func (s *service) have() []HavePart {
	list := make([]HavePart, 0, len(s.parts))
	for _, part := range s.parts {
		list = append(list, HavePart{Name: part.StateName(), Version: part.StateVersion()})
	}
	return list
}

// versionOf finds a part's version among those that a follower has.
func versionOf(have []HavePart, name string) uint64 {
	for _, known := range have {
		if known.Name == name {
			return known.Version
		}
	}
	return 0
}

// lacks reports whether a follower lacks news of a part.
func (s *service) lacks(have []HavePart) bool {
	for _, part := range s.parts {
		if versionOf(have, part.StateName()) < part.StateVersion() {
			return true
		}
	}
	return false
}

// shareWith encodes what a follower lacks.
func (s *service) shareWith(have []HavePart) []SharedPart {
	var shared []SharedPart
	for _, part := range s.parts {
		version := versionOf(have, part.StateName())
		if version >= part.StateVersion() {
			continue
		}
		encoded, err := part.EncodeSince(version)
		if err != nil {
			s.log.WithError(err).Errorf("The part %s could not be encoded.", part.StateName())
			continue
		}
		shared = append(shared, SharedPart{Name: part.StateName(), Encoded: encoded})
	}
	return shared
}

// mergeShared applies what the collector handed over.
func (s *service) mergeShared(shared []SharedPart) {
	for _, got := range shared {
		for _, part := range s.parts {
			if part.StateName() != got.Name {
				continue
			}
			if err := part.Merge(got.Encoded); err != nil {
				s.log.WithError(err).Errorf("The part %s could not be merged.", got.Name)
			}
		}
	}
}
