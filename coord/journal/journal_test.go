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

// checkMachine runs the state machine with a fixed seed, unless one is given
// on the command line, and enough steps for take-overs.
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

func TestLedger_RunsEachKeyAtMostOnce(t *testing.T) { checkMachine(t, bySwap) }

// caught records whether a check failed instead of failing the test.
type caught struct {
	*testing.T
	failed bool
}

func (c *caught) Errorf(format string, args ...any) { c.failed = true; c.Logf(format, args...) }
func (c *caught) FailNow()                          { c.failed = true; panic(c) }
func (c *caught) Failed() bool                      { return c.failed }

// TestMachine_CatchesBatchesUnderNumbers shows that the machine can fail: it
// must find the second run that the known-bad variant allows.
func TestMachine_CatchesBatchesUnderNumbers(t *testing.T) {
	c := &caught{T: t}
	func() {
		defer func() { _ = recover() }()
		checkMachine(c, byNumber)
	}()
	must.True(t, c.failed, must.Sprint("the known-bad variant was not caught"))
}

func newLedger(strategy WritePolicy) *OwnedBucket {
	l, _ := ClaimBucket(Head{}, nil, structs.Incarnation{Host: "a", Start: 1}, "address", strategy)
	l.MarkCommitted()
	return l
}

func admit(l *OwnedBucket, now time.Time, name string, window time.Duration) Verdict {
	verdict, record := l.Admit(now, Request{Key: Key{Workspace: "w", Name: name}, Fingerprint: "f", KeyWindow: window, Timeout: time.Second})
	if verdict == VerdictRun {
		l.Finish(record.Key, record.Operation, StateAnswered, NewAnswer(200, "", nil))
	}
	return verdict
}

func commit(t *testing.T, l *OwnedBucket, now time.Time) *Proposal {
	t.Helper()
	proposal, ok := l.Propose(now)
	must.True(t, ok)
	l.MarkCommitted()
	return proposal
}

// TestLedger_LongerWindowDoesNotReviveAKey prunes a key that bears its time and
// then makes the window longer.
func TestLedger_LongerWindowDoesNotReviveAKey(t *testing.T) {
	const dated = "01890000-0000-7000-8000-000000000001"
	now := time.UnixMilli(0x018900000000)
	l := newLedger(WritePolicy{CompactionBytes: 1})
	must.Eq(t, VerdictRun, admit(l, now, dated, time.Minute))
	must.Eq(t, VerdictRun, admit(l, now, "opaque", time.Minute))
	commit(t, l, now)
	must.Eq(t, VerdictReplay, admit(l, now.Add(time.Minute), dated, time.Minute))
	later := now.Add(time.Hour)
	must.Eq(t, VerdictRun, admit(l, later, "new", time.Minute))
	proposal := commit(t, l, later)
	must.Len(t, 1, proposal.ObsoleteSegments)
	must.Eq(t, VerdictKeyTooOld, admit(l, later, dated, time.Minute))
	must.Eq(t, VerdictKeyTooOld, admit(l, later, dated, 24*time.Hour))
	// The window is the limit of the promise for an opaque key.
	must.Eq(t, VerdictRun, admit(l, later, "opaque", time.Minute))
	must.Eq(t, VerdictKeyInFuture, admit(l, now.Add(-time.Hour), dated, time.Hour))
}

// TestProposal_StaysWithinAValue fills a bucket with the largest records and
// texts that JSON makes longest.
func TestProposal_StaysWithinAValue(t *testing.T) {
	const maxValue = 1 << 20
	now := time.UnixMilli(0x018900000000)
	l := newLedger(WritePolicy{})
	for n := range 2 * MaxPending {
		name := strings.Repeat("<", 120) + time.Duration(n).String()
		verdict, record := l.Admit(now, Request{Key: Key{Workspace: "w", Name: name}, Fingerprint: "f", KeyWindow: time.Hour})
		if verdict == VerdictQueueFull {
			break
		}
		must.Eq(t, VerdictRun, verdict)
		l.Finish(record.Key, record.Operation, StateAnswered, NewAnswer(200, "text/plain", make([]byte, MaxAnswerBodyBytes)))
	}
	must.Eq(t, MaxPending, l.Pending())
	for l.Pending() > 0 {
		proposal := commit(t, l, now)
		head, err := json.Marshal(proposal.Head)
		must.NoError(t, err)
		must.Less(t, maxValue, len(head))
		segment, err := json.Marshal(proposal.Segment)
		must.NoError(t, err)
		must.Less(t, maxValue, len(segment))
	}
}
