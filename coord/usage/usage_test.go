package usage_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/usage"
)

var rules = usage.Rules{Length: 5 * time.Second, Due: 10 * time.Second}

// store is the record in the store. Its revision counts the writes.
type store struct {
	record   *usage.Record
	revision int
}

// holder is one tenure, with the revision that it has read.
type holder struct {
	book     *usage.Book
	revision int
}

// play makes one step of a holder. fault drops the step's reply, or keeps it from the
// store if it is even; a dropped write takes effect nevertheless.
func (h *holder) play(s *store, now time.Time, counts usage.Counts, fault int, report func(usage.Window, usage.Counts) bool) usage.StepKind {
	step := h.book.Next(now, true)
	switch step.Kind {
	case usage.Load:
		if fault > 0 {
			h.book.StoreFailed(now)
			break
		}
		h.revision = s.revision
		h.book.Loaded(s.record, now)
	case usage.Gather:
		gathered := make(map[usage.Window]usage.Counts)
		for window := step.From; window <= step.To; window++ {
			gathered[window] = counts
		}
		h.book.Gathered(gathered, []string{"a"}, fault == 0, now)
	case usage.Decide:
		switch {
		case fault > 0 && fault%2 == 0:
			h.book.StoreFailed(now)
		case s.revision != h.revision:
			h.book.Contested()
		default:
			s.revision++
			s.record = &step.Record
			if fault > 0 {
				h.book.StoreFailed(now)
				break
			}
			h.revision = s.revision
			h.book.Decided(step.Record)
		}
	case usage.Report:
		h.book.Reported(step.From, report(step.From, step.Counts) && fault == 0, now)
	}
	return step.Kind
}

// TestBook_OneSetOfCounts plays holders that take turns, also while an earlier one goes on,
// with lost replies and counts that differ at each gathering. All reports of a window must
// have the same counts.
func TestBook_OneSetOfCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, seen := &store{}, make(map[usage.Window]int64)
		holders := []*holder{{book: rules.NewBook()}}
		now := rules.StartOf(1000)
		for step := range rapid.IntRange(10, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				holders = append(holders, &holder{book: rules.NewBook()})
			}
			active := holders[rapid.IntRange(max(0, len(holders)-2), len(holders)-1).Draw(t, "holder")]
			fault := max(0, rapid.IntRange(-6, 2).Draw(t, "fault"))
			active.play(s, now, usage.Counts{"w": int64(step)}, fault, func(window usage.Window, counts usage.Counts) bool {
				if before, ok := seen[window]; ok {
					must.Eq(t, before, counts["w"])
				}
				seen[window] = counts["w"]
				return true
			})
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// TestBook_AllWindowsInTime plays one holder without faults. Each window must be reported
// within the time in which it is due.
func TestBook_AllWindowsInTime(t *testing.T) {
	s, h := &store{}, &holder{book: rules.NewBook()}
	reported := make(map[usage.Window]bool)
	start := rules.StartOf(1000)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		h.play(s, now, usage.Counts{"w": 1}, 0, func(window usage.Window, _ usage.Counts) bool {
			must.False(t, reported[window])
			must.Less(t, rules.Due, now.Sub(rules.EndOf(window)))
			reported[window] = true
			return true
		})
	}
	for window := usage.Window(1000); window < 1011; window++ {
		must.True(t, reported[window])
	}
	must.LessEq(t, 2, len(s.record.Decided))
}

// TestBook_MissingDaemon checks that a daemon which never answers does not keep a window
// from being reported in time.
func TestBook_MissingDaemon(t *testing.T) {
	s, h := &store{}, &holder{book: rules.NewBook()}
	var late []time.Duration
	start := rules.StartOf(1000)
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(20 * time.Millisecond) {
		if step := h.book.Next(now, true); step.Kind == usage.Gather {
			h.book.Gathered(map[usage.Window]usage.Counts{step.From: {"w": 1}}, nil, false, now)
			continue
		}
		h.play(s, now, nil, 0, func(window usage.Window, _ usage.Counts) bool {
			late = append(late, now.Sub(rules.EndOf(window)))
			return true
		})
	}
	must.GreaterEq(t, 5, len(late))
	for _, after := range late[2:] {
		must.Less(t, rules.Due, after)
	}
}

// TestBook_PlatformAway checks that windows which could not be reported are reported later,
// with the newest ones also having their turn meanwhile.
func TestBook_PlatformAway(t *testing.T) {
	s, h := &store{}, &holder{book: rules.NewBook()}
	start := rules.StartOf(1000)
	reported, isAway := make(map[usage.Window]bool), true
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(20 * time.Millisecond) {
		isAway = now.Before(start.Add(40 * time.Second))
		h.play(s, now, usage.Counts{"w": 1}, 0, func(window usage.Window, _ usage.Counts) bool {
			reported[window] = !isAway
			return !isAway
		})
	}
	for window := usage.Window(999); window < 1011; window++ {
		must.True(t, reported[window], must.Sprintf("window %d", window))
	}
}

// TestBook_NewHolder checks that a successor decides before it may report, and that it then
// reports the windows that are still in time before those that may have been reported.
func TestBook_NewHolder(t *testing.T) {
	s := &store{record: &usage.Record{Last: 999, Decided: map[usage.Window]usage.Counts{997: {"w": 1}, 998: {"w": 1}}}}
	h := &holder{book: rules.NewBook()}
	now := rules.EndOf(1000).Add(time.Second)
	for {
		step := h.book.Next(now, false)
		must.NotEq(t, usage.Report, step.Kind)
		if step.Kind == usage.Wait {
			break
		}
		h.play(s, now, usage.Counts{"w": 2}, 0, nil)
	}
	var reported []usage.Window
	for h.book.Next(now, true).Kind == usage.Report {
		h.play(s, now, nil, 0, func(window usage.Window, _ usage.Counts) bool {
			reported = append(reported, window)
			return true
		})
	}
	must.Eq(t, []usage.Window{1000, 997, 998}, reported)
}

// TestMeter_Windows checks that windows neither overlap nor leave a gap, and that taking
// everything empties the meter.
func TestMeter_Windows(t *testing.T) {
	meter := usage.NewMeter(rules.KeepTime())
	for i := range 1000 {
		meter.Add(usage.Start{At: time.Duration(i) * 17 * time.Millisecond, Workspace: "w", Count: 1})
	}
	var sum int64
	for from := time.Duration(0); from < 20*time.Second; from += 5 * time.Second {
		sum += meter.Sum(from, from+5*time.Second)["w"]
	}
	must.Eq(t, 1000, sum)
	must.SliceNotEmpty(t, meter.TakeAll())
	must.Eq(t, usage.Counts{}, meter.Sum(0, time.Hour))
}

// TestMeter_Bounded checks that a flood of starts does not grow the memory without bound,
// and that the newest counts are kept.
func TestMeter_Bounded(t *testing.T) {
	meter := usage.NewMeter(rules.KeepTime())
	for i := range 200_000 {
		meter.Add(usage.Start{At: time.Duration(i) * 10 * time.Millisecond, Workspace: "w", Count: 1})
	}
	must.Eq(t, 500, meter.Sum(1995*time.Second, 2000*time.Second)["w"])
	must.LessEq(t, 50_000, len(meter.TakeAll()))
}

func TestMedian(t *testing.T) {
	must.Eq(t, 0, usage.Median(nil))
	must.Eq(t, time.Millisecond, usage.Median([]time.Duration{2 * time.Second, 0, time.Millisecond}))
	must.True(t, usage.IsWrong(-2*time.Second))
	must.False(t, usage.IsWrong(100*time.Millisecond))
}
