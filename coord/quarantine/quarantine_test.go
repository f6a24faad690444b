package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var epoch = time.Unix(1000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func crash(server string, seconds int, suspects ...Fingerprint) Crash {
	return Crash{Server: structs.HostName(server), At: at(seconds), Suspects: suspects}
}

const poison, innocent, other Fingerprint = 1, 2, 3

func TestTracker_SecondCrash(t *testing.T) {
	tracker := NewTracker()
	must.SliceEmpty(t, tracker.RecordCrash(at(0), crash("a", 0, poison, innocent)))
	must.MapLen(t, 2, tracker.View().Suspects)
	must.Eq(t, []Fingerprint{poison}, tracker.RecordCrash(at(10), crash("b", 10, poison, other)))
	must.MapEmpty(t, tracker.View().Suspects)
	must.Eq(t, map[Fingerprint]bool{poison: true}, tracker.View().Quarantined)
}

func TestTracker_MergesReports(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(at(0), crash("a", 0, poison))
	must.SliceEmpty(t, tracker.RecordCrash(at(1), crash("a", 1, poison, innocent)))
	must.MapLen(t, 2, tracker.View().Suspects)
}

func TestTracker_AnswerClears(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(at(0), crash("a", 0, innocent))
	must.True(t, tracker.RecordAnswer(at(1), innocent))
	must.SliceEmpty(t, tracker.RecordCrash(at(20), crash("b", 20, innocent)))
	must.False(t, tracker.RecordAnswer(at(21), other))
	// The answer arrived before the crash was confirmed.
	must.SliceEmpty(t, tracker.RecordCrash(at(22), crash("c", 20, other)))
	must.MapNotContainsKey(t, tracker.View().Suspects, other)
}

func TestTracker_TieNeedsThirdCrash(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(at(0), crash("a", 0, poison, innocent))
	must.SliceEmpty(t, tracker.RecordCrash(at(10), crash("b", 10, poison, innocent)))
	must.Eq(t, []Fingerprint{poison}, tracker.RecordCrash(at(20), crash("c", 20, poison)))
	must.MapNotContainsKey(t, tracker.View().Suspects, innocent)
}

func TestTracker_Outage(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordCrash(at(0), crash("a", 0, innocent, 10))
	tracker.RecordCrash(at(0), crash("b", 0, innocent, 11))
	must.MapContainsKey(t, tracker.View().Quarantined, innocent)
	for i := range 4 {
		tracker.RecordCrash(at(1), crash(fmt.Sprint("c", i), 1, Fingerprint(20+i)))
	}
	must.MapEmpty(t, tracker.View().Quarantined)
	must.MapEmpty(t, tracker.View().Suspects)
}

func TestTracker_OneRequestOnManyServers(t *testing.T) {
	tracker := NewTracker()
	for i := range 5 {
		tracker.RecordCrash(at(0), crash(fmt.Sprint("a", i), 0, poison, Fingerprint(100+i)))
	}
	must.Eq(t, map[Fingerprint]bool{poison: true}, tracker.View().Quarantined)
}

func TestTracker_RepeatedQuarantine(t *testing.T) {
	tracker := NewTracker()
	tracker.Quarantine(at(0), poison)
	end := int(InitialQuarantine.Seconds())
	tracker.Expire(at(end))
	must.SliceEmpty(t, tracker.Quarantined())
	must.Eq(t, []Fingerprint{poison}, tracker.RecordCrash(at(end), crash("a", end, poison, innocent)))
	tracker.Expire(at(2 * end))
	must.Eq(t, []Fingerprint{poison}, tracker.Quarantined())
	tracker.Expire(at(3 * end))
	must.SliceEmpty(t, tracker.Quarantined())
}

func TestTracker_Expiry(t *testing.T) {
	tracker := NewTracker()
	for i := range 5 * answerSweepSize {
		tracker.RecordAnswer(at(i), Fingerprint(1000+i))
	}
	must.LessEq(t, answerSweepSize, len(tracker.answeredAt))
	tracker = NewTracker()
	tracker.RecordCrash(at(0), crash("a", 0, poison))
	tracker.Quarantine(at(0), other)
	late := at(0).Add(InitialQuarantine + time.Second)
	tracker.Expire(late)
	must.MapEmpty(t, tracker.View().Suspects)
	must.SliceEmpty(t, tracker.Quarantined())
}

// TestTracker_FindsPoison mixes a request that crashes its server with innocent
// ones. Like the balancer, it never puts two suspects on one server. Only the
// poison must be quarantined, after at most two crashes.
func TestTracker_FindsPoison(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tracker := NewTracker()
		crashes := 0
		for !tracker.View().Quarantined[poison] {
			crashes++
			must.LessEq(r, quarantineThreshold, crashes)
			suspects := []Fingerprint{poison}
			for i := range rapid.IntRange(0, 20).Draw(r, "shared") {
				f := Fingerprint(crashes*1000 + i)
				if !tracker.View().Suspects[f] {
					suspects = append(suspects, f)
				}
			}
			tracker.RecordCrash(at(60*crashes), crash(fmt.Sprint("s", crashes), 60*crashes, suspects...))
		}
		must.MapLen(r, 1, tracker.View().Quarantined)
		must.MapEmpty(r, tracker.View().Suspects)
	})
}

func TestUnconfirmedCrashes(t *testing.T) {
	unconfirmed := NewUnconfirmedCrashes()
	must.True(t, unconfirmed.AddSuspect(at(0), "a", poison))
	must.False(t, unconfirmed.AddSuspect(at(1), "a", innocent))
	got, ok := unconfirmed.Remove("a")
	must.True(t, ok)
	must.Eq(t, crash("a", 0, poison, innocent), got)
	_, ok = unconfirmed.Remove("a")
	must.False(t, ok)
	must.NotEq(t, FingerprintOf("ab", "c"), FingerprintOf("a", "bc"))
}
