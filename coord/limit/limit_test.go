package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

var epoch = time.Unix(0, 0)

// fill takes all places with look-ups.
func fill(t *testing.T, g *AdmissionController[int], count int) {
	t.Helper()
	for range count {
		must.Eq(t, ActionRun, g.Admit(epoch, Request{Workspace: "filler"}).Action)
	}
}

func queue(t *testing.T, g *AdmissionController[int], ask Request, value int) {
	t.Helper()
	verdict := g.Admit(epoch, ask)
	must.Eq(t, ActionQueue, verdict.Action)
	verdict.Waiter.Value = value
}

func TestGate_ServesClassesInOrder(t *testing.T) {
	g := NewAdmissionController[int](1)
	fill(t, g, 1)
	for class := structs.ClassCount - 1; class >= 0; class-- {
		queue(t, g, Request{Workspace: "a", Class: structs.Class(class)}, class)
	}
	for class := range structs.ClassCount {
		g.Release(structs.ClassLookup, time.Millisecond)
		w, runs := g.Dequeue(epoch)
		must.True(t, runs)
		must.Eq(t, class, w.Value)
	}
}

func TestGate_KeepsPlacesFreeForLookups(t *testing.T) {
	g := NewAdmissionController[int](10)
	for range 8 {
		must.Eq(t, ActionRun, g.Admit(epoch, Request{Workspace: "a", Class: structs.ClassRollout}).Action)
	}
	must.Eq(t, ActionQueue, g.Admit(epoch, Request{Workspace: "a", Class: structs.ClassRollout}).Action)
	must.Eq(t, ActionRun, g.Admit(epoch, Request{Workspace: "b", Class: structs.ClassLookup}).Action)
	must.Eq(t, ActionRun, g.Admit(epoch, Request{Workspace: "b", Class: structs.ClassLookup}).Action)
}

func TestGate_AgingServesLowClassesNowAndThen(t *testing.T) {
	g := NewAdmissionController[int](1)
	fill(t, g, 1)
	queue(t, g, Request{Workspace: "small", Class: structs.ClassInternal}, -1)
	for i := range 16 {
		verdict := g.Admit(epoch.Add(time.Second), Request{Workspace: "large", Class: structs.ClassDraft})
		verdict.Waiter.Value = i
	}
	served := -1
	for i := range agingTurn {
		g.Release(structs.ClassLookup, time.Millisecond)
		if w, _ := g.Dequeue(epoch); w.Value == -1 {
			served = i
		}
	}
	must.NotEq(t, -1, served)
}

func TestGate_SharesPlacesByWeight(t *testing.T) {
	g := NewAdmissionController[int](100)
	fill(t, g, 100)
	for range 200 {
		queue(t, g, Request{Workspace: "large", Class: structs.ClassRollout, Share: 1}, 0)
	}
	for range 20 {
		queue(t, g, Request{Workspace: "small", Class: structs.ClassRollout, Share: 3}, 1)
	}
	for range 21 {
		g.Release(structs.ClassLookup, time.Millisecond)
	}
	got := [2]int{}
	for range 24 {
		w, runs := g.Dequeue(epoch)
		if w == nil {
			g.Release(structs.ClassLookup, time.Millisecond)
			w, runs = g.Dequeue(epoch)
		}
		must.True(t, runs)
		got[w.Value]++
	}
	must.Between(t, 17, got[1], 19)
}

func TestGate_BoundsTheQueueOfAWorkspace(t *testing.T) {
	g := NewAdmissionController[int](1)
	fill(t, g, 1)
	for range minQueue {
		queue(t, g, Request{Workspace: "large", Class: structs.ClassRollout}, 0)
	}
	verdict := g.Admit(epoch, Request{Workspace: "large", Class: structs.ClassRollout})
	must.Eq(t, result.Overloaded, verdict.Code)
	must.Positive(t, verdict.RetryAfter)
	queue(t, g, Request{Workspace: "small", Class: structs.ClassRollout}, 1)
	verdict = g.Admit(epoch, Request{Workspace: "large", Class: structs.ClassRollout})
	must.Eq(t, result.FairShareExceeded, verdict.Code)
}

func TestGate_RefusesEarlyWhatWouldBeLate(t *testing.T) {
	g := NewAdmissionController[int](1)
	fill(t, g, 1)
	g.Release(structs.ClassLookup, 100*time.Millisecond)
	fill(t, g, 1)
	for range 6 {
		queue(t, g, Request{Workspace: "a", Deadline: epoch.Add(time.Second)}, 0)
	}
	verdict := g.Admit(epoch, Request{Workspace: "a", Deadline: epoch.Add(500 * time.Millisecond)})
	must.Eq(t, ActionRefuse, verdict.Action)
	must.Eq(t, result.Overloaded, verdict.Code)
	verdict = g.Admit(epoch, Request{Workspace: "a", Deadline: epoch})
	must.Eq(t, result.DueTimePassed, verdict.Code)
	g.Release(structs.ClassLookup, 100*time.Millisecond)
	w, runs := g.Dequeue(epoch.Add(2 * time.Second))
	must.NotNil(t, w)
	must.False(t, runs)
	must.Zero(t, g.Running())
}

