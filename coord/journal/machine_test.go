package journal

import (
	"fmt"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// machine runs owners over one bucket and checks that each key runs at most
// once, that what was told to be not run never runs, and that repeated answers
// are those that were given.
type machine struct {
	now     time.Time
	store   *modelStore
	owners  []*modelOwner
	delayed []attempt
	keys    []Key
	runs    map[Key][]Record
	notRun  map[string]bool
	// promised is until when a run rules out another one.
	promised map[string]time.Time
	strategy WritePolicy
	starts   uint64
}

const (
	machineDue    = 5 * time.Second
	machineOwners = 3
)

func newMachine(t *rapid.T, fencing fencing) *machine {
	m := &machine{
		now:    time.UnixMilli(0x018900000000),
		store:  &modelStore{fencing: fencing, heads: map[uint64]Head{}, segments: map[SegmentRef]Segment{}},
		runs:   map[Key][]Record{},
		notRun: map[string]bool{}, promised: map[string]time.Time{},
		strategy: WritePolicy{
			MaxBatch:        rapid.SampledFrom([]int{0, 1}).Draw(t, "max batch"),
			CompactionBytes: rapid.SampledFrom([]int{0, 1, 1500}).Draw(t, "fold bytes"),
		},
		keys: []Key{
			{Workspace: "w", Name: "k1"}, {Workspace: "w", Name: "k2"}, {Workspace: "v", Name: "k1"},
			{Workspace: "w", Name: "01890000-0000-7000-8000-000000000001"},
			{Workspace: "v", Name: "01890000-0100-7000-8000-000000000002"},
		},
	}
	for i := range machineOwners {
		owner := &modelOwner{incarnation: structs.Incarnation{Host: structs.HostName(strconv.Itoa(i))}}
		owner.forget()
		m.owners = append(m.owners, owner)
	}
	return m
}

// owner draws one of the owners that a step is for.
func (m *machine) owner(t *rapid.T, may func(*modelOwner) bool) *modelOwner {
	var able []*modelOwner
	for _, owner := range m.owners {
		if may(owner) {
			able = append(able, owner)
		}
	}
	if len(able) == 0 {
		t.Skip("no owner can do this")
	}
	return rapid.SampledFrom(able).Draw(t, "owner")
}

// owns reports whether a daemon believes to own the bucket.
func owns(owner *modelOwner) bool { return owner.ledger != nil && !owner.claiming }

func claims(owner *modelOwner) bool { return owner.ledger != nil }

func idles(owner *modelOwner) bool { return owner.ledger == nil }

func drawKey(t *rapid.T, from map[Key]Record, all []Key) Record {
	for _, key := range rapid.Permutation(all).Draw(t, "key") {
		if record, ok := from[key]; ok {
			return record
		}
	}
	t.Skip("no such intent")
	return Record{}
}

// claim reads the head; the write that makes the owner is a step of its own.
func (m *machine) claim(t *rapid.T) {
	owner := m.owner(t, idles)
	head := m.store.head()
	var segments []Segment
	for _, ref := range head.Segments {
		segment, ok := m.store.segments[ref]
		if !ok {
			t.Fatalf("segment %d of the newest head is gone", ref.Number)
		}
		segments = append(segments, segment)
	}
	m.starts++
	owner.incarnation.Start = m.starts
	owner.ledger, owner.flight = ClaimBucket(head, segments, owner.incarnation, "address", m.strategy)
	owner.revision, owner.claiming = m.store.revision, true
}

func (m *machine) submit(t *rapid.T) {
	owner := m.owner(t, owns)
	key := rapid.SampledFrom(m.keys).Draw(t, "key")
	window := rapid.SampledFrom([]time.Duration{10 * time.Minute, 24 * time.Hour}).Draw(t, "window")
	verdict, record := owner.ledger.Admit(m.now, Request{Key: key, Fingerprint: "f", KeyWindow: window, Timeout: machineDue})
	switch verdict {
	case VerdictRun:
		owner.admitted[key] = record
		m.promised[runName(record)] = m.now.Add(window)
	case VerdictReplay:
		m.checkRepeat(t, key, record)
	}
}

func (m *machine) checkRepeat(t *rapid.T, key Key, record Record) {
	for _, ran := range m.runs[key] {
		if string(record.Answer.Body) == runName(ran) {
			return
		}
	}
	t.Fatalf("answer %q of %v was never given", record.Answer.Body, key)
}

func runName(record Record) string {
	return fmt.Sprintf("%s/%d/%d", record.Writer.Host, record.Writer.Start, record.Operation)
}

// write brings the next proposal, or one whose fate is not known, to the
// store. The write may be lost, delayed, or its answer may be lost.
func (m *machine) write(t *rapid.T) {
	owner := m.owner(t, func(o *modelOwner) bool { return claims(o) && (o.flight != nil || o.ledger.Pending() > 0) })
	if owner.flight == nil {
		owner.flight, _ = owner.ledger.Propose(m.now)
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "answer lost", "delayed"}).Draw(t, "fate") {
	case "answered":
		m.conclude(owner, m.store.put(owner.flight, owner.revision))
	case "answer lost":
		m.store.put(owner.flight, owner.revision)
	case "delayed":
		m.delayed = append(m.delayed, attempt{proposal: owner.flight, expected: owner.revision})
	}
}

