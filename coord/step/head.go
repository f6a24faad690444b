package step

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// minKeptSegments is the number of newest segments kept regardless of age.
	minKeptSegments = 4
	// maxKeptSegments bounds the size of the head.
	maxKeptSegments = 256
)

// ErrMalformed is returned for a head that this package cannot have written.
var ErrMalformed = errors.New("step: malformed head")

// Owner is the daemon that seals the steps of a workspace.
type Owner struct {
	Incarnation structs.Incarnation `json:"incarnation"`
	// Address is where the owner accepts RPCs from other daemons.
	Address string `json:"address"`
}

// Version identifies one write of a segment: a segment of the same step that is
// written again gets a new version.
type Version struct {
	Step      uint64       `json:"step"`
	Term      structs.Term `json:"term"`
	Operation uint64       `json:"operation"`
}

// SegmentRef is the entry of the head for a sealed step.
type SegmentRef struct {
	Version
	// SupplementTo is the step whose lost samples this one replaces, or zero.
	SupplementTo uint64 `json:"of,omitempty"`
	// NewestBirth is the latest Offer.Born among the step's samples.
	NewestBirth time.Time `json:"newest"`
	SealedAt    time.Time `json:"sealed"`
}

// Shortfall is the number of samples still missing from a delivered step.
type Shortfall struct {
	Step    uint64 `json:"of"`
	Samples int    `json:"samples"`
}

// Head is the root record of a workspace's steps. Owner, Term and Operation
// identify the write, so that a writer whose response was lost can recognize
// its own write when it reads the head back.
type Head struct {
	Owner     Owner        `json:"owner"`
	Term      structs.Term `json:"term"`
	Operation uint64       `json:"operation"`
	// LastSealed is the number of the newest sealed step, or zero.
	LastSealed uint64 `json:"sealed"`
	// Segments are the steps that can still be delivered, oldest first.
	Segments []SegmentRef `json:"kept,omitempty"`
	// Shortfalls are the supplements still to be sealed, in order.
	Shortfalls []Shortfall `json:"owed,omitempty"`
	// Floor is the time of birth at or before which no sample is sealed.
	Floor time.Time `json:"floor"`
}

// Validate returns ErrMalformed for a head that this package cannot have
// written: the segments must be in ascending order and end with the newest
// sealed step, and each shortfall must be positive.
func (h Head) Validate() error {
	last := uint64(0)
	for _, segment := range h.Segments {
		if segment.Step <= last {
			return ErrMalformed
		}
		last = segment.Step
	}
	if len(h.Segments) > 0 && last != h.LastSealed {
		return ErrMalformed
	}
	if slices.ContainsFunc(h.Shortfalls, func(s Shortfall) bool { return s.Samples < 1 }) {
		return ErrMalformed
	}
	return nil
}

// TakeOver returns the head that a new owner writes to start its term.
func (h Head) TakeOver(owner Owner) Head {
	h.Owner = owner
	h.Term++
	h.Operation = 1
	return h
}

// SameWrite reports whether two heads come from the same write.
func (h Head) SameWrite(other Head) bool {
	return h.Owner == other.Owner && h.Term == other.Term && h.Operation == other.Operation
}

// segmentIndex returns the index of a step in Segments, or -1.
func (h Head) segmentIndex(step uint64) int {
	return slices.IndexFunc(h.Segments, func(s SegmentRef) bool { return s.Step == step })
}

// FirstKept returns the oldest step that can still be delivered, or the next
// step if there is none.
func (h Head) FirstKept() uint64 {
	if len(h.Segments) == 0 {
		return h.LastSealed + 1
	}
	return h.Segments[0].Step
}

// seal returns the head with a segment added, and without the oldest segments
// that exceed maxKeptSegments or, beyond minKeptSegments, maxAge.
func (h Head) seal(segment SegmentRef, maxAge time.Duration) Head {
	h.LastSealed = segment.Step
	h.Segments = append(slices.Clone(h.Segments), segment)
	for len(h.Segments) > minKeptSegments && (len(h.Segments) > maxKeptSegments || segment.SealedAt.Sub(h.Segments[0].SealedAt) > maxAge) {
		h.Floor = laterOf(h.Floor, h.Segments[0].NewestBirth)
		h.Segments = h.Segments[1:]
	}
	return h
}

// addShortfall returns the head with a shortfall added.
func (h Head) addShortfall(shortfall Shortfall) Head {
	h.Shortfalls = slices.Clone(h.Shortfalls)
	for i := range h.Shortfalls {
		if h.Shortfalls[i].Step == shortfall.Step {
			h.Shortfalls[i].Samples += shortfall.Samples
			return h
		}
	}
	h.Shortfalls = append(h.Shortfalls, shortfall)
	return h
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
