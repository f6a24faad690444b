package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestBucket_Take(t *testing.T) {
	var b Bucket
	b.SetRate(start, 2)
	wait, ok := b.Take(start, 0)
	must.False(t, ok)
	must.Eq(t, 500*time.Millisecond, wait)
	_, ok = b.Take(start.Add(500*time.Millisecond), 0)
	must.True(t, ok)
	wait, ok = b.Take(start.Add(500*time.Millisecond), time.Second)
	must.True(t, ok)
	must.Eq(t, 500*time.Millisecond, wait)
	wait, ok = b.Take(start.Add(500*time.Millisecond), 900*time.Millisecond)
	must.False(t, ok)
	must.Eq(t, time.Second, wait)
}

// TestBucket_Rate takes tokens at any times and with any patience. In no second more
// requests may be sent than the rate and the burst allow.
func TestBucket_Rate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 50).Draw(t, "rate")
		var b Bucket
		now := start
		b.SetRate(now, rate)
		var sent []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			patience := time.Duration(rapid.IntRange(0, 500).Draw(t, "patience")) * time.Millisecond
			if wait, ok := b.Take(now, patience); ok {
				sent = append(sent, now.Add(wait))
			}
		}
		allowed := rate + max(minBurst, rate*burstTime.Seconds()) + 1
		if most := mostWithin(sent, time.Second); float64(most) > allowed {
			t.Fatalf("%d requests in a second, %v are allowed", most, allowed)
		}
	})
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	first, most := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestFleet_KeepsToLimit plays daemons that together want to send more than a server
// takes, and lose the one that hands out its requests for two seconds. In no four
// seconds may the server get more than one and a half times its limit, and 5 requests; it
// must get seven tenths of its limit.
func TestFleet_KeepsToLimit(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		window = 4 * time.Second
		length = 30 * time.Second
	)
	for _, fleet := range []struct {
		daemons int
		limit   float64
		perS    float64 // what each daemon wants to send
	}{{8, 1.9, 3}, {8, 6.9, 2}, {3, 40, 40}, {60, 2, 0.3}, {60, 120, 10}, {1100, 5, 0.1}} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			shared := NewShared()
			own := make([]Bucket, fleet.daemons)
			var sent []time.Time
			for now := start; now.Before(start.Add(length)); now = now.Add(step) {
				elapsed := now.Sub(start)
				if elapsed == 12*time.Second {
					shared = NewShared()
				}
				isReached := elapsed < 12*time.Second || elapsed >= 14*time.Second
				for i := range own {
					own[i].SetRate(now, OwnRate(fleet.limit, fleet.daemons))
					if random.Float64() >= fleet.perS*step.Seconds() {
						continue
					}
					take := func() (time.Duration, bool) { return own[i].Take(now, 50*time.Millisecond) }
					if isReached {
						own[i] = Bucket{}
						take = func() (time.Duration, bool) { return shared.Take(now, "s", fleet.limit, 50*time.Millisecond) }
					}
					if wait, ok := take(); ok {
						sent = append(sent, now.Add(wait))
					}
				}
			}
			must.LessEq(t, int(1.5*fleet.limit*window.Seconds())+5, mostWithin(sent, window))
			must.GreaterEq(t, 0.7*fleet.limit*length.Seconds(), float64(len(sent)))
		})
	}
}
