package tokenbucket

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestBucket_Take(t *testing.T) {
	var b Bucket
	b.SetRate(start, 2, 1)
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
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		var b Bucket
		now := start
		b.SetRate(now, rate, burst)
		var sent []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			patience := time.Duration(rapid.IntRange(0, 500).Draw(t, "patience")) * time.Millisecond
			if wait, ok := b.Take(now, patience); ok {
				sent = append(sent, now.Add(wait))
			}
		}
		allowed := rate + burst + 1
		if most := mostWithinSecond(sent); float64(most) > allowed {
			t.Fatalf("%d requests in a second, %v are allowed", most, allowed)
		}
	})
}

// mostWithinSecond returns the largest number of times within a second.
func mostWithinSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	first, most := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
