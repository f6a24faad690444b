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

// fill takes slots with look-ups.
func fill(t *testing.T, c *AdmissionController[int], count int) {
	t.Helper()
	for range count {
		must.Eq(t, ActionRun, c.Admit(epoch, Request{Workspace: "filler"}).Action)
	}
}

func enqueue(t *testing.T, c *AdmissionController[int], request Request, value int) {
	t.Helper()
	decision := c.Admit(epoch, request)
	must.Eq(t, ActionQueue, decision.Action)
	decision.Waiter.Value = value
}

func TestAdmissionController_ClassOrder(t *testing.T) {
	c := NewAdmissionController[int](1)
	fill(t, c, 1)
	for class := structs.ClassCount - 1; class >= 0; class-- {
		enqueue(t, c, Request{Workspace: "a", Class: structs.Class(class)}, class)
	}
	for class := range structs.ClassCount {
		c.Release(structs.ClassLookup, time.Millisecond)
		w, runs := c.Dequeue(epoch)
		must.True(t, runs)
		must.Eq(t, class, w.Value)
	}
}

func TestAdmissionController_LookupReserve(t *testing.T) {
	c := NewAdmissionController[int](10)
	for range 8 {
		must.Eq(t, ActionRun, c.Admit(epoch, Request{Workspace: "a", Class: structs.ClassRollout}).Action)
	}
	must.Eq(t, ActionQueue, c.Admit(epoch, Request{Workspace: "a", Class: structs.ClassRollout}).Action)
	must.Eq(t, ActionRun, c.Admit(epoch, Request{Workspace: "b", Class: structs.ClassLookup}).Action)
	must.Eq(t, ActionRun, c.Admit(epoch, Request{Workspace: "b", Class: structs.ClassLookup}).Action)
}

func TestAdmissionController_Aging(t *testing.T) {
	c := NewAdmissionController[int](1)
	fill(t, c, 1)
	enqueue(t, c, Request{Workspace: "small", Class: structs.ClassInternal}, -1)
	for i := range 16 {
		decision := c.Admit(epoch.Add(time.Second), Request{Workspace: "large", Class: structs.ClassDraft})
		decision.Waiter.Value = i
	}
	served := -1
	for i := range agingInterval {
		c.Release(structs.ClassLookup, time.Millisecond)
		if w, _ := c.Dequeue(epoch); w.Value == -1 {
			served = i
		}
	}
	must.NotEq(t, -1, served)
}

func TestAdmissionController_WeightedShares(t *testing.T) {
	c := NewAdmissionController[int](100)
	fill(t, c, 100)
	for range 200 {
		enqueue(t, c, Request{Workspace: "large", Class: structs.ClassRollout, Share: 1}, 0)
	}
	for range 20 {
		enqueue(t, c, Request{Workspace: "small", Class: structs.ClassRollout, Share: 3}, 1)
	}
	for range 21 {
		c.Release(structs.ClassLookup, time.Millisecond)
	}
	got := [2]int{}
	for range 24 {
		w, runs := c.Dequeue(epoch)
		if w == nil {
			c.Release(structs.ClassLookup, time.Millisecond)
			w, runs = c.Dequeue(epoch)
		}
		must.True(t, runs)
		got[w.Value]++
	}
	must.Between(t, 17, got[1], 19)
}

func TestAdmissionController_WorkspaceQueueBound(t *testing.T) {
	c := NewAdmissionController[int](1)
	fill(t, c, 1)
	for range minQueueBound {
		enqueue(t, c, Request{Workspace: "large", Class: structs.ClassRollout}, 0)
	}
	decision := c.Admit(epoch, Request{Workspace: "large", Class: structs.ClassRollout})
	must.Eq(t, result.Overloaded, decision.Code)
	must.Positive(t, decision.RetryAfter)
	enqueue(t, c, Request{Workspace: "small", Class: structs.ClassRollout}, 1)
	decision = c.Admit(epoch, Request{Workspace: "large", Class: structs.ClassRollout})
	must.Eq(t, result.FairShareExceeded, decision.Code)
}

func TestAdmissionController_DeadlineRefusal(t *testing.T) {
	c := NewAdmissionController[int](1)
	fill(t, c, 1)
	c.Release(structs.ClassLookup, 100*time.Millisecond)
	fill(t, c, 1)
	for range 6 {
		enqueue(t, c, Request{Workspace: "a", Deadline: epoch.Add(time.Second)}, 0)
	}
	decision := c.Admit(epoch, Request{Workspace: "a", Deadline: epoch.Add(500 * time.Millisecond)})
	must.Eq(t, ActionRefuse, decision.Action)
	must.Eq(t, result.Overloaded, decision.Code)
	decision = c.Admit(epoch, Request{Workspace: "a", Deadline: epoch})
	must.Eq(t, result.DueTimePassed, decision.Code)
	c.Release(structs.ClassLookup, 100*time.Millisecond)
	w, runs := c.Dequeue(epoch.Add(2 * time.Second))
	must.NotNil(t, w)
	must.False(t, runs)
	must.Zero(t, c.Running())
}

