package quarantine

import (
	"cmp"
	"slices"
)

// View is an immutable copy for traffic.
type View struct {
	Suspects    map[Fingerprint]bool
	Quarantined map[Fingerprint]bool
}

// View returns the fingerprints that are suspect and quarantined now.
func (b *Tracker) View() View {
	view := View{Suspects: make(map[Fingerprint]bool), Quarantined: make(map[Fingerprint]bool)}
	for f := range b.quarantined {
		view.Quarantined[f] = true
	}
	for _, crash := range b.crashes {
		if b.isExplained(crash) {
			continue
		}
		for _, f := range crash.Suspects {
			view.Suspects[f] = true
		}
	}
	return view
}

// Quarantined lists the quarantined fingerprints in order.
func (b *Tracker) Quarantined() []Fingerprint {
	list := make([]Fingerprint, 0, len(b.quarantined))
	for f := range b.quarantined {
		list = append(list, f)
	}
	slices.SortFunc(list, cmp.Compare[Fingerprint])
	return list
}
