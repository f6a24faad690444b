package step

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// daemon is an owner, or a former one that does not know it yet.
type daemon struct {
	pool *Pool
	// base is the revision that its attempts expect.
	base int
}

// flight is a write of the head that is on its way to the store.
type flight struct {
	expected int
	made     HeadUpdate
}

// machine runs owners against a store whose writes may come late, be lost or
// lose their answer. It checks that each step is written once and that no
// sample is in two steps.
type machine struct {
	now       time.Time
	holds     structs.WeightVersion
	bounds    Bounds
	samples   []Offer
	daemons   []*daemon
	flights   []flight
	head      Head
	revision  int
	segments  map[Version]SampleList
	steps     map[uint64][]structs.SampleID
	delivered map[structs.SampleID]uint64
	takeovers int
}

func newMachine() *machine {
	return &machine{
		now: start, holds: 5, bounds: Bounds{MaxVersionLag: 2, MaxAge: time.Minute, StepSamples: 1},
		segments:  make(map[Version]SampleList),
		steps:     make(map[uint64][]structs.SampleID),
		delivered: make(map[structs.SampleID]uint64),
	}
}

func (m *machine) anyDaemon(t *rapid.T) *daemon {
	if len(m.daemons) == 0 {
		t.Skip("nobody owns the steps")
	}
	return rapid.SampledFrom(m.daemons).Draw(t, "daemon")
}

// Sample makes a sample.
func (m *machine) Sample(t *rapid.T) {
	oldest := structs.WeightVersion(rapid.IntRange(1, int(m.holds)+1).Draw(t, "oldest"))
	born := m.now.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Second)
	m.samples = append(m.samples, offerOf(uint64(len(m.samples)), oldest, born))
}

// Offer offers samples, old and new, to an owner or a former one.
func (m *machine) Offer(t *rapid.T) {
	if len(m.samples) == 0 {
		t.Skip("no samples")
	}
	d := m.anyDaemon(t)
	from := rapid.IntRange(0, len(m.samples)-1).Draw(t, "from")
	d.pool.Offer(m.now, m.bounds.MaxAge, m.samples[from:])
}

// TakeOver makes a new owner from what is in the store.
func (m *machine) TakeOver(t *rapid.T) {
	m.takeovers++
	owner := Owner{Incarnation: structs.Incarnation{Host: "d", Start: uint64(m.takeovers)}}
	m.head = m.head.TakeOver(owner)
	m.revision++
	var lists []SampleList
	for _, segment := range m.head.Segments {
		list, ok := m.segments[segment.Version]
		if !ok {
			t.Fatalf("the head points to the missing segment %v", segment.Version)
		}
		lists = append(lists, list)
	}
	m.daemons = append(m.daemons, &daemon{pool: NewPool(m.head, lists), base: m.revision})
}

// Propose begins to seal a step.
func (m *machine) Propose(t *rapid.T) {
	d := m.anyDaemon(t)
	made, err := d.pool.ProposeStep(m.now, m.holds, m.bounds)
	if err != nil {
		t.Skip("not ready")
	}
	m.checkFresh(t, made.List)
	m.launch(d, made)
}

// Lose begins to mark a sample of a sealed step as lost.
func (m *machine) Lose(t *rapid.T) {
	d := m.anyDaemon(t)
	number := rapid.Uint64Range(1, 8).Draw(t, "step")
	list, err := d.pool.Find(number)
	if err != nil {
		t.Skip("no such step")
	}
	made, changed, err := d.pool.MarkLost(number, []structs.SampleID{list.Entries[0].ID})
	if err != nil || !changed {
		t.Skip("nothing to lose")
	}
	m.launch(d, made)
}

func (m *machine) launch(d *daemon, made HeadUpdate) {
	m.segments[made.List.Version] = made.List
	m.flights = append(m.flights, flight{expected: d.base, made: made})
}

// Land lets a write reach the store, late or not.
func (m *machine) Land(t *rapid.T) {
	if len(m.flights) == 0 {
		t.Skip("no writes")
	}
	i := rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight")
	landed := m.flights[i]
	m.flights = slices.Delete(m.flights, i, i+1)
	if landed.expected != m.revision {
		return
	}
	m.head = landed.made.Head
	m.revision++
	m.record(t, landed.made.List)
}

// ReadBack lets an owner settle its attempts by the head in the store.
func (m *machine) ReadBack(t *rapid.T) {
	d := m.anyDaemon(t)
	verdict, unused := d.pool.ReconcileHead(m.head)
	switch verdict {
	case Committed:
		d.base = m.revision
		for _, version := range unused {
			delete(m.segments, version)
		}
	case Superseded:
		m.daemons = slices.DeleteFunc(m.daemons, func(other *daemon) bool { return other == d })
	}
}

// Pass lets time pass, the trainer go on and operators change the bounds.
func (m *machine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
	m.holds += structs.WeightVersion(rapid.IntRange(0, 1).Draw(t, "trained"))
	m.bounds.MaxAge = time.Duration(rapid.IntRange(1, 600).Draw(t, "bound")) * time.Second
}

// Seal runs a step of the newest owner from offer to answer, so that runs get
// far enough to drop segments.
func (m *machine) Seal(t *rapid.T) {
	if len(m.daemons) == 0 || len(m.samples) == 0 {
		t.Skip("not ready")
	}
	d := m.daemons[len(m.daemons)-1]
	d.pool.Offer(m.now, m.bounds.MaxAge, m.samples)
	m.Propose(t)
	m.Land(t)
	m.ReadBack(t)
}

func (m *machine) checkFresh(t *rapid.T, list SampleList) {
	for _, entry := range list.Entries {
		offer := m.samples[entry.ID.Number]
		if m.now.Sub(offer.Born) > m.bounds.MaxAge || offer.Oldest+structs.WeightVersion(m.bounds.MaxVersionLag) < m.holds {
			t.Fatalf("step %d has the stale sample %d", list.Step, entry.ID.Number)
		}
	}
}

// record enters a list that the head now points to.
func (m *machine) record(t *rapid.T, list SampleList) {
	var ids []structs.SampleID
	for _, entry := range list.Entries {
		ids = append(ids, entry.ID)
		if other, ok := m.delivered[entry.ID]; ok && other != list.Step {
			t.Fatalf("sample %d is in steps %d and %d", entry.ID.Number, other, list.Step)
		}
		m.delivered[entry.ID] = list.Step
	}
	if before, ok := m.steps[list.Step]; ok && !slices.Equal(before, ids) {
		t.Fatalf("step %d was sealed twice", list.Step)
	}
	m.steps[list.Step] = ids
}

// Check compares what every owner would hand over with what was sealed.
func (m *machine) Check(t *rapid.T) {
	if m.head.LastSealed != uint64(len(m.steps)) {
		t.Fatalf("the newest step is %d of %d", m.head.LastSealed, len(m.steps))
	}
	for _, d := range m.daemons {
		for number, ids := range m.steps {
			list, err := d.pool.Find(number)
			if err != nil {
				continue
			}
			var found []structs.SampleID
			for _, entry := range list.Entries {
				found = append(found, entry.ID)
			}
			if !slices.Equal(found, ids) {
				t.Fatalf("step %d differs", number)
			}
		}
	}
}

func TestPool_StateMachine(t *testing.T) {
	// The same runs every time.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "100"} {
		must.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}
