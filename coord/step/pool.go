package step

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// maxWaitingSamples bounds the samples that wait to be sealed in one pool.
const maxWaitingSamples = 1 << 18

// SampleState is the state of an offered sample.
type SampleState uint8

// The states of a sample.
const (
	// SampleWaiting means that the sample can be sealed.
	SampleWaiting SampleState = iota
	// SampleSealed means that the sample is in a step that can still be delivered.
	SampleSealed
	// SampleStale means that the sample is too old and will never be sealed.
	SampleStale
	// SampleRefused means that the pool is full; the sample may be offered again.
	SampleRefused
)

// SampleStatus is the state of a sample, with its step when it is sealed. It
// crosses net/rpc under the names of its fields.
type SampleStatus struct {
	State SampleState
	Step  uint64
}

// Bounds are the settings of a workspace that sealing depends on.
type Bounds struct {
	// MaxVersionLag is the largest number of weight versions by which the oldest
	// token of a sample may lag behind the trainer.
	MaxVersionLag int
	// MaxAge is the largest age of the oldest token of a sample.
	MaxAge time.Duration
	// StepSamples is the number of samples in a step.
	StepSamples int
}

// DropCounts counts the samples that were dropped because they were too stale.
type DropCounts struct {
	// ByVersion counts samples over Bounds.MaxVersionLag, ByAge those over
	// Bounds.MaxAge and ByFloor those born at or before Head.Floor. A sample
	// that exceeds several bounds is counted once: ByFloor comes before
	// ByVersion, and that before ByAge.
	ByVersion, ByAge, ByFloor uint64
}

// Pool holds the samples of a workspace that wait to be sealed, and the lists of
// the steps that can still be delivered. It is not safe for concurrent use.
type Pool struct {
	head           Head
	lists          map[uint64]SampleList
	sealedIn       map[structs.SampleID]uint64
	waiting        map[structs.SampleID]Offer
	pendingUpdates map[uint64]HeadUpdate
	// operation is the last operation number used in this term.
	operation  uint64
	dropCounts DropCounts
}

// NewPool returns the pool of a new owner: head is the one that the owner wrote
// to take over, and lists are the content of the segments that it points to.
func NewPool(head Head, lists []SampleList) *Pool {
	p := &Pool{
		head:           head,
		lists:          make(map[uint64]SampleList, len(lists)),
		sealedIn:       make(map[structs.SampleID]uint64),
		waiting:        make(map[structs.SampleID]Offer),
		pendingUpdates: make(map[uint64]HeadUpdate),
		operation:      head.Operation,
	}
	for _, list := range lists {
		p.addList(list)
	}
	return p
}

// addList adds the list of a sealed step.
func (p *Pool) addList(list SampleList) {
	p.lists[list.Step] = list
	for _, entry := range list.Entries {
		p.sealedIn[entry.ID] = list.Step
		delete(p.waiting, entry.ID)
	}
}

// Head returns the newest head known to be written.
func (p *Pool) Head() Head { return p.head }

// WaitingCount returns the number of samples that wait to be sealed.
func (p *Pool) WaitingCount() int { return len(p.waiting) }

// DropCounts returns the numbers of samples dropped since the pool was created.
func (p *Pool) DropCounts() DropCounts { return p.dropCounts }

// Offer adds samples to the pool and returns the state of each, in order. A
// sample that is already sealed, born at or before the Floor or older than
// maxAge is not added, nor is a new one if the pool is full.
func (p *Pool) Offer(now time.Time, maxAge time.Duration, offers []Offer) []SampleStatus {
	statuses := make([]SampleStatus, len(offers))
	for i, offer := range offers {
		statuses[i] = p.offerOne(now, maxAge, offer)
	}
	return statuses
}

func (p *Pool) offerOne(now time.Time, maxAge time.Duration, offer Offer) SampleStatus {
	if step, ok := p.sealedIn[offer.ID]; ok {
		return SampleStatus{State: SampleSealed, Step: step}
	}
	if !offer.Born.After(p.head.Floor) || now.Sub(offer.Born) > maxAge {
		return SampleStatus{State: SampleStale}
	}
	if _, known := p.waiting[offer.ID]; !known && len(p.waiting) >= maxWaitingSamples {
		return SampleStatus{State: SampleRefused}
	}
	p.waiting[offer.ID] = offer
	return SampleStatus{State: SampleWaiting}
}

