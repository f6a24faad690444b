package step

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// HolderCount is the count of hosts that keep a sample.
const HolderCount = 2

// Offer is what the owner knows of a sample.
type Offer struct {
	ID structs.SampleID
	// Oldest is the lowest weight version that made a part of the sample.
	Oldest structs.WeightVersion
	// Born is when the oldest token was made. It is the same in every offer.
	Born    time.Time
	Holders [HolderCount]structs.HostName
}

// Entry is a sample of a sealed step.
type Entry struct {
	ID      structs.SampleID
	Holders [HolderCount]structs.HostName
	// Lost says that no host had the body when the step was delivered.
	Lost bool
}

// SampleList is the content of a segment: the samples of a sealed step.
type SampleList struct {
	Version
	// SupplementTo is the step to which this one is a supplement, or zero.
	SupplementTo uint64
	// Entries are in order of their ids.
	Entries []Entry
}

func listOf(offers []Offer) []Entry {
	entries := make([]Entry, len(offers))
	for i, offer := range offers {
		entries[i] = Entry{ID: offer.ID, Holders: offer.Holders}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return compareIDs(a.ID, b.ID) })
	return entries
}

func compareIDs(a, b structs.SampleID) int {
	return cmp.Or(
		cmp.Compare(a.Origin.Host, b.Origin.Host),
		cmp.Compare(a.Origin.Start, b.Origin.Start),
		cmp.Compare(a.Number, b.Number))
}

// lose returns a copy of the list with samples marked as lost, and the count
// of those that were not marked before.
func (l SampleList) lose(ids []structs.SampleID) (SampleList, int) {
	lost := make(map[structs.SampleID]bool, len(ids))
	for _, id := range ids {
		lost[id] = true
	}
	l.Entries = slices.Clone(l.Entries)
	fresh := 0
	for i := range l.Entries {
		entry := &l.Entries[i]
		if lost[entry.ID] && !entry.Lost {
			entry.Lost = true
			fresh++
		}
	}
	return l, fresh
}
