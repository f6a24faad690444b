package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// Parameters of a deterministic simulation of a retry storm. The servers of a
// zone complete a limited number of requests per tick; excess requests fail
// after they have used capacity. One of three zones is down from tick
// outageFrom to outageTo.
const (
	stormZones    = 3
	stormCapacity = 140 // requests that a zone completes per tick
	stormOffered  = 300 // new requests per tick
	stormTick     = 10 * time.Millisecond
	stormTicks    = 600
	outageFrom    = 100
	outageTo      = 200
)

// stormResult is the outcome of a simulated outage.
type stormResult struct {
	// peak is the highest number of attempts in a tick.
	peak int
	// offered and answered count the new and the completed requests after the
	// end of the outage.
	offered, answered int
}

type attempt struct {
	number int
	start  time.Time
}

// simulate runs the simulation. If budget is nil, each request is retried until
// it succeeds or has had MaxAttempts attempts.
func simulate(budget *Budget) stormResult {
	random := rand.New(rand.NewPCG(1, 2))
	pending := make(map[int][]attempt)
	var outcome stormResult
	for tick := range stormTicks {
		now := epoch.Add(time.Duration(tick) * stormTick)
		queue := pending[tick]
		delete(pending, tick)
		for range stormOffered {
			queue = append(queue, attempt{start: now})
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
			if next, ok := nextAttempt(now, tick, failed, budget, random); ok {
				failed.number++
				pending[next] = append(pending[next], failed)
			}
		}
	}
	return outcome
}

// goodput returns how many attempts of a tick succeed. Attempts over the
// capacity reduce it, as rejected and aborted requests cost the servers work.
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

// nextAttempt returns the tick in which a failed request is retried, if any.
func nextAttempt(now time.Time, tick int, failed attempt, budget *Budget, random *rand.Rand) (int, bool) {
	unlimited := Budget{tokens: 1, lastAccrual: now}
	charged := budget
	if charged == nil {
		charged = &unlimited
	}
	failure := Failure{Attempt: failed.number + 1, Code: result.BackendBroke, Idempotent: true}
	decision := Decide(now, failure, charged, random.Uint64())
	return tick + 1 + int(decision.Delay/stormTick), decision.Retry
}

// TestStorm_Recovery checks that without a retry budget the load stays above
// the capacity after the outage has ended, and that the budget prevents this.
func TestStorm_Recovery(t *testing.T) {
	without := simulate(nil)
	budget := NewBudget(epoch)
	with := simulate(&budget)
	t.Logf("without a budget: peak of %d attempts per tick, %d of %d requests answered after the outage", without.peak, without.answered, without.offered)
	t.Logf("with a budget: peak of %d attempts per tick, %d of %d requests answered after the outage", with.peak, with.answered, with.offered)
	must.LessEq(t, stormOffered*5/4, with.peak)
	must.Greater(t, stormOffered*2, without.peak)
	must.GreaterEq(t, with.offered*99/100, with.answered)
	must.Less(t, without.offered/2, without.answered)
}

// TestEjection_FailedRequests sends requests to ten servers in turn, one of
// which fails for a while, with and without ejection.
func TestEjection_FailedRequests(t *testing.T) {
	const (
		servers  = 10
		requests = 60_000
		interval = time.Millisecond
		failFrom = 10 * time.Second
		failTo   = 40 * time.Second
	)
	run := func(eject bool) (failed, diverted int) {
		var health [servers]Health
		random := rand.New(rand.NewPCG(3, 4))
		for i := range requests {
			now := time.Duration(i) * interval
			server := i % servers
			share, _ := health[server].Share(epoch.Add(now))
			if eject && random.IntN(fullShare) >= int(share) {
				diverted++
				continue
			}
			if server == 0 && now >= failFrom && now < failTo {
				failed++
				health[0].RecordFailure(epoch.Add(now), always)
				continue
			}
			health[server].RecordSuccess()
		}
		return failed, diverted
	}
	without, _ := run(false)
	with, diverted := run(true)
	t.Logf("requests sent to the failing server: %d without ejection, %d with ejection; %d sent to other servers instead", without, with, diverted)
	must.Eq(t, 3000, without)
	must.Less(t, 60, with)
	must.Less(t, 7000, diverted)
}
