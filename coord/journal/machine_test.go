package journal

import (
	"fmt"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// machine runs several owners on one bucket. It checks that each key runs at
// most once, that a request reported as not run never runs, and that each
// replayed answer was an answer of that key.
type machine struct {
	now     time.Time
	store   *modelStore
	owners  []*modelOwner
	delayed []delayedWrite
	keys    []Key
	runs    map[Key][]Record
	notRun  map[string]bool
	// exclusiveUntil is the time until which a run forbids another run of its
	// key.
	exclusiveUntil map[string]time.Time
	policy         WritePolicy
	starts         uint64
}

const (
	machineTimeout = 5 * time.Second
	ownerCount     = 3
)

func newMachine(t *rapid.T, fencing fencing) *machine {
	m := &machine{
		now:    time.UnixMilli(0x018900000000),
		store:  &modelStore{fencing: fencing, heads: map[uint64]Head{}, segments: map[SegmentRef]Segment{}},
		runs:   map[Key][]Record{},
		notRun: map[string]bool{}, exclusiveUntil: map[string]time.Time{},
		policy: WritePolicy{
			MaxBatch:        rapid.SampledFrom([]int{0, 1}).Draw(t, "max batch"),
			CompactionBytes: rapid.SampledFrom([]int{0, 1, 1500}).Draw(t, "compaction bytes"),
		},
		keys: []Key{
			{Workspace: "w", Name: "k1"}, {Workspace: "w", Name: "k2"}, {Workspace: "v", Name: "k1"},
			{Workspace: "w", Name: "01890000-0000-7000-8000-000000000001"},
			{Workspace: "v", Name: "01890000-0100-7000-8000-000000000002"},
		},
	}
	for i := range ownerCount {
		owner := &modelOwner{incarnation: structs.Incarnation{Host: structs.HostName(strconv.Itoa(i))}}
		owner.reset()
		m.owners = append(m.owners, owner)
	}
	return m
}

// drawOwner draws one of the eligible owners.
func (m *machine) drawOwner(t *rapid.T, isEligible func(*modelOwner) bool) *modelOwner {
	var eligible []*modelOwner
	for _, owner := range m.owners {
		if isEligible(owner) {
			eligible = append(eligible, owner)
		}
	}
	if len(eligible) == 0 {
		t.Skip("no eligible owner")
	}
	return rapid.SampledFrom(eligible).Draw(t, "owner")
}

// isOwner reports whether a daemon considers itself the owner of the bucket.
func isOwner(owner *modelOwner) bool { return owner.bucket != nil && !owner.claiming }

func hasBucket(owner *modelOwner) bool { return owner.bucket != nil }

func isIdle(owner *modelOwner) bool { return owner.bucket == nil }

func drawKey(t *rapid.T, from map[Key]Record, all []Key) Record {
	for _, key := range rapid.Permutation(all).Draw(t, "key") {
		if record, ok := from[key]; ok {
			return record
		}
	}
	t.Skip("no eligible intent")
	return Record{}
}

// claim reads the head; the write of the claim is a separate step.
func (m *machine) claim(t *rapid.T) {
	owner := m.drawOwner(t, isIdle)
	head := m.store.head()
	var segments []Segment
	for _, ref := range head.Segments {
		segment, ok := m.store.segments[ref]
		if !ok {
			t.Fatalf("segment %d of the newest head is missing", ref.Number)
		}
		segments = append(segments, segment)
	}
	m.starts++
	owner.incarnation.Start = m.starts
	owner.bucket, owner.inFlight = ClaimBucket(head, segments, owner.incarnation, "address", m.policy)
	owner.revision, owner.claiming = m.store.revision, true
}

func (m *machine) submit(t *rapid.T) {
	owner := m.drawOwner(t, isOwner)
	key := rapid.SampledFrom(m.keys).Draw(t, "key")
	window := rapid.SampledFrom([]time.Duration{10 * time.Minute, 24 * time.Hour}).Draw(t, "window")
	verdict, record := owner.bucket.Admit(m.now, Request{Key: key, Fingerprint: "f", KeyWindow: window, Timeout: machineTimeout})
	switch verdict {
	case VerdictRun:
		owner.admitted[key] = record
		m.exclusiveUntil[runName(record)] = m.now.Add(window)
	case VerdictReplay:
		m.checkReplay(t, key, record)
	}
}

func (m *machine) checkReplay(t *rapid.T, key Key, record Record) {
	for _, ran := range m.runs[key] {
		if string(record.Answer.Body) == runName(ran) {
			return
		}
	}
	t.Fatalf("replayed answer %q is not an answer of %v", record.Answer.Body, key)
}

func runName(record Record) string {
	return fmt.Sprintf("%s/%d/%d", record.Writer.Host, record.Writer.Start, record.Operation)
}

// write sends the next proposal, or again one whose result is unknown, to the
// store. The write may be delayed, or its response may be lost.
func (m *machine) write(t *rapid.T) {
	owner := m.drawOwner(t, func(o *modelOwner) bool { return hasBucket(o) && (o.inFlight != nil || o.bucket.Pending() > 0) })
	if owner.inFlight == nil {
		owner.inFlight, _ = owner.bucket.Propose(m.now)
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "answer lost", "delayed"}).Draw(t, "fate") {
	case "answered":
		m.handleResult(owner, m.store.put(owner.inFlight, owner.revision))
	case "answer lost":
		m.store.put(owner.inFlight, owner.revision)
	case "delayed":
		m.delayed = append(m.delayed, delayedWrite{proposal: owner.inFlight, expected: owner.revision})
	}
}

