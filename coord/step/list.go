package step

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// HolderCount is the number of hosts that store a copy of a sample.
const HolderCount = 2

// Offer describes a sample to the owner, without the body. It crosses net/rpc
// under the names of its fields.
type Offer struct {
	ID structs.SampleID
	// Oldest is the lowest weight version that generated a part of the sample.
	Oldest structs.WeightVersion
	// Born is when the oldest token was generated. It is the same in every offer
	// of the sample.
	Born time.Time
	// Holders are the hosts that store the body.
	Holders [HolderCount]structs.HostName
}

// Entry is a sample of a sealed step.
type Entry struct {
	ID      structs.SampleID
	Holders [HolderCount]structs.HostName
	// Lost reports that no host had the body when the step was delivered.
	Lost bool
}

// SampleList is the content of a segment: the samples of a sealed step.
type SampleList struct {
	Version
	// SupplementTo is the step whose lost samples this one replaces, or zero.
	SupplementTo uint64
	// Entries are sorted by sample ID.
	Entries []Entry
}

// newEntries returns the entries of a list, sorted by sample ID.
func newEntries(offers []Offer) []Entry {
	entries := make([]Entry, len(offers))
	for i, offer := range offers {
		entries[i] = Entry{ID: offer.ID, Holders: offer.Holders}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return compareIDs(a.ID, b.ID) })
	return entries
}

// compareIDs orders samples by origin, then number.
func compareIDs(a, b structs.SampleID) int {
	return cmp.Or(
		cmp.Compare(a.Origin.Host, b.Origin.Host),
		cmp.Compare(a.Origin.Start, b.Origin.Start),
		cmp.Compare(a.Number, b.Number))
}

// markLost returns a copy of the list with samples marked as lost, and the
// number of samples that were not marked before.
func (l SampleList) markLost(ids []structs.SampleID) (SampleList, int) {
	lost := make(map[structs.SampleID]bool, len(ids))
	for _, id := range ids {
		lost[id] = true
	}
	l.Entries = slices.Clone(l.Entries)
	newlyLost := 0
	for i := range l.Entries {
		entry := &l.Entries[i]
		if lost[entry.ID] && !entry.Lost {
			entry.Lost = true
			newlyLost++
		}
	}
	return l, newlyLost
}
