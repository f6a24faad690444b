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

// Segment is what the head says of a sealed step.
type Segment struct {
	Version
	// Of is the step to which this one is a supplement, or zero.
	Of uint64 `json:"of,omitempty"`
	// Newest is the latest birth among the step's samples.
	Newest time.Time `json:"newest"`
	Sealed time.Time `json:"sealed"`
}

// Debt is the count of samples by which a delivered step fell short.
type Debt struct {
	Of      uint64 `json:"of"`
	Samples int    `json:"samples"`
}

// Head is the state of a workspace's steps. Owner, Term and Operation name the
// writer and its write, so that a writer whose answer was lost can recognise
// its own write.
type Head struct {
	Owner     Owner        `json:"owner"`
	Term      structs.Term `json:"term"`
	Operation uint64       `json:"operation"`
	// Sealed is the newest sealed step, or zero.
	Sealed uint64 `json:"sealed"`
	// Kept are the segments that can still be handed over, oldest first.
	Kept []Segment `json:"kept,omitempty"`
	Owed []Debt    `json:"owed,omitempty"`
	// Floor is the birth up to which no sample is sealed any more.
	Floor time.Time `json:"floor"`
}

// Validate fails with ErrMalformed for a head that cannot be one that this
// package made: its segments must rise up to the newest sealed step, and each
// debt must count samples.
func (h Head) Validate() error {
	last := uint64(0)
	for _, segment := range h.Kept {
		if segment.Step <= last {
			return ErrMalformed
		}
		last = segment.Step
	}
	if len(h.Kept) > 0 && last != h.Sealed {
		return ErrMalformed
	}
	if slices.ContainsFunc(h.Owed, func(d Debt) bool { return d.Samples < 1 }) {
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
	return slices.IndexFunc(h.Kept, func(s Segment) bool { return s.Step == step })
}

// FirstKept is the oldest step that can still be handed over, or the next step
// when there is none.
func (h Head) FirstKept() uint64 {
	if len(h.Kept) == 0 {
		return h.Sealed + 1
	}
	return h.Kept[0].Step
}

// seal returns the head with one more segment, and drops the segments that
// need not be kept.
func (h Head) seal(segment Segment, age time.Duration) Head {
	h.Sealed = segment.Step
	h.Kept = append(slices.Clone(h.Kept), segment)
	for len(h.Kept) > minKept && (len(h.Kept) > maxKept || segment.Sealed.Sub(h.Kept[0].Sealed) > age) {
		h.Floor = later(h.Floor, h.Kept[0].Newest)
		h.Kept = h.Kept[1:]
	}
	return h
}

// owe returns the head with a debt added.
func (h Head) owe(debt Debt) Head {
	h.Owed = slices.Clone(h.Owed)
	for i := range h.Owed {
		if h.Owed[i].Of == debt.Of {
			h.Owed[i].Samples += debt.Samples
			return h
		}
	}
	h.Owed = append(h.Owed, debt)
	return h
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
