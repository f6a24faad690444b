package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/tokenbucket"
)

var start = time.Unix(1000, 0)

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
			own := make([]tokenbucket.Bucket, fleet.daemons)
			var sent []time.Time
			for now := start; now.Before(start.Add(length)); now = now.Add(step) {
				elapsed := now.Sub(start)
				if elapsed == 12*time.Second {
					shared = NewShared()
				}
				isReached := elapsed < 12*time.Second || elapsed >= 14*time.Second
				for i := range own {
					if random.Float64() >= fleet.perS*step.Seconds() {
						continue
					}
					take := func() (time.Duration, bool) {
						return TakeOwn(&own[i], now, fleet.limit, fleet.daemons, 50*time.Millisecond)
					}
					if isReached {
						own[i] = tokenbucket.Bucket{}
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
