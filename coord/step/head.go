package step

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// minKept is the count of newest segments that are kept however old.
	minKept = 4
	// maxKept bounds the size of the head.
	maxKept = 256
)

// ErrMalformed is returned for a head that cannot be one of this package.
var ErrMalformed = errors.New("step: malformed head")

// Owner is a daemon that seals the steps of a workspace.
type Owner struct {
	Incarnation structs.Incarnation `json:"incarnation"`
	// Address is where the owner takes calls of other daemons.
	Address string `json:"address"`
}

// Version names one writing of a segment.
type Version struct {
	Step      uint64       `json:"step"`
	Term      structs.Term `json:"term"`
	Operation uint64       `json:"operation"`
}

// SegmentRef is what the head says of a sealed step.
type SegmentRef struct {
	Version
	// SupplementTo is the step to which this one is a supplement, or zero.
	SupplementTo uint64 `json:"of,omitempty"`
	// NewestBirth is the latest birth among the step's samples.
	NewestBirth time.Time `json:"newest"`
	SealedAt    time.Time `json:"sealed"`
}

// Shortfall is the count of samples by which a delivered step fell short.
type Shortfall struct {
	Step    uint64 `json:"of"`
	Samples int    `json:"samples"`
}

// Head is the state of a workspace's steps. Owner, Term and Operation name the
// writer and its write, so that a writer whose answer was lost can recognise
// its own write.
type Head struct {
	Owner     Owner        `json:"owner"`
	Term      structs.Term `json:"term"`
	Operation uint64       `json:"operation"`
	// LastSealed is the newest sealed step, or zero.
	LastSealed uint64 `json:"sealed"`
	// Segments are the segments that can still be handed over, oldest first.
	Segments   []SegmentRef `json:"kept,omitempty"`
	Shortfalls []Shortfall  `json:"owed,omitempty"`
	// Floor is the birth up to which no sample is sealed any more.
	Floor time.Time `json:"floor"`
}

// Validate fails with ErrMalformed for a head that cannot be one that this
// package made: its segments must rise up to the newest sealed step, and each
// debt must count samples.
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
	if slices.ContainsFunc(h.Shortfalls, func(d Shortfall) bool { return d.Samples < 1 }) {
		return ErrMalformed
	}
	return nil
}

// TakeOver returns the head by which a new owner begins its term.
func (h Head) TakeOver(owner Owner) Head {
	h.Owner = owner
	h.Term++
	h.Operation = 1
	return h
}

// SameWrite reports whether two heads come from one write.
func (h Head) SameWrite(other Head) bool {
	return h.Owner == other.Owner && h.Term == other.Term && h.Operation == other.Operation
}

// find returns the index of a step's segment, or a negative number.
func (h Head) find(step uint64) int {
	return slices.IndexFunc(h.Segments, func(s SegmentRef) bool { return s.Step == step })
}

// FirstKept is the oldest step that can still be handed over, or the next step
// when there is none.
func (h Head) FirstKept() uint64 {
	if len(h.Segments) == 0 {
		return h.LastSealed + 1
	}
	return h.Segments[0].Step
}

// seal returns the head with one more segment, and drops the segments that
// need not be kept.
func (h Head) seal(segment SegmentRef, age time.Duration) Head {
	h.LastSealed = segment.Step
	h.Segments = append(slices.Clone(h.Segments), segment)
	for len(h.Segments) > minKept && (len(h.Segments) > maxKept || segment.SealedAt.Sub(h.Segments[0].SealedAt) > age) {
		h.Floor = later(h.Floor, h.Segments[0].NewestBirth)
		h.Segments = h.Segments[1:]
	}
	return h
}

// owe returns the head with a debt added.
func (h Head) owe(debt Shortfall) Head {
	h.Shortfalls = slices.Clone(h.Shortfalls)
	for i := range h.Shortfalls {
		if h.Shortfalls[i].Step == debt.Step {
			h.Shortfalls[i].Samples += debt.Samples
			return h
		}
	}
	h.Shortfalls = append(h.Shortfalls, debt)
	return h
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
