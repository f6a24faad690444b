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

// daemon is an owner, or a former owner that has not yet read the new head.
type daemon struct {
	pool *Pool
	// baseRevision is the head revision that its updates expect.
	baseRevision int
}

// pendingWrite is a compare-and-swap of the head that has not reached the store.
type pendingWrite struct {
	expectedRevision int
	update           HeadUpdate
}

// machine runs several owners against a store in which a write may be delayed,
// be lost or lose its response. It checks that each step is written once, that
// no sample is in two steps, and that no sample is stale when it is proposed.
type machine struct {
	now            time.Time
	trainerVersion structs.WeightVersion
	bounds         Bounds
	samples        []Offer
	daemons        []*daemon
	pendingWrites  []pendingWrite
	head           Head
	revision       int
	segments       map[Version]SampleList
	sealedSteps    map[uint64][]structs.SampleID
	sealedIn       map[structs.SampleID]uint64
	takeovers      int
}

func newMachine() *machine {
	return &machine{
		now: start, trainerVersion: 5, bounds: Bounds{MaxVersionLag: 2, MaxAge: time.Minute, StepSamples: 1},
		segments:    make(map[Version]SampleList),
		sealedSteps: make(map[uint64][]structs.SampleID),
		sealedIn:    make(map[structs.SampleID]uint64),
	}
}

func (m *machine) anyDaemon(t *rapid.T) *daemon {
	if len(m.daemons) == 0 {
		t.Skip("no owner")
	}
	return rapid.SampledFrom(m.daemons).Draw(t, "daemon")
}

// Sample adds a finished sample of random age and weight version.
func (m *machine) Sample(t *rapid.T) {
	oldest := structs.WeightVersion(rapid.IntRange(1, int(m.trainerVersion)+1).Draw(t, "oldest"))
	born := m.now.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Second)
	m.samples = append(m.samples, newOffer(uint64(len(m.samples)), oldest, born))
}

// Offer offers new and already offered samples to a current or former owner.
func (m *machine) Offer(t *rapid.T) {
	if len(m.samples) == 0 {
		t.Skip("no samples")
	}
	d := m.anyDaemon(t)
	from := rapid.IntRange(0, len(m.samples)-1).Draw(t, "from")
	d.pool.Offer(m.now, m.bounds.MaxAge, m.samples[from:])
}

// TakeOver starts a new owner from the head and the segments in the store.
func (m *machine) TakeOver(t *rapid.T) {
	m.takeovers++
	owner := Owner{Incarnation: structs.Incarnation{Host: "d", Start: uint64(m.takeovers)}}
	m.head = m.head.TakeOver(owner)
	m.revision++
	var lists []SampleList
	for _, segment := range m.head.Segments {
		list, ok := m.segments[segment.Version]
		if !ok {
			t.Fatalf("head points to missing segment %v", segment.Version)
		}
		lists = append(lists, list)
	}
	m.daemons = append(m.daemons, &daemon{pool: NewPool(m.head, lists), baseRevision: m.revision})
}

// Propose starts the write that seals a step.
func (m *machine) Propose(t *rapid.T) {
	d := m.anyDaemon(t)
	update, err := d.pool.ProposeStep(m.now, m.trainerVersion, m.bounds)
	if err != nil {
		t.Skip("not ready")
	}
	m.checkNotStale(t, update.List)
	m.startWrite(d, update)
}

// Lose starts the write that marks a sample of a sealed step as lost.
func (m *machine) Lose(t *rapid.T) {
	d := m.anyDaemon(t)
	number := rapid.Uint64Range(1, 8).Draw(t, "step")
	list, err := d.pool.Find(number)
	if err != nil {
		t.Skip("step not available")
	}
	update, changed, err := d.pool.MarkLost(number, []structs.SampleID{list.Entries[0].ID})
	if err != nil || !changed {
		t.Skip("sample already lost")
	}
	m.startWrite(d, update)
}

func (m *machine) startWrite(d *daemon, update HeadUpdate) {
	m.segments[update.List.Version] = update.List
	m.pendingWrites = append(m.pendingWrites, pendingWrite{expectedRevision: d.baseRevision, update: update})
}

// Land applies a pending write to the store; the write may be out of date.
func (m *machine) Land(t *rapid.T) {
	if len(m.pendingWrites) == 0 {
		t.Skip("no pending writes")
	}
	i := rapid.IntRange(0, len(m.pendingWrites)-1).Draw(t, "flight")
	write := m.pendingWrites[i]
	m.pendingWrites = slices.Delete(m.pendingWrites, i, i+1)
	if write.expectedRevision != m.revision {
		return
	}
	m.head = write.update.Head
	m.revision++
	m.recordList(t, write.update.List)
}

// ReadBack reconciles the pending updates of a daemon with the head in the store.
func (m *machine) ReadBack(t *rapid.T) {
	d := m.anyDaemon(t)
	outcome, unreferenced := d.pool.ReconcileHead(m.head)
	switch outcome {
	case Committed:
		d.baseRevision = m.revision
		for _, version := range unreferenced {
			delete(m.segments, version)
		}
	case Superseded:
		m.daemons = slices.DeleteFunc(m.daemons, func(other *daemon) bool { return other == d })
	}
}

// Pass advances the clock and the trainer version, and changes the age bound.
func (m *machine) Pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
	m.trainerVersion += structs.WeightVersion(rapid.IntRange(0, 1).Draw(t, "trained"))
	m.bounds.MaxAge = time.Duration(rapid.IntRange(1, 600).Draw(t, "bound")) * time.Second
}

// Seal takes one step of the newest owner from the offer to the read-back.
// Without it, few runs seal enough steps to drop segments.
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

func (m *machine) checkNotStale(t *rapid.T, list SampleList) {
	for _, entry := range list.Entries {
		offer := m.samples[entry.ID.Number]
		if m.now.Sub(offer.Born) > m.bounds.MaxAge || offer.Oldest+structs.WeightVersion(m.bounds.MaxVersionLag) < m.trainerVersion {
			t.Fatalf("step %d contains stale sample %d", list.Step, entry.ID.Number)
		}
	}
}

// recordList records a list that the head now points to.
func (m *machine) recordList(t *rapid.T, list SampleList) {
	var ids []structs.SampleID
	for _, entry := range list.Entries {
		ids = append(ids, entry.ID)
		if other, ok := m.sealedIn[entry.ID]; ok && other != list.Step {
			t.Fatalf("sample %d is in steps %d and %d", entry.ID.Number, other, list.Step)
		}
		m.sealedIn[entry.ID] = list.Step
	}
	if before, ok := m.sealedSteps[list.Step]; ok && !slices.Equal(before, ids) {
		t.Fatalf("step %d was sealed twice with different samples", list.Step)
	}
	m.sealedSteps[list.Step] = ids
}

// Check compares the lists that every daemon would deliver with the sealed ones.
func (m *machine) Check(t *rapid.T) {
	if m.head.LastSealed != uint64(len(m.sealedSteps)) {
		t.Fatalf("newest sealed step is %d, want %d", m.head.LastSealed, len(m.sealedSteps))
	}
	for _, d := range m.daemons {
		for number, ids := range m.sealedSteps {
			list, err := d.pool.Find(number)
			if err != nil {
				continue
			}
			var found []structs.SampleID
			for _, entry := range list.Entries {
				found = append(found, entry.ID)
			}
			if !slices.Equal(found, ids) {
				t.Fatalf("step %d of a daemon differs from the sealed step", number)
			}
		}
	}
}

func TestPool_StateMachine(t *testing.T) {
	// A fixed seed makes the runs reproducible.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "100"} {
		must.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}
