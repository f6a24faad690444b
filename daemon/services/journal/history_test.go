package journal

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	standin "github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/outside"
)

// answerKind is what a caller learned from one submission.
type answerKind int

const (
	// freshAnswer is the answer of this very submission.
	freshAnswer answerKind = iota
	// repeatedAnswer is a recorded one.
	repeatedAnswer
	// notRun is a refusal.
	notRun
	// unknownOutcome is anything that leaves open whether it ran.
	unknownOutcome
)

func kindOf(repeated bool, err error) answerKind {
	switch {
	case err != nil && result.OutcomeOf(err) == result.NotRun:
		return notRun
	case err != nil:
		return unknownOutcome
	case repeated:
		return repeatedAnswer
	default:
		return freshAnswer
	}
}

// The states of an at-most-once object.
const (
	free = iota
	ran
)

// atMostOnce is the specification of one key: it runs at most once, and a
// refusal changes nothing. A call that a daemon forwarded twice may itself run
// and get its answer as a repeated one.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{free} },
	Step: func(state, _, output any) []any { return next(state.(int), output.(answerKind)) },
}

// next lists the states that may follow a call with an output.
func next(state int, output answerKind) []any {
	switch {
	case output == freshAnswer && state == free:
		return []any{ran}
	case output == repeatedAnswer:
		return []any{ran}
	case output == notRun:
		return []any{state}
	case output == unknownOutcome && state == free:
		return []any{free, ran}
	case output == unknownOutcome:
		return []any{ran}
	}
	return nil
}

const (
	historySeeds   = 4
	historyKeys    = 24
	historyCallers = 6
	historyCalls   = 60
)

// TestHistory_EachKeyIsAnAtMostOnceObject lets callers repeat keys at random
// daemons while answers of the store and of owners are lost, backend servers
// cut answers, and owners freeze and die, and checks each key's history.
func TestHistory_EachKeyIsAnAtMostOnceObject(t *testing.T) {
	for seed := range uint64(historySeeds) {
		h := newHistory(t, seed)
		h.run()
		h.check()
	}
}

// history is one run and what callers saw in it.
type history struct {
	*bench
	random  *rand.Rand
	mu      sync.Mutex
	daemons []*daemon
	events  map[string][]porcupine.Operation
	clock   atomic.Int64
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{bench: newBench(t), random: rand.New(rand.NewPCG(seed, 1)), events: map[string][]porcupine.Operation{}}
	h.due, h.spans = time.Second, shortSpans()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		h.daemons = append(h.daemons, h.faulty(name))
	}
	return h
}

// faulty starts a daemon that loses answers of the store.
func (h *history) faulty(name string) *daemon {
	d := h.start(name)
	d.store.hook(nil, func(string) error {
		if h.chance(10) {
			return outside.ErrUnavailable
		}
		return nil
	})
	return d
}

// chance is true once in n times.
func (h *history) chance(n int) bool { return h.draw(n) == 0 }

func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// run lets the callers submit; the first caller also makes the faults.
func (h *history) run() {
	var callers sync.WaitGroup
	for caller := range historyCallers {
		callers.Go(func() {
			for call := range historyCalls {
				if caller == 0 {
					h.fault(call)
				}
				h.submit(caller)
			}
		})
	}
	callers.Wait()
}

// fault makes one of the faults of the brief.
func (h *history) fault(call int) {
	h.portal.SetFaults(standin.Faults{CutAfter: max(0, h.draw(4)-2) * 3, Delay: time.Duration(h.draw(3)) * time.Millisecond})
	h.network.loseReplies(h.daemons[h.draw(len(h.daemons))].name, 1)
	switch call {
	case historyCalls / 4:
		h.daemons[0].gate.freeze()
	case historyCalls / 2:
		h.daemons[0].gate.thaw()
	case historyCalls * 3 / 4:
		h.daemons[1].gate.kill()
	}
}

// submit brings a random key to a random daemon. The first caller avoids the
// one that it freezes, because it has to thaw it.
func (h *history) submit(caller int) {
	daemons := h.daemons
	if caller == 0 {
		daemons = daemons[1:]
	}
	key, d := keyOf(h.draw(historyKeys)), daemons[h.draw(len(daemons))]
	begun := h.clock.Add(1)
	reply, err := d.Submit(h.t.Context(), h.request(key))
	operation := porcupine.Operation{
		ClientId: caller, Input: key, Output: kindOf(reply.Repeated, err),
		Call: begun, Return: h.clock.Add(1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events[key] = append(h.events[key], operation)
}

func (h *history) check() {
	h.t.Helper()
	model := atMostOnce.ToModel()
	kinds := map[answerKind]int{}
	for key, operations := range h.events {
		must.True(h.t, porcupine.CheckOperations(model, operations), must.Sprintf("history of %s: %v", key, operations))
		h.checkRuns(key, operations, kinds)
	}
	h.t.Logf("fresh %d, repeated %d, not run %d, unknown %d",
		kinds[freshAnswer], kinds[repeatedAnswer], kinds[notRun], kinds[unknownOutcome])
	must.Positive(h.t, kinds[freshAnswer])
	must.Positive(h.t, kinds[repeatedAnswer])
}

// checkRuns compares what callers learned with the backend server's own record.
func (h *history) checkRuns(key string, operations []porcupine.Operation, kinds map[answerKind]int) {
	seen := map[answerKind]bool{}
	for _, operation := range operations {
		kind := operation.Output.(answerKind)
		kinds[kind]++
		seen[kind] = true
	}
	must.LessEq(h.t, 1, h.runs(key))
	if seen[freshAnswer] || seen[repeatedAnswer] {
		must.Eq(h.t, 1, h.runs(key))
	}
	if seen[notRun] && len(seen) == 1 {
		must.Eq(h.t, 0, h.runs(key))
	}
}