// conclude takes an answer of the store; after a conflict it reads back.
func (m *machine) conclude(owner *modelOwner, written bool) {
	if !written && !m.wroteBefore(owner.flight) {
		for _, record := range owner.admitted {
			m.notRun[runName(record)] = true
		}
		for _, record := range owner.sendable {
			m.notRun[runName(record)] = true
		}
		owner.forget()
		return
	}
	owner.revision = m.store.revision
	m.remove(owner.flight.ObsoleteSegments)
	owner.flight, owner.claiming = nil, false
	if owner.ledger.Released() {
		owner.forget()
		return
	}
	for _, record := range owner.ledger.MarkCommitted() {
		if waiting, ok := owner.admitted[record.Key]; ok && waiting.Operation == record.Operation {
			delete(owner.admitted, record.Key)
			owner.sendable[record.Key] = record
		}
	}
}

// remove deletes replaced segments. The known-bad variant keeps them, so that
// what fails it is a second run.
func (m *machine) remove(refs []SegmentRef) {
	if m.store.fencing == byNumber {
		return
	}
	for _, ref := range refs {
		delete(m.store.segments, ref)
	}
}

func (m *machine) wroteBefore(p *Proposal) bool {
	head := m.store.head()
	if m.store.fencing == byNumber {
		head = m.store.heads[p.Head.Sequence]
	}
	return p.Matches(&head)
}

// deliver lets a delayed write arrive.
func (m *machine) deliver(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no write is under way")
	}
	late := m.delayed[0]
	m.delayed = m.delayed[1:]
	m.store.put(late.proposal, late.expected)
}

func (m *machine) send(t *rapid.T) {
	owner := m.owner(t, func(o *modelOwner) bool { return owns(o) && len(o.sendable) > 0 })
	record := drawKey(t, owner.sendable, m.keys)
	delete(owner.sendable, record.Key)
	for _, ran := range m.runs[record.Key] {
		if _, dated := record.Key.Timestamp(); dated || !record.IntentTime.After(m.promised[runName(ran)]) {
			t.Fatalf("%v ran as %s and again as %s", record.Key, runName(ran), runName(record))
		}
	}
	if m.notRun[runName(record)] {
		t.Fatalf("%s was told to be not run", runName(record))
	}
	m.runs[record.Key] = append(m.runs[record.Key], record)
	owner.sent[record.Key] = record
}

func (m *machine) finish(t *rapid.T) {
	owner := m.owner(t, func(o *modelOwner) bool { return owns(o) && len(o.sent) > 0 })
	record := drawKey(t, owner.sent, m.keys)
	delete(owner.sent, record.Key)
	if rapid.Bool().Draw(t, "answered") {
		owner.ledger.Finish(record.Key, record.Operation, StateAnswered, NewAnswer(200, "", []byte(runName(record))))
	} else {
		owner.ledger.Finish(record.Key, record.Operation, StateUnknown, nil)
	}
}

// refuse tells a caller that its request was not run.
func (m *machine) refuse(t *rapid.T) {
	owner := m.owner(t, func(o *modelOwner) bool { return owns(o) && len(o.admitted)+len(o.sendable) > 0 })
	from := owner.admitted
	if len(from) == 0 || len(owner.sendable) > 0 && rapid.Bool().Draw(t, "committed") {
		from = owner.sendable
	}
	m.refuseOne(owner, from, drawKey(t, from, m.keys))
}

func (m *machine) refuseOne(owner *modelOwner, from map[Key]Record, record Record) {
	delete(from, record.Key)
	m.notRun[runName(record)] = true
	owner.ledger.Finish(record.Key, record.Operation, StateNotRun, nil)
}

func (m *machine) release(t *rapid.T) {
	owner := m.owner(t, func(o *modelOwner) bool {
		return owns(o) && o.flight == nil && len(o.admitted)+len(o.sendable)+len(o.sent) == 0
	})
	owner.ledger.Release()
	owner.flight, _ = owner.ledger.Propose(m.now)
}

func (m *machine) crash(t *rapid.T) { m.owner(t, claims).forget() }

// advance moves the clock. A request that is not sent by its due time is
// refused, also by an owner that was frozen meanwhile.
func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 20 * time.Minute, 25 * time.Hour}).Draw(t, "span"))
	for _, owner := range m.owners {
		for _, from := range []map[Key]Record{owner.admitted, owner.sendable} {
			for _, key := range m.keys {
				if record, ok := from[key]; ok && m.now.After(record.IntentTime.Add(machineDue)) {
					m.refuseOne(owner, from, record)
				}
			}
		}
	}
}

// actions names the steps; the usual ones stand more than once, so that they
// are drawn more often than faults.
func (m *machine) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"claim": m.claim, "deliver": m.deliver, "finish": m.finish, "refuse": m.refuse,
		"release": m.release, "crash": m.crash, "advance": m.advance,
		"prune": func(*rapid.T) { m.store.prune() },
	}
	for _, turn := range []string{"1", "2", "3", "4"} {
		actions["submit"+turn], actions["write"+turn], actions["send"+turn] = m.submit, m.write, m.send
	}
	return actions
}