// Find returns the list of a sealed step. It fails with code StepNotReady for
// the step after the newest one, StepTooFarAhead for a later one, StepForgotten
// for one that is no longer in the head, and BadRequest for step zero.
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

// ProposeStep selects the samples of the next step for a trainer at a weight
// version, and drops those that are stale. A step that replaces lost samples
// comes before an ordinary one. It fails with code StepNotReady if there are
// not enough samples.
func (p *Pool) ProposeStep(now time.Time, trainerVersion structs.WeightVersion, bounds Bounds) (HeadUpdate, error) {
	head, supplementTo, required := p.head, uint64(0), bounds.StepSamples
	if len(head.Shortfalls) > 0 {
		supplementTo, required = head.Shortfalls[0].Step, head.Shortfalls[0].Samples
		head.Shortfalls = slices.Clone(head.Shortfalls[1:])
	}
	if len(p.waiting) < required {
		return HeadUpdate{}, p.notReadyError(required)
	}
	p.dropStale(now, trainerVersion, bounds)
	if len(p.waiting) < required {
		return HeadUpdate{}, p.notReadyError(required)
	}
	chosen := p.oldestWaiting(required)
	p.operation++
	version := Version{Step: head.LastSealed + 1, Term: head.Term, Operation: p.operation}
	segment := SegmentRef{Version: version, SupplementTo: supplementTo, NewestBirth: newestBirth(chosen), SealedAt: now}
	return p.recordUpdate(head.seal(segment, bounds.MaxAge), SampleList{Version: version, SupplementTo: supplementTo, Entries: newEntries(chosen)}), nil
}

func (p *Pool) notReadyError(required int) error {
	return result.New(result.StepNotReady, "%d of %d samples wait; %d were dropped for their version, %d for their age",
		len(p.waiting), required, p.dropCounts.ByVersion, p.dropCounts.ByAge+p.dropCounts.ByFloor)
}

// dropStale drops the samples that exceed a bound.
func (p *Pool) dropStale(now time.Time, trainerVersion structs.WeightVersion, bounds Bounds) {
	for id, offer := range p.waiting {
		switch {
		case !offer.Born.After(p.head.Floor):
			p.dropCounts.ByFloor++
		case trainerVersion > offer.Oldest && trainerVersion-offer.Oldest > structs.WeightVersion(bounds.MaxVersionLag):
			p.dropCounts.ByVersion++
		case now.Sub(offer.Born) > bounds.MaxAge:
			p.dropCounts.ByAge++
		default:
			continue
		}
		delete(p.waiting, id)
	}
}

// oldestWaiting returns the samples that would become stale first: those with
// the lowest weight version, and among these the earliest born.
func (p *Pool) oldestWaiting(count int) []Offer {
	offers := make([]Offer, 0, len(p.waiting))
	for _, offer := range p.waiting {
		offers = append(offers, offer)
	}
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Oldest, b.Oldest), a.Born.Compare(b.Born), compareIDs(a.ID, b.ID))
	})
	return offers[:count]
}

// newestBirth returns the latest Born of the offers.
func newestBirth(offers []Offer) time.Time {
	var born time.Time
	for _, offer := range offers {
		born = laterOf(born, offer.Born)
	}
	return born
}

// MarkLost marks samples of a step as lost and adds a shortfall of as many. It
// returns false if there is nothing to write because all of them were already
// marked, and the errors of Find.
func (p *Pool) MarkLost(step uint64, ids []structs.SampleID) (HeadUpdate, bool, error) {
	list, err := p.Find(step)
	if err != nil {
		return HeadUpdate{}, false, err
	}
	list, newlyLost := list.markLost(ids)
	if newlyLost == 0 {
		return HeadUpdate{}, false, nil
	}
	p.operation++
	list.Version = Version{Step: step, Term: p.head.Term, Operation: p.operation}
	head := p.head.addShortfall(Shortfall{Step: cmp.Or(list.SupplementTo, step), Samples: newlyLost})
	head.Segments = slices.Clone(head.Segments)
	head.Segments[head.segmentIndex(step)].Version = list.Version
	return p.recordUpdate(head, list), true, nil
}