// TestGate_NeverLosesAPlace drives a gate at random and checks that the places
// taken are those given and not returned, and that no queue passes its bound.
func TestGate_NeverLosesAPlace(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		capacity := rapid.IntRange(0, 5).Draw(r, "capacity")
		g := NewAdmissionController[int](capacity)
		var running []structs.Class
		var waiting []*Waiter[int]
		now := epoch
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(r, "step") {
			case 0:
				ask := Request{
					Workspace: structs.WorkspaceName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "workspace")),
					Class:     structs.Class(rapid.IntRange(0, structs.ClassCount-1).Draw(r, "class")),
					Deadline:  now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "due")) * time.Millisecond),
				}
				switch verdict := g.Admit(now, ask); verdict.Action {
				case ActionRun:
					running = append(running, ask.Class)
				case ActionQueue:
					waiting = append(waiting, verdict.Waiter)
				case ActionRefuse:
					must.NotEq(r, result.OK, verdict.Code)
				}
			case 1:
				if len(running) > 0 {
					g.Release(running[0], 20*time.Millisecond)
					running = running[1:]
				}
			case 2:
				if len(waiting) > 0 {
					g.Cancel(waiting[0])
					waiting = waiting[1:]
				}
			}
			for w, runs := g.Dequeue(now); w != nil; w, runs = g.Dequeue(now) {
				if runs {
					running = append(running, w.Request.Class)
				}
			}
			must.Eq(r, len(running), g.Running())
			must.LessEq(r, max(capacity, 0), g.Running())
			for class := range structs.ClassCount {
				must.LessEq(r, 2*max(minQueue, capacity*queueFactor), g.QueueLength(structs.Class(class)))
			}
		}
	})
}

func TestAdaptive_FollowsLatency(t *testing.T) {
	a := NewAdaptiveLimit(PlainTolerance)
	for range 50 {
		a.Observe(WindowStats{Finished: 100, TotalLatency: 100 * 10 * time.Millisecond, PeakInFlight: a.Limit()})
	}
	grown := a.Limit()
	must.Greater(t, InitialLimit, grown)
	// The server runs ten at once: what is over that waits.
	for range 30 {
		latency := 10 * time.Millisecond * time.Duration(max(10, a.Limit())) / 10
		a.Observe(WindowStats{Finished: 100, TotalLatency: 100 * latency, PeakInFlight: a.Limit()})
	}
	must.GreaterEq(t, 10, a.Limit())
	must.LessEq(t, grown/4, a.Limit())
}

// TestAdaptive_TakesASlowerServerForWhatItIs raises the latency whatever is in
// flight: the limit falls until that shows, and then recovers.
func TestAdaptive_TakesASlowerServerForWhatItIs(t *testing.T) {
	a := NewAdaptiveLimit(PlainTolerance)
	observe := func(windows int, latency time.Duration) int {
		lowest := MaxLimit
		for range windows {
			a.Observe(WindowStats{Finished: 100, TotalLatency: 100 * latency, PeakInFlight: a.Limit()})
			lowest = min(lowest, a.Limit())
		}
		return lowest
	}
	observe(20, time.Millisecond)
	must.LessEq(t, probePeak, observe(20, 50*time.Millisecond))
	observe(40, 50*time.Millisecond)
	must.GreaterEq(t, InitialLimit, a.Limit())
}

// TestAdaptive_LeavesEnginesRoomToBatch lets the latency grow with the streams
// that an engine batches.
func TestAdaptive_LeavesEnginesRoomToBatch(t *testing.T) {
	limits := make(map[float64]int)
	for _, tolerance := range []float64{PlainTolerance, EngineTolerance} {
		a := NewAdaptiveLimit(tolerance)
		a.Observe(WindowStats{Finished: 100, TotalLatency: 100 * 10 * time.Millisecond, PeakInFlight: 1})
		for range 100 {
			latency := 10*time.Millisecond + time.Duration(a.Limit())*time.Millisecond
			a.Observe(WindowStats{Finished: 100, TotalLatency: 100 * latency, PeakInFlight: a.Limit()})
		}
		limits[tolerance] = a.Limit()
	}
	must.Greater(t, limits[PlainTolerance]*3/2, limits[EngineTolerance])
}

func TestAdaptive_GrowsOnlyInUse(t *testing.T) {
	idle := NewAdaptiveLimit(PlainTolerance)
	idle.Observe(WindowStats{Finished: 10, TotalLatency: 10 * time.Millisecond, PeakInFlight: 3})
	must.Eq(t, InitialLimit, idle.Limit())
	idle.Observe(WindowStats{Failed: 1})
	must.Less(t, InitialLimit, idle.Limit())
}

func BenchmarkAdmit(b *testing.B) {
	g := NewAdmissionController[int](64)
	ask := Request{Workspace: "assessor", Class: structs.ClassLookup, Deadline: epoch.Add(time.Second), Share: 1}
	b.Run("free", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			g.Admit(epoch, ask)
			g.Release(ask.Class, time.Millisecond)
		}
	})
	b.Run("queued-and-canceled", func(b *testing.B) {
		full := NewAdmissionController[int](64)
		for range 64 {
			full.Admit(epoch, ask)
		}
		for range 200 {
			full.Admit(epoch, ask)
		}
		b.ReportAllocs()
		for b.Loop() {
			full.Cancel(full.Admit(epoch, ask).Waiter)
		}
	})
	b.Run("queued-and-served", func(b *testing.B) {
		full := NewAdmissionController[int](64)
		for range 64 {
			full.Admit(epoch, ask)
		}
		names := []structs.WorkspaceName{"a", "b", "c", "d", "e", "f", "g", "h"}
		for i := range 200 {
			full.Admit(epoch, Request{Workspace: names[i%8], Class: structs.ClassLookup})
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			full.Admit(epoch, Request{Workspace: names[i%8], Class: structs.ClassLookup})
			full.Release(structs.ClassLookup, time.Millisecond)
			full.Dequeue(epoch)
		}
	})
}
