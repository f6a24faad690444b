package step

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var start = time.Unix(1_700_000_000, 0)

func newOffer(number uint64, oldest structs.WeightVersion, born time.Time) Offer {
	return Offer{
		ID:      structs.SampleID{Origin: structs.Incarnation{Host: "a", Start: 1}, Number: number},
		Oldest:  oldest,
		Born:    born,
		Holders: [HolderCount]structs.HostName{"a", "b"},
	}
}

func newOwnedPool() *Pool {
	return NewPool(Head{}.TakeOver(Owner{Incarnation: structs.Incarnation{Host: "a", Start: 1}}), nil)
}

func TestPool_StalenessBounds(t *testing.T) {
	bounds := Bounds{MaxVersionLag: 2, MaxAge: time.Minute, StepSamples: 1}
	for name, c := range map[string]struct {
		oldest  structs.WeightVersion
		age     time.Duration
		dropped DropCounts
	}{
		"both at the bound":          {oldest: 5, age: time.Minute},
		"one version over":           {oldest: 4, age: 0, dropped: DropCounts{ByVersion: 1}},
		"one nanosecond over":        {oldest: 7, age: time.Minute + 1, dropped: DropCounts{ByAge: 1}},
		"newer than the trainer has": {oldest: 9, age: 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newOwnedPool()
			p.Offer(start, bounds.MaxAge, []Offer{newOffer(1, c.oldest, start)})
			_, err := p.ProposeStep(start.Add(c.age), 7, bounds)
			must.Eq(t, c.dropped, p.DropCounts())
			must.Eq(t, c.dropped == DropCounts{}, err == nil)
		})
	}
}

func TestPool_FloorAfterRaisedAge(t *testing.T) {
	p, now := newOwnedPool(), start
	bounds := Bounds{MaxVersionLag: 1, MaxAge: time.Minute, StepSamples: 1}
	for number := range uint64(minKeptSegments + 1) {
		p.Offer(now, bounds.MaxAge, []Offer{newOffer(number, 1, now)})
		update, err := p.ProposeStep(now, 1, bounds)
		must.NoError(t, err)
		outcome, _ := p.ReconcileHead(update.Head)
		must.Eq(t, Committed, outcome)
		now = now.Add(2 * time.Minute)
	}
	_, err := p.Find(1)
	must.Eq(t, result.StepForgotten, result.CodeOf(err))
	statuses := p.Offer(now, 24*time.Hour, []Offer{newOffer(0, 1, start), newOffer(1, 1, start.Add(2*time.Minute))})
	must.Eq(t, []Standing{{State: SampleStale}, {State: SampleSealed, Step: 2}}, statuses)
}

func TestPool_SupplementAfterLoss(t *testing.T) {
	p := newOwnedPool()
	bounds := Bounds{MaxVersionLag: 1, MaxAge: time.Minute, StepSamples: 2}
	for number := range uint64(3) {
		p.Offer(start, bounds.MaxAge, []Offer{newOffer(number, 1, start)})
	}
	update, err := p.ProposeStep(start, 1, bounds)
	must.NoError(t, err)
	p.ReconcileHead(update.Head)
	lossUpdate, changed, err := p.MarkLost(1, []structs.SampleID{update.List.Entries[0].ID})
	must.NoError(t, err)
	must.True(t, changed)
	_, unreferenced := p.ReconcileHead(lossUpdate.Head)
	must.Eq(t, []Version{update.List.Version}, unreferenced)
	_, changed, _ = p.MarkLost(1, []structs.SampleID{update.List.Entries[0].ID})
	must.False(t, changed)
	supplement, err := p.ProposeStep(start, 1, bounds)
	must.NoError(t, err)
	must.Eq(t, 1, supplement.List.SupplementTo)
	must.Len(t, 1, supplement.List.Entries)
	must.SliceEmpty(t, supplement.Head.Shortfalls)
}
