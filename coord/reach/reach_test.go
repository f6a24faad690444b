package reach

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func cutOff(t *testing.T, d *Detector, ms int) {
	t.Helper()
	must.False(t, d.RecordFailure(at(ms), "a", 9))
	must.True(t, d.RecordFailure(at(ms), "b", 9))
	must.True(t, d.RecordProbes(at(ms), 4, 0))
	must.Eq(t, CutOff, d.State())
}

func TestDetector_OneServerDown(t *testing.T) {
	var d Detector
	for i := range 20 {
		must.False(t, d.RecordFailure(at(i), "a", 9))
	}
	must.Eq(t, Reachable, d.State())
}

func TestDetector_OnlyServer(t *testing.T) {
	var d Detector
	must.True(t, d.RecordFailure(at(0), "a", 1))
}

func TestDetector_FailuresLongApart(t *testing.T) {
	var d Detector
	must.False(t, d.RecordFailure(at(0), "a", 9))
	must.False(t, d.RecordFailure(at(2500), "b", 9))
	d.RecordReached()
	must.False(t, d.RecordFailure(at(2600), "c", 9))
}

func TestDetector_ProbeRefutes(t *testing.T) {
	var d Detector
	d.RecordFailure(at(0), "a", 9)
	must.True(t, d.RecordFailure(at(0), "b", 9))
	must.False(t, d.RecordProbes(at(1), 4, 1))
	must.Eq(t, Reachable, d.State())
	d.RecordFailure(at(2), "a", 9)
	must.False(t, d.RecordFailure(at(3), "b", 9))
	must.True(t, d.RecordFailure(at(1100), "b", 9))
}

func TestDetector_Restored(t *testing.T) {
	var d Detector
	cutOff(t, &d, 0)
	must.False(t, d.RecordProbes(at(500), 4, 4))
	must.False(t, d.RecordProbes(at(1000), 4, 0))
	must.False(t, d.RecordProbes(at(1500), 4, 4))
	must.True(t, d.RecordProbes(at(2000), 4, 4))
	must.Eq(t, Reachable, d.State())
}

// TestDetector_MostServersDown lets few of many servers come back after all were down.
func TestDetector_MostServersDown(t *testing.T) {
	var d Detector
	cutOff(t, &d, 0)
	must.False(t, d.RecordProbes(at(500), 4, 1))
	must.True(t, d.RecordProbes(at(1000), 4, 1))
}

// TestDetector_Flapping cuts the links again soon after they were restored. The daemon
// must need more evidence each time.
func TestDetector_Flapping(t *testing.T) {
	var d Detector
	now := 0
	for _, needed := range []int{2, 4, 8, 8} {
		cutOff(t, &d, now)
		rounds := 0
		for d.State() == CutOff {
			now += 500
			d.RecordProbes(at(now), 2, 2)
			rounds++
		}
		must.Eq(t, needed, rounds)
	}
	now += 20000
	cutOff(t, &d, now)
	d.RecordProbes(at(now), 2, 2)
	must.True(t, d.RecordProbes(at(now), 2, 2))
}
