package journal

import (
	"encoding/json"
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// checkMachine runs the state machine with the seed that TestMain sets, unless
// the command line gives another, and with enough steps for takeovers.
func checkMachine(t rapid.TB, fencing fencing) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newMachine(t, fencing).actions()) })
}

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "4000", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

func TestOwnedBucket_AtMostOnce(t *testing.T) { checkMachine(t, fenceByRevision) }

// failureRecorder records that a check failed instead of failing the test.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failed = true
	r.Logf(format, args...)
}
func (r *failureRecorder) FailNow()     { r.failed = true; panic(r) }
func (r *failureRecorder) Failed() bool { return r.failed }

// TestMachine_DetectsSequenceFencing checks that the state machine can fail: it
// must find the second run of a key that fencing by sequence number allows.
func TestMachine_DetectsSequenceFencing(t *testing.T) {
	r := &failureRecorder{T: t}
	func() {
		defer func() { _ = recover() }()
		checkMachine(r, fenceBySequence)
	}()
	must.True(t, r.failed, must.Sprint("fencing by sequence number was not detected as a fault"))
}

func newOwnedBucket(policy WritePolicy) *OwnedBucket {
	b, _ := ClaimBucket(Head{}, nil, structs.Incarnation{Host: "a", Start: 1}, "address", policy)
	b.MarkCommitted()
	return b
}

func admit(b *OwnedBucket, now time.Time, name string, window time.Duration) Verdict {
	verdict, record := b.Admit(now, Request{Key: Key{Workspace: "w", Name: name}, Fingerprint: "f", KeyWindow: window, Timeout: time.Second})
	if verdict == VerdictRun {
		b.Finish(record.Key, record.Operation, StateAnswered, NewAnswer(200, "", nil))
	}
	return verdict
}

func commit(t *testing.T, b *OwnedBucket, now time.Time) *Proposal {
	t.Helper()
	proposal, ok := b.Propose(now)
	must.True(t, ok)
	b.MarkCommitted()
	return proposal
}

// TestOwnedBucket_PrunedKeyStaysTooOld guards against running a pruned UUIDv7
// key again after the key window was extended.
func TestOwnedBucket_PrunedKeyStaysTooOld(t *testing.T) {
	const dated = "01890000-0000-7000-8000-000000000001"
	now := time.UnixMilli(0x018900000000)
	b := newOwnedBucket(WritePolicy{CompactionBytes: 1})
	must.Eq(t, VerdictRun, admit(b, now, dated, time.Minute))
	must.Eq(t, VerdictRun, admit(b, now, "opaque", time.Minute))
	commit(t, b, now)
	must.Eq(t, VerdictReplay, admit(b, now.Add(time.Minute), dated, time.Minute))
	later := now.Add(time.Hour)
	must.Eq(t, VerdictRun, admit(b, later, "new", time.Minute))
	proposal := commit(t, b, later)
	must.Len(t, 1, proposal.ObsoleteSegments)
	must.Eq(t, VerdictKeyTooOld, admit(b, later, dated, time.Minute))
	must.Eq(t, VerdictKeyTooOld, admit(b, later, dated, 24*time.Hour))
	// An opaque key is protected only within the key window.
	must.Eq(t, VerdictRun, admit(b, later, "opaque", time.Minute))
	must.Eq(t, VerdictKeyInFuture, admit(b, now.Add(-time.Hour), dated, time.Hour))
}

// TestProposal_EncodedSize fills a bucket with records of the largest size,
// whose strings grow most when JSON escapes them, and checks that each head and
// segment fits into a value of the store.
func TestProposal_EncodedSize(t *testing.T) {
	const maxValue = 1 << 20
	now := time.UnixMilli(0x018900000000)
	b := newOwnedBucket(WritePolicy{})
	for n := range 2 * MaxPending {
		name := strings.Repeat("<", 120) + time.Duration(n).String()
		verdict, record := b.Admit(now, Request{Key: Key{Workspace: "w", Name: name}, Fingerprint: "f", KeyWindow: time.Hour})
		if verdict == VerdictQueueFull {
			break
		}
		must.Eq(t, VerdictRun, verdict)
		b.Finish(record.Key, record.Operation, StateAnswered, NewAnswer(200, "text/plain", make([]byte, MaxAnswerBodyBytes)))
	}
	must.Eq(t, MaxPending, b.Pending())
	for b.Pending() > 0 {
		proposal := commit(t, b, now)
		head, err := json.Marshal(proposal.Head)
		must.NoError(t, err)
		must.Less(t, maxValue, len(head))
		segment, err := json.Marshal(proposal.Segment)
		must.NoError(t, err)
		must.Less(t, maxValue, len(segment))
	}
}
