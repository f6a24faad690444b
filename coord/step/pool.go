package step

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// maxWaiting bounds the samples that wait to be sealed.
const maxWaiting = 1 << 18

// SampleState says what became of an offered sample.
type SampleState uint8

// The states of a sample.
const (
	// SampleWaiting means that the sample can be sealed.
	SampleWaiting SampleState = iota
	// SampleSealed means that the sample is in a step that is still kept.
	SampleSealed
	// SampleStale means that the sample will never be sealed.
	SampleStale
	// SampleRefused means that the pool is full; the sample may be offered again.
	SampleRefused
)

// SampleStatus is the state of a sample, with its step when it is sealed.
type SampleStatus struct {
	State SampleState
	Step  uint64
}

// Bounds are the parameters of a workspace that the sealing depends on.
type Bounds struct {
	// MaxVersionLag is how many weight versions a sample may lie behind.
	MaxVersionLag int
	// MaxAge is how old the oldest token of a sample may be.
	MaxAge time.Duration
	// StepSamples is the count of samples in a step.
	StepSamples int
}

// DropCounts counts samples that were too stale to be sealed.
type DropCounts struct {
	// ByVersion, ByAge and ByFloor count them by the first bound broken.
	ByVersion, ByAge, ByFloor uint64
}

// Pool holds the samples of a workspace that wait to be sealed, and the lists
// of the steps that are kept. It is not safe for concurrent use.
type Pool struct {
	head     Head
	lists    map[uint64]SampleList
	sealed   map[structs.SampleID]uint64
	waiting  map[structs.SampleID]Offer
	attempts map[uint64]HeadUpdate
	// operation is the last operation number used in this term.
	operation uint64
	dropped   DropCounts
}

// NewPool returns the pool of a new owner: head is the one that it wrote to
// take over, lists are those of the kept segments.
func NewPool(head Head, lists []SampleList) *Pool {
	p := &Pool{
		head:      head,
		lists:     make(map[uint64]SampleList, len(lists)),
		sealed:    make(map[structs.SampleID]uint64),
		waiting:   make(map[structs.SampleID]Offer),
		attempts:  make(map[uint64]HeadUpdate),
		operation: head.Operation,
	}
	for _, list := range lists {
		p.keep(list)
	}
	return p
}

func (p *Pool) keep(list SampleList) {
	p.lists[list.Step] = list
	for _, entry := range list.Entries {
		p.sealed[entry.ID] = list.Step
		delete(p.waiting, entry.ID)
	}
}

// Head returns the newest head known to be written.
func (p *Pool) Head() Head { return p.head }

// WaitingCount counts the samples that wait to be sealed.
func (p *Pool) WaitingCount() int { return len(p.waiting) }

// DropCounts counts the samples that were too stale to be sealed.
func (p *Pool) DropCounts() DropCounts { return p.dropped }

// Offer takes in samples and says what became of each.
func (p *Pool) Offer(now time.Time, age time.Duration, offers []Offer) []SampleStatus {
	standings := make([]SampleStatus, len(offers))
	for i, offer := range offers {
		standings[i] = p.offer(now, age, offer)
	}
	return standings
}

func (p *Pool) offer(now time.Time, age time.Duration, offer Offer) SampleStatus {
	if step, ok := p.sealed[offer.ID]; ok {
		return SampleStatus{State: SampleSealed, Step: step}
	}
	if !offer.Born.After(p.head.Floor) || now.Sub(offer.Born) > age {
		return SampleStatus{State: SampleStale}
	}
	if _, known := p.waiting[offer.ID]; !known && len(p.waiting) >= maxWaiting {
		return SampleStatus{State: SampleRefused}
	}
	p.waiting[offer.ID] = offer
	return SampleStatus{State: SampleWaiting}
}