// TestAdmissionController_SlotAccounting runs random operations and checks that
// the slots in use are those granted and not released, and that no queue
// exceeds its bound.
func TestAdmissionController_SlotAccounting(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		capacity := rapid.IntRange(0, 5).Draw(r, "capacity")
		c := NewAdmissionController[int](capacity)
		var running []structs.Class
		var waiting []*Waiter[int]
		now := epoch
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(r, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(r, "step") {
			case 0:
				request := Request{
					Workspace: structs.WorkspaceName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "workspace")),
					Class:     structs.Class(rapid.IntRange(0, structs.ClassCount-1).Draw(r, "class")),
					Deadline:  now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "timeout")) * time.Millisecond),
				}
				switch decision := c.Admit(now, request); decision.Action {
				case ActionRun:
					running = append(running, request.Class)
				case ActionQueue:
					waiting = append(waiting, decision.Waiter)
				case ActionRefuse:
					must.NotEq(r, result.OK, decision.Code)
				}
			case 1:
				if len(running) > 0 {
					c.Release(running[0], 20*time.Millisecond)
					running = running[1:]
				}
			case 2:
				if len(waiting) > 0 {
					c.Cancel(waiting[0])
					waiting = waiting[1:]
				}
			}
			for w, runs := c.Dequeue(now); w != nil; w, runs = c.Dequeue(now) {
				if runs {
					running = append(running, w.Request.Class)
				}
			}
			must.Eq(r, len(running), c.Running())
			must.LessEq(r, max(capacity, 0), c.Running())
			for class := range structs.ClassCount {
				must.LessEq(r, 2*max(minQueueBound, capacity*queuedPerSlot), c.QueueLength(structs.Class(class)))
			}
		}
	})
}

func TestAdaptiveLimit_FollowsLatency(t *testing.T) {
	a := NewAdaptiveLimit(PlainTolerance)
	for range 50 {
		a.Observe(WindowStats{Finished: 100, TotalLatency: 100 * 10 * time.Millisecond, PeakInFlight: a.Limit()})
	}
	grown := a.Limit()
	must.Greater(t, InitialLimit, grown)
	// The server runs ten requests at once; the others wait.
	for range 30 {
		latency := 10 * time.Millisecond * time.Duration(max(10, a.Limit())) / 10
		a.Observe(WindowStats{Finished: 100, TotalLatency: 100 * latency, PeakInFlight: a.Limit()})
	}
	must.GreaterEq(t, 10, a.Limit())
	must.LessEq(t, grown/4, a.Limit())
}

// TestAdaptiveLimit_SlowerServer raises the latency regardless of the load. The
// limit drops for a probe and recovers, because the server itself is slower.
func TestAdaptiveLimit_SlowerServer(t *testing.T) {
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
	must.LessEq(t, probeInFlight, observe(20, 50*time.Millisecond))
	observe(40, 50*time.Millisecond)
	must.GreaterEq(t, InitialLimit, a.Limit())
}

// TestAdaptiveLimit_EngineTolerance lets the latency grow with the number of
// streams that an engine batches.
func TestAdaptiveLimit_EngineTolerance(t *testing.T) {
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

func TestAdaptiveLimit_IdleServer(t *testing.T) {
	idle := NewAdaptiveLimit(PlainTolerance)
	idle.Observe(WindowStats{Finished: 10, TotalLatency: 10 * time.Millisecond, PeakInFlight: 3})
	must.Eq(t, InitialLimit, idle.Limit())
	idle.Observe(WindowStats{Failed: 1})
	must.Less(t, InitialLimit, idle.Limit())
}

func BenchmarkAdmit(b *testing.B) {
	c := NewAdmissionController[int](64)
	request := Request{Workspace: "assessor", Class: structs.ClassLookup, Deadline: epoch.Add(time.Second), Share: 1}
	b.Run("free", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.Admit(epoch, request)
			c.Release(request.Class, time.Millisecond)
		}
	})
	b.Run("queued-and-canceled", func(b *testing.B) {
		full := NewAdmissionController[int](64)
		for range 64 {
			full.Admit(epoch, request)
		}
		for range 200 {
			full.Admit(epoch, request)
		}
		b.ReportAllocs()
		for b.Loop() {
			full.Cancel(full.Admit(epoch, request).Waiter)
		}
	})
	b.Run("queued-and-served", func(b *testing.B) {
		full := NewAdmissionController[int](64)
		for range 64 {
			full.Admit(epoch, request)
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
