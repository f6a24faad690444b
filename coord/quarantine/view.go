package quarantine

import (
	"cmp"
	"slices"
)

// View is an immutable snapshot for the threads that serve traffic.
type View struct {
	Suspects    map[Fingerprint]bool
	Quarantined map[Fingerprint]bool
}

// View returns a snapshot of the suspects and the quarantined fingerprints.
func (t *Tracker) View() View {
	view := View{Suspects: make(map[Fingerprint]bool), Quarantined: make(map[Fingerprint]bool)}
	for f := range t.quarantinedUntil {
		view.Quarantined[f] = true
	}
	for _, crash := range t.crashes {
		if t.isExplained(crash) {
			continue
		}
		for _, f := range crash.Suspects {
			view.Suspects[f] = true
		}
	}
	return view
}

// Quarantined returns the quarantined fingerprints in ascending order.
func (t *Tracker) Quarantined() []Fingerprint {
	list := make([]Fingerprint, 0, len(t.quarantinedUntil))
	for f := range t.quarantinedUntil {
		list = append(list, f)
	}
	slices.SortFunc(list, cmp.Compare[Fingerprint])
	return list
}
