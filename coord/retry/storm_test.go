package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// The simulation: zones whose servers answer a bounded count of requests in
// each tick; what is over it fails after having used a place. One of three
// zones is out for a while. It is deterministic and runs the decisions alone.
const (
	stormZones    = 3
	stormCapacity = 140 // requests that a zone answers in a tick
	stormOffered  = 300 // new requests in a tick
	stormTick     = 10 * time.Millisecond
	stormTicks    = 600
	outageFrom    = 100
	outageTo      = 200
)

// storm is the outcome of a simulated outage.
type storm struct {
	// peak is the highest count of attempts in a tick.
	peak int
	// answered and late count requests after the outage, from recoveredFrom.
	offered, answered int
}

type attempt struct {
	number int
	born   time.Time
}

// simulate runs the outage; budget nil means that each failure is tried again
// up to MaxAttempts times.
func simulate(budget *Budget) storm {
	random := rand.New(rand.NewPCG(1, 2))
	pending := make(map[int][]attempt)
	var outcome storm
	for tick := range stormTicks {
		now := epoch.Add(time.Duration(tick) * stormTick)
		queue := pending[tick]
		delete(pending, tick)
		for range stormOffered {
			queue = append(queue, attempt{born: now})
			if budget != nil {
				budget.Deposit(now)
			}
		}
		outcome.peak = max(outcome.peak, len(queue))
		if tick >= outageTo {
			outcome.offered += stormOffered
		}
		random.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
		answered := goodput(tick, len(queue))
		if tick >= outageTo {
			outcome.answered += answered
		}
		for _, failed := range queue[answered:] {
			if next, ok := again(now, tick, failed, budget, random); ok {
				failed.number++
				pending[next] = append(pending[next], failed)
			}
		}
	}
	return outcome
}

// goodput is how many of the attempts in a tick are answered. Attempts over
// the capacity cost the servers a part of it, as refusals and cut work do.
func goodput(tick, attempts int) int {
	zones := stormZones
	if tick >= outageFrom && tick < outageTo {
		zones--
	}
	capacity := zones * stormCapacity
	if attempts <= capacity {
		return attempts
	}
	return max(capacity/10, capacity-(attempts-capacity))
}

func again(now time.Time, tick int, failed attempt, budget *Budget, random *rand.Rand) (int, bool) {
	free := Budget{tokens: 1, seen: now}
	charged := budget
	if charged == nil {
		charged = &free
	}
	failure := Failure{Attempt: failed.number + 1, Code: result.BackendBroke, Idempotent: true}
	decision := Decide(now, failure, charged, random.Uint64())
	return tick + 1 + int(decision.Delay/stormTick), decision.Retry
}

func TestStorm_BudgetEndsWithTheOutage(t *testing.T) {
	without := simulate(nil)
	budget := NewBudget(epoch)
	with := simulate(&budget)
	t.Logf("without a budget: peak %d attempts in a tick, %d of %d answered after the outage", without.peak, without.answered, without.offered)
	t.Logf("with a budget: peak %d attempts in a tick, %d of %d answered after the outage", with.peak, with.answered, with.offered)
	must.LessEq(t, stormOffered*5/4, with.peak)
	must.Greater(t, stormOffered*2, without.peak)
	must.GreaterEq(t, with.offered*99/100, with.answered)
	must.Less(t, without.offered/2, without.answered)
}

// TestEjection_SparesRequestsTheFailingServer sends requests to ten servers in
// turn, one of which fails for a while, with and without ejection.
func TestEjection_SparesRequestsTheFailingServer(t *testing.T) {
	const (
		servers  = 10
		requests = 60_000
		every    = time.Millisecond
		failFrom = 10 * time.Second
		failTo   = 40 * time.Second
	)
	run := func(eject bool) (failed, lost int) {
		var health [servers]Health
		random := rand.New(rand.NewPCG(3, 4))
		for i := range requests {
			now := time.Duration(i) * every
			server := i % servers
			share, _ := health[server].Share(epoch.Add(now))
			if eject && random.IntN(fullShare) >= int(share) {
				lost++
				continue
			}
			if server == 0 && now >= failFrom && now < failTo {
				failed++
				health[0].RecordFailure(epoch.Add(now), always)
				continue
			}
			health[server].RecordSuccess()
		}
		return failed, lost
	}
	without, _ := run(false)
	with, moved := run(true)
	t.Logf("without ejection %d requests met the failing server, with it %d; %d went to other servers", without, with, moved)
	must.Eq(t, 3000, without)
	must.Less(t, 60, with)
	must.Less(t, 7000, moved)
}