// handleResult handles the response of the store to a write. After a conflict
// it reads the head back.
func (m *machine) handleResult(owner *modelOwner, written bool) {
	if !written && !m.isWritten(owner.inFlight) {
		for _, record := range owner.admitted {
			m.notRun[runName(record)] = true
		}
		for _, record := range owner.sendable {
			m.notRun[runName(record)] = true
		}
		owner.reset()
		return
	}
	owner.revision = m.store.revision
	m.deleteSegments(owner.inFlight.ObsoleteSegments)
	owner.inFlight, owner.claiming = nil, false
	if owner.bucket.Released() {
		owner.reset()
		return
	}
	for _, record := range owner.bucket.MarkCommitted() {
		if waiting, ok := owner.admitted[record.Key]; ok && waiting.Operation == record.Operation {
			delete(owner.admitted, record.Key)
			owner.sendable[record.Key] = record
		}
	}
}

// deleteSegments deletes obsolete segments. With fencing by sequence number it
// keeps them, so that the check fails by a second run and not by a missing
// segment.
func (m *machine) deleteSegments(refs []SegmentRef) {
	if m.store.fencing == fenceBySequence {
		return
	}
	for _, ref := range refs {
		delete(m.store.segments, ref)
	}
}

func (m *machine) isWritten(p *Proposal) bool {
	head := m.store.head()
	if m.store.fencing == fenceBySequence {
		head = m.store.heads[p.Head.Sequence]
	}
	return p.Matches(&head)
}

// deliver applies the oldest delayed write.
func (m *machine) deliver(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed write")
	}
	next := m.delayed[0]
	m.delayed = m.delayed[1:]
	m.store.put(next.proposal, next.expected)
}

func (m *machine) send(t *rapid.T) {
	owner := m.drawOwner(t, func(o *modelOwner) bool { return isOwner(o) && len(o.sendable) > 0 })
	record := drawKey(t, owner.sendable, m.keys)
	delete(owner.sendable, record.Key)
	for _, ran := range m.runs[record.Key] {
		if _, dated := record.Key.Timestamp(); dated || !record.IntentTime.After(m.exclusiveUntil[runName(ran)]) {
			t.Fatalf("%v ran twice, as %s and as %s", record.Key, runName(ran), runName(record))
		}
	}
	if m.notRun[runName(record)] {
		t.Fatalf("%s ran after it was reported as not run", runName(record))
	}
	m.runs[record.Key] = append(m.runs[record.Key], record)
	owner.sent[record.Key] = record
}

func (m *machine) finish(t *rapid.T) {
	owner := m.drawOwner(t, func(o *modelOwner) bool { return isOwner(o) && len(o.sent) > 0 })
	record := drawKey(t, owner.sent, m.keys)
	delete(owner.sent, record.Key)
	if rapid.Bool().Draw(t, "answered") {
		owner.bucket.Finish(record.Key, record.Operation, StateAnswered, NewAnswer(200, "", []byte(runName(record))))
	} else {
		owner.bucket.Finish(record.Key, record.Operation, StateUnknown, nil)
	}
}

// refuse reports to a caller that its request was not run.
func (m *machine) refuse(t *rapid.T) {
	owner := m.drawOwner(t, func(o *modelOwner) bool { return isOwner(o) && len(o.admitted)+len(o.sendable) > 0 })
	from := owner.admitted
	if len(from) == 0 || len(owner.sendable) > 0 && rapid.Bool().Draw(t, "committed") {
		from = owner.sendable
	}
	m.refuseOne(owner, from, drawKey(t, from, m.keys))
}

func (m *machine) refuseOne(owner *modelOwner, from map[Key]Record, record Record) {
	delete(from, record.Key)
	m.notRun[runName(record)] = true
	owner.bucket.Finish(record.Key, record.Operation, StateNotRun, nil)
}

func (m *machine) release(t *rapid.T) {
	owner := m.drawOwner(t, func(o *modelOwner) bool {
		return isOwner(o) && o.inFlight == nil && len(o.admitted)+len(o.sendable)+len(o.sent) == 0
	})
	owner.bucket.Release()
	owner.inFlight, _ = owner.bucket.Propose(m.now)
}

func (m *machine) crash(t *rapid.T) { m.drawOwner(t, hasBucket).reset() }

// advance moves the clock. A request that was not sent before its deadline is
// refused, also by an owner that was paused in the meantime.
func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 20 * time.Minute, 25 * time.Hour}).Draw(t, "span"))
	for _, owner := range m.owners {
		for _, from := range []map[Key]Record{owner.admitted, owner.sendable} {
			for _, key := range m.keys {
				if record, ok := from[key]; ok && m.now.After(record.IntentTime.Add(machineTimeout)) {
					m.refuseOne(owner, from, record)
				}
			}
		}
	}
}

// actions returns the steps by name. The frequent ones are listed several
// times, so that they are drawn more often than faults.
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
