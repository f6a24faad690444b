package step

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var start = time.Unix(1_700_000_000, 0)

func offerOf(number uint64, oldest structs.WeightVersion, born time.Time) Offer {
	return Offer{
		ID:      structs.SampleID{Origin: structs.Incarnation{Host: "a", Start: 1}, Number: number},
		Oldest:  oldest,
		Born:    born,
		Holders: [HolderCount]structs.HostName{"a", "b"},
	}
}

func ownedPool() *Pool {
	return NewPool(Head{}.TakeOver(Owner{Incarnation: structs.Incarnation{Host: "a", Start: 1}}), nil)
}

func TestPool_StalenessAtTheVeryBound(t *testing.T) {
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
			p := ownedPool()
			p.Offer(start, bounds.MaxAge, []Offer{offerOf(1, c.oldest, start)})
			_, err := p.ProposeStep(start.Add(c.age), 7, bounds)
			must.Eq(t, c.dropped, p.DropCounts())
			must.Eq(t, c.dropped == DropCounts{}, err == nil)
		})
	}
}

func TestPool_FloorOutlivesARaisedAge(t *testing.T) {
	p, now := ownedPool(), start
	bounds := Bounds{MaxVersionLag: 1, MaxAge: time.Minute, StepSamples: 1}
	for number := range uint64(minKept + 1) {
		p.Offer(now, bounds.MaxAge, []Offer{offerOf(number, 1, now)})
		made, err := p.ProposeStep(now, 1, bounds)
		must.NoError(t, err)
		verdict, _ := p.ReconcileHead(made.Head)
		must.Eq(t, Committed, verdict)
		now = now.Add(2 * time.Minute)
	}
	_, err := p.Find(1)
	must.Eq(t, result.StepForgotten, result.CodeOf(err))
	standings := p.Offer(now, 24*time.Hour, []Offer{offerOf(0, 1, start), offerOf(1, 1, start.Add(2*time.Minute))})
	must.Eq(t, []SampleStatus{{State: SampleStale}, {State: SampleSealed, Step: 2}}, standings)
}

func TestPool_DebtIsPaidByTheNextStep(t *testing.T) {
	p := ownedPool()
	bounds := Bounds{MaxVersionLag: 1, MaxAge: time.Minute, StepSamples: 2}
	for number := range uint64(3) {
		p.Offer(start, bounds.MaxAge, []Offer{offerOf(number, 1, start)})
	}
	made, err := p.ProposeStep(start, 1, bounds)
	must.NoError(t, err)
	p.ReconcileHead(made.Head)
	lost, changed, err := p.MarkLost(1, []structs.SampleID{made.List.Entries[0].ID})
	must.NoError(t, err)
	must.True(t, changed)
	_, unused := p.ReconcileHead(lost.Head)
	must.Eq(t, []Version{made.List.Version}, unused)
	_, changed, _ = p.MarkLost(1, []structs.SampleID{made.List.Entries[0].ID})
	must.False(t, changed)
	supplement, err := p.ProposeStep(start, 1, bounds)
	must.NoError(t, err)
	must.Eq(t, 1, supplement.List.SupplementTo)
	must.Len(t, 1, supplement.List.Entries)
	must.SliceEmpty(t, supplement.Head.Shortfalls)
}
