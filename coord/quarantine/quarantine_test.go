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

func TestBook_QuarantinesAfterTheSecondCrashAndClearsTheInnocent(t *testing.T) {
	b := NewTracker()
	must.SliceEmpty(t, b.RecordCrash(at(0), crash("a", 0, poison, innocent)))
	must.MapLen(t, 2, b.View().Suspects)
	must.Eq(t, []Fingerprint{poison}, b.RecordCrash(at(10), crash("b", 10, poison, other)))
	must.MapEmpty(t, b.View().Suspects)
	must.Eq(t, map[Fingerprint]bool{poison: true}, b.View().Quarantined)
}

func TestBook_ReportsOfOneCrashCountOnce(t *testing.T) {
	b := NewTracker()
	b.RecordCrash(at(0), crash("a", 0, poison))
	must.SliceEmpty(t, b.RecordCrash(at(1), crash("a", 1, poison, innocent)))
	must.MapLen(t, 2, b.View().Suspects)
}

func TestBook_AnswerClears(t *testing.T) {
	b := NewTracker()
	b.RecordCrash(at(0), crash("a", 0, innocent))
	must.True(t, b.RecordAnswer(at(1), innocent))
	must.SliceEmpty(t, b.RecordCrash(at(20), crash("b", 20, innocent)))
	must.False(t, b.RecordAnswer(at(21), other))
	// The answer was there before the crash was confirmed.
	must.SliceEmpty(t, b.RecordCrash(at(22), crash("c", 20, other)))
	must.MapNotContainsKey(t, b.View().Suspects, other)
}

func TestBook_TieWaitsForAThirdCrash(t *testing.T) {
	b := NewTracker()
	b.RecordCrash(at(0), crash("a", 0, poison, innocent))
	must.SliceEmpty(t, b.RecordCrash(at(10), crash("b", 10, poison, innocent)))
	must.Eq(t, []Fingerprint{poison}, b.RecordCrash(at(20), crash("c", 20, poison)))
	must.MapNotContainsKey(t, b.View().Suspects, innocent)
}

func TestBook_OutageQuarantinesNobody(t *testing.T) {
	b := NewTracker()
	b.RecordCrash(at(0), crash("a", 0, innocent, 10))
	b.RecordCrash(at(0), crash("b", 0, innocent, 11))
	must.MapContainsKey(t, b.View().Quarantined, innocent)
	for i := range 4 {
		b.RecordCrash(at(1), crash(fmt.Sprint("c", i), 1, Fingerprint(20+i)))
	}
	must.MapEmpty(t, b.View().Quarantined)
	must.MapEmpty(t, b.View().Suspects)
}

func TestBook_OneRequestOnManyServersIsNoOutage(t *testing.T) {
	b := NewTracker()
	for i := range 5 {
		b.RecordCrash(at(0), crash(fmt.Sprint("a", i), 0, poison, Fingerprint(100+i)))
	}
	must.Eq(t, map[Fingerprint]bool{poison: true}, b.View().Quarantined)
}

func TestBook_OneMoreCrashAfterAQuarantineIsEnough(t *testing.T) {
	b := NewTracker()
	b.Quarantine(at(0), poison)
	end := int(InitialQuarantine.Seconds())
	b.Expire(at(end))
	must.SliceEmpty(t, b.Quarantined())
	must.Eq(t, []Fingerprint{poison}, b.RecordCrash(at(end), crash("a", end, poison, innocent)))
	b.Expire(at(2 * end))
	must.Eq(t, []Fingerprint{poison}, b.Quarantined())
	b.Expire(at(3 * end))
	must.SliceEmpty(t, b.Quarantined())
}

func TestBook_Forgets(t *testing.T) {
	b := NewTracker()
	for i := range 5 * sweepAnswered {
		b.RecordAnswer(at(i), Fingerprint(1000+i))
	}
	must.LessEq(t, sweepAnswered, len(b.answered))
	b = NewTracker()
	b.RecordCrash(at(0), crash("a", 0, poison))
	b.Quarantine(at(0), other)
	late := at(0).Add(InitialQuarantine + time.Second)
	b.Expire(late)
	must.MapEmpty(t, b.View().Suspects)
	must.SliceEmpty(t, b.Quarantined())
}

// TestBook_FindsThePoison runs a poison among innocent requests, with suspects
// kept apart as the balancer does, and checks that only it is quarantined and
// that it crashed no more than two servers.
func TestBook_FindsThePoison(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewTracker()
		crashes := 0
		for !b.View().Quarantined[poison] {
			crashes++
			must.LessEq(r, quarantineAt, crashes)
			suspects := []Fingerprint{poison}
			for i := range rapid.IntRange(0, 20).Draw(r, "shared") {
				f := Fingerprint(crashes*1000 + i)
				if !b.View().Suspects[f] {
					suspects = append(suspects, f)
				}
			}
			b.RecordCrash(at(60*crashes), crash(fmt.Sprint("s", crashes), 60*crashes, suspects...))
		}
		must.MapLen(r, 1, b.View().Quarantined)
		must.MapEmpty(r, b.View().Suspects)
	})
}

func TestBreaks_GathersUntilSettled(t *testing.T) {
	bs := NewUnconfirmedCrashes()
	must.True(t, bs.AddSuspect(at(0), "a", poison))
	must.False(t, bs.AddSuspect(at(1), "a", innocent))
	got, ok := bs.Remove("a")
	must.True(t, ok)
	must.Eq(t, crash("a", 0, poison, innocent), got)
	_, ok = bs.Remove("a")
	must.False(t, ok)
	must.NotEq(t, FingerprintOf("ab", "c"), FingerprintOf("a", "bc"))
}
