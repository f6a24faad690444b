package hedge_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/hedge"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// TestAccount_LimitOverDaemons checks that hedges stay within the share of the requests of
// all daemons together, however daemons split their counts and give them to each other.
func TestAccount_LimitOverDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 0.1
		now := time.Unix(1, 0)
		accounts := make([]*hedge.Account, 4)
		for i := range accounts {
			accounts[i] = hedge.NewAccount(share)
		}
		requests, hedges := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			account := accounts[rapid.IntRange(0, 3).Draw(t, "daemon")]
			workspace := structs.WorkspaceName(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				count := rapid.IntRange(1, 30).Draw(t, "count")
				requests += count
				account.Add(now, "desk", hedge.Tallies{workspace: {Requests: float64(count)}})
			case 1:
				if account.Take(now, "desk", workspace, rapid.Bool().Draw(t, "accepted")) == hedge.Allowed {
					hedges++
				}
			case 2:
				part := rapid.Float64Range(0, 1).Draw(t, "part")
				accounts[0].Add(now, "desk", account.Split(now, "desk", part))
			case 3:
				account.Split(now, "desk", 1) // The daemon ends.
			}
			if float64(hedges) > share*float64(requests)+1e-6 {
				t.Fatalf("%d hedges of %d requests", hedges, requests)
			}
		}
	})
}

// TestAccount_AcceptedWork checks that calls for accepted work leave a part of the limit
// to callers.
func TestAccount_AcceptedWork(t *testing.T) {
	account, now := hedge.NewAccount(0.1), time.Unix(1, 0)
	account.Add(now, "desk", hedge.Tallies{"": {Requests: 100}})
	taken := 0
	for account.Take(now, "desk", "", true) == hedge.Allowed {
		taken++
	}
	must.Eq(t, 6, taken)
	must.Eq(t, hedge.Allowed, account.Take(now, "desk", "", false))
}

// TestDelays_SlowServers checks that the responses of some slow servers do not raise the
// delay to their times, and that old responses are forgotten.
func TestDelays_SlowServers(t *testing.T) {
	delays, now := hedge.NewDelays(0.05), time.Unix(1, 0)
	key := hedge.Key{Service: "desk", IsAccepted: true}
	_, isKnown := delays.Delay(now, key)
	must.False(t, isKnown)
	for i := range 100 {
		latency := 20 * time.Millisecond
		if i%5 == 0 {
			latency = time.Second
		}
		delays.Observe(now, key, latency)
	}
	delay, isKnown := delays.Delay(now, key)
	must.True(t, isKnown)
	must.Between(t, 20*time.Millisecond, delay, 70*time.Millisecond)
	now = now.Add(5 * time.Minute)
	for range 100 {
		delays.Observe(now, key, 200*time.Millisecond)
	}
	delay, _ = delays.Delay(now, key)
	must.Greater(t, 200*time.Millisecond, delay)
}

// TestDelays_SlowZone checks that a zone counts as slow while many of its responses are.
func TestDelays_SlowZone(t *testing.T) {
	delays := hedge.NewDelays(0.05)
	for range 10 {
		delays.RecordZone("desk", "a", true)
		delays.RecordZone("desk", "b", false)
	}
	must.True(t, delays.IsZoneSlow("desk", "a"))
	must.False(t, delays.IsZoneSlow("desk", "b"))
	for range 20 {
		delays.RecordZone("desk", "a", false)
	}
	must.False(t, delays.IsZoneSlow("desk", "a"))
}

// TestCheck checks which requests may be hedged at all.
func TestCheck(t *testing.T) {
	good := hedge.Request{Repeatable: true, Attempts: 1, MaxAttempts: 2, Remaining: time.Second, Usual: 50 * time.Millisecond}
	must.Eq(t, hedge.Allowed, hedge.Check(good))
	once := good
	once.Repeatable = false
	must.Eq(t, hedge.RefusedByKind, hedge.Check(once))
	used := good
	used.Attempts = 2
	must.Eq(t, hedge.RefusedByAttempts, hedge.Check(used))
	late := good
	late.Remaining = 10 * time.Millisecond
	must.Eq(t, hedge.RefusedByDeadline, hedge.Check(late))
}

// TestForecast_IsWhatTakeDecides asks before each hedge, and checks that asking is free.
func TestForecast_IsWhatTakeDecides(t *testing.T) {
	asked, plain := hedge.NewAccount(0.1), hedge.NewAccount(0.1)
	now := time.Unix(1000, 0)
	allowed := 0
	for i := range 200 {
		now = now.Add(300 * time.Millisecond)
		for range 3 {
			_, _ = asked.Forecast(now, "judge", "north", i%2 == 0)
		}
		forecast, _ := asked.Forecast(now, "judge", "north", i%2 == 0)
		for _, account := range []*hedge.Account{asked, plain} {
			account.Add(now, "judge", hedge.Tallies{"north": {Requests: 1}})
		}
		must.Eq(t, plain.Take(now, "judge", "north", i%2 == 0), forecast)
		must.Eq(t, forecast, asked.Take(now, "judge", "north", i%2 == 0))
		if forecast == hedge.Allowed {
			allowed++
		}
	}
	must.Positive(t, allowed)
	must.Eq(t, plain.Share(now, "judge"), asked.Share(now, "judge"))
}