// Find returns the list of a sealed step. For the step after the newest it
// fails with code StepNotReady, for one beyond with StepTooFarAhead and for
// one that is no longer kept with StepForgotten.
func (p *Pool) Find(step uint64) (SampleList, error) {
	switch {
	case step == 0:
		return SampleList{}, result.New(result.BadRequest, "steps are numbered from 1")
	case step > p.head.LastSealed+1:
		return SampleList{}, result.New(result.StepTooFarAhead, "the newest sealed step is %d", p.head.LastSealed)
	case step == p.head.LastSealed+1:
		return SampleList{}, result.New(result.StepNotReady, "%d samples wait", len(p.waiting))
	}
	list, ok := p.lists[step]
	if !ok {
		return SampleList{}, result.New(result.StepForgotten, "the oldest step kept is %d", p.head.FirstKept())
	}
	return list, nil
}

// ProposeStep chooses the samples of the next step for a trainer that holds a
// weight version, and drops those that are stale. It fails with code
// StepNotReady when there are not enough samples.
func (p *Pool) ProposeStep(now time.Time, holds structs.WeightVersion, bounds Bounds) (HeadUpdate, error) {
	head, of, need := p.head, uint64(0), bounds.StepSamples
	if len(head.Shortfalls) > 0 {
		of, need = head.Shortfalls[0].Step, head.Shortfalls[0].Samples
		head.Shortfalls = slices.Clone(head.Shortfalls[1:])
	}
	if len(p.waiting) < need {
		return HeadUpdate{}, p.notReady(need)
	}
	p.dropStale(now, holds, bounds)
	if len(p.waiting) < need {
		return HeadUpdate{}, p.notReady(need)
	}
	chosen := p.oldest(need)
	p.operation++
	version := Version{Step: head.LastSealed + 1, Term: head.Term, Operation: p.operation}
	segment := SegmentRef{Version: version, SupplementTo: of, NewestBirth: newest(chosen), SealedAt: now}
	return p.attempt(head.seal(segment, bounds.MaxAge), SampleList{Version: version, SupplementTo: of, Entries: listOf(chosen)}), nil
}

func (p *Pool) notReady(need int) error {
	return result.New(result.StepNotReady, "%d of %d samples wait; %d were dropped for their version, %d for their age",
		len(p.waiting), need, p.dropped.ByVersion, p.dropped.ByAge+p.dropped.ByFloor)
}

// dropStale drops the samples that break a bound.
func (p *Pool) dropStale(now time.Time, holds structs.WeightVersion, bounds Bounds) {
	for id, offer := range p.waiting {
		switch {
		case !offer.Born.After(p.head.Floor):
			p.dropped.ByFloor++
		case holds > offer.Oldest && holds-offer.Oldest > structs.WeightVersion(bounds.MaxVersionLag):
			p.dropped.ByVersion++
		case now.Sub(offer.Born) > bounds.MaxAge:
			p.dropped.ByAge++
		default:
			continue
		}
		delete(p.waiting, id)
	}
}

// oldest returns the samples that would become stale first.
func (p *Pool) oldest(count int) []Offer {
	offers := make([]Offer, 0, len(p.waiting))
	for _, offer := range p.waiting {
		offers = append(offers, offer)
	}
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Oldest, b.Oldest), a.Born.Compare(b.Born), compareIDs(a.ID, b.ID))
	})
	return offers[:count]
}

func newest(offers []Offer) time.Time {
	var born time.Time
	for _, offer := range offers {
		born = later(born, offer.Born)
	}
	return born
}

// MarkLost marks samples of a step as lost and owes as many to the trainer. It
// reports false when there is nothing to write, because all were marked
// before, and fails like Find.
func (p *Pool) MarkLost(step uint64, ids []structs.SampleID) (HeadUpdate, bool, error) {
	list, err := p.Find(step)
	if err != nil {
		return HeadUpdate{}, false, err
	}
	list, fresh := list.lose(ids)
	if fresh == 0 {
		return HeadUpdate{}, false, nil
	}
	p.operation++
	list.Version = Version{Step: step, Term: p.head.Term, Operation: p.operation}
	head := p.head.owe(Shortfall{Step: cmp.Or(list.SupplementTo, step), Samples: fresh})
	head.Segments = slices.Clone(head.Segments)
	head.Segments[head.find(step)].Version = list.Version
	return p.attempt(head, list), true, nil
}
