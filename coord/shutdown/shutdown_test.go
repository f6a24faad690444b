package shutdown

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestNewSchedule checks the order of the steps for any grace period, and that requests
// which end within five sixths of it are waited for with time to spare.
func TestNewSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(time.Second), int64(5*time.Minute)).Draw(t, "grace"))
		requested := time.Unix(0, 0)
		s := NewSchedule(requested, grace)
		for _, pair := range [][2]time.Time{
			{requested, s.UnreadyEnd}, {requested, s.HandoverAt}, {s.UnreadyEnd, s.DrainEnd}, {s.HandoverAt, s.DrainEnd},
			{s.DrainEnd, s.CloseAt}, {s.CloseAt, s.StopEnd}, {s.StopEnd, s.KillAt},
		} {
			must.True(t, pair[0].Before(pair[1]))
		}
		must.Eq(t, grace, s.KillAt.Sub(requested))
		expectedEnd := requested.Add(grace * 5 / 6)
		must.Less(t, s.DrainEnd.Sub(expectedEnd), grace/20)
		must.False(t, s.MayOutlast(expectedEnd))
		must.True(t, s.MayOutlast(requested.Add(grace)))
	})
}

// TestNewSchedule_UnreadyPeriod checks that the load balancer has time for two probes
// wherever the grace period leaves it.
func TestNewSchedule_UnreadyPeriod(t *testing.T) {
	requested := time.Unix(0, 0)
	for _, grace := range []time.Duration{4 * time.Second, 8 * time.Second, 20 * time.Second} {
		must.Eq(t, 3*time.Second, NewSchedule(requested, grace).UnreadyEnd.Sub(requested))
	}
}
