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
	bounds := Bounds{Versions: 2, Age: time.Minute, Samples: 1}
	for name, c := range map[string]struct {
		oldest  structs.WeightVersion
		age     time.Duration
		dropped Dropped
	}{
		"both at the bound":          {oldest: 5, age: time.Minute},
		"one version over":           {oldest: 4, age: 0, dropped: Dropped{ByVersion: 1}},
		"one nanosecond over":        {oldest: 7, age: time.Minute + 1, dropped: Dropped{ByAge: 1}},
		"newer than the trainer has": {oldest: 9, age: 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := ownedPool()
			p.Offer(start, bounds.Age, []Offer{offerOf(1, c.oldest, start)})
			_, err := p.Propose(start.Add(c.age), 7, bounds)
			must.Eq(t, c.dropped, p.Dropped())
			must.Eq(t, c.dropped == Dropped{}, err == nil)
		})
	}
}

func TestPool_FloorOutlivesARaisedAge(t *testing.T) {
	p, now := ownedPool(), start
	bounds := Bounds{Versions: 1, Age: time.Minute, Samples: 1}
	for number := range uint64(minKept + 1) {
		p.Offer(now, bounds.Age, []Offer{offerOf(number, 1, now)})
		made, err := p.Propose(now, 1, bounds)
		must.NoError(t, err)
		verdict, _ := p.Commit(made.Head)
		must.Eq(t, Committed, verdict)
		now = now.Add(2 * time.Minute)
	}
	_, err := p.Find(1)
	must.Eq(t, result.StepForgotten, result.CodeOf(err))
	standings := p.Offer(now, 24*time.Hour, []Offer{offerOf(0, 1, start), offerOf(1, 1, start.Add(2*time.Minute))})
	must.Eq(t, []Standing{{State: Stale}, {State: Sealed, Step: 2}}, standings)
}

func TestPool_DebtIsPaidByTheNextStep(t *testing.T) {
	p := ownedPool()
	bounds := Bounds{Versions: 1, Age: time.Minute, Samples: 2}
	for number := range uint64(3) {
		p.Offer(start, bounds.Age, []Offer{offerOf(number, 1, start)})
	}
	made, err := p.Propose(start, 1, bounds)
	must.NoError(t, err)
	p.Commit(made.Head)
	lost, changed, err := p.Lose(1, []structs.SampleID{made.List.Entries[0].ID})
	must.NoError(t, err)
	must.True(t, changed)
	_, unused := p.Commit(lost.Head)
	must.Eq(t, []Version{made.List.Version}, unused)
	_, changed, _ = p.Lose(1, []structs.SampleID{made.List.Entries[0].ID})
	must.False(t, changed)
	supplement, err := p.Propose(start, 1, bounds)
	must.NoError(t, err)
	must.Eq(t, 1, supplement.List.Of)
	must.Len(t, 1, supplement.List.Entries)
	must.SliceEmpty(t, supplement.Head.Owed)
}
