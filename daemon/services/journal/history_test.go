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
	emulator "github.com/flamingobeam/flamingobeam/emulate/service"
	"github.com/flamingobeam/flamingobeam/outside"
)

// outcomeKind is the result of one submission as its caller sees it.
type outcomeKind int

const (
	// freshAnswer is the answer of a run that this submission started.
	freshAnswer outcomeKind = iota
	// repeatedAnswer is a recorded answer.
	repeatedAnswer
	// notRun is a refusal.
	notRun
	// unknownOutcome is any result that leaves open whether the submission ran.
	unknownOutcome
)

func kindOf(repeated bool, err error) outcomeKind {
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

// The states of a key.
const (
	free = iota
	ran
)

// atMostOnce is the specification of one key: it runs at most once, and a
// refusal changes nothing. A submission that a daemon forwarded twice may run
// itself and still get its answer as a repeated one.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{free} },
	Step: func(state, _, output any) []any { return nextStates(state.(int), output.(outcomeKind)) },
}

// nextStates returns the possible states after a submission with a given
// result.
func nextStates(state int, output outcomeKind) []any {
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

// TestHistory_AtMostOnce submits repeated keys to random daemons while replies
// of the store and of owners are lost, backend servers truncate responses, and
// owners freeze and die. It checks the history of each key.
func TestHistory_AtMostOnce(t *testing.T) {
	for seed := range uint64(historySeeds) {
		h := newHistory(t, seed)
		h.run()
		h.check()
	}
}

// history is one run of the test and the results that callers saw.
type history struct {
	*testFleet
	random     *rand.Rand
	mu         sync.Mutex
	daemons    []*daemon
	operations map[string][]porcupine.Operation
	clock      atomic.Int64
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{testFleet: newTestFleet(t), random: rand.New(rand.NewPCG(seed, 1)), operations: map[string][]porcupine.Operation{}}
	h.timeout, h.timeouts = time.Second, shortTimeouts()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		h.daemons = append(h.daemons, h.startLossy(name))
	}
	return h
}

// startLossy starts a daemon for which one in ten replies of the store to a
// write is lost.
func (h *history) startLossy(name string) *daemon {
	d := h.start(name)
	d.store.setHooks(nil, func(string) error {
		if h.chance(10) {
			return outside.ErrUnavailable
		}
		return nil
	})
	return d
}

// chance returns true with probability 1/n.
func (h *history) chance(n int) bool { return h.draw(n) == 0 }

func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// run lets the callers submit. The first caller also injects the faults.
func (h *history) run() {
	var callers sync.WaitGroup
	for caller := range historyCallers {
		callers.Go(func() {
			for call := range historyCalls {
				if caller == 0 {
					h.injectFaults(call)
				}
				h.submit(caller)
			}
		})
	}
	callers.Wait()
}

// injectFaults sets random faults of the backend server, loses a reply, and at
// fixed calls freezes, thaws or kills a daemon.
func (h *history) injectFaults(call int) {
	h.backend.SetFaults(emulator.Faults{CutAfter: max(0, h.draw(4)-2) * 3, Delay: time.Duration(h.draw(3)) * time.Millisecond})
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

// submit sends a random key to a random daemon. The first caller avoids the
// daemon that it freezes, because it has to thaw it.
func (h *history) submit(caller int) {
	daemons := h.daemons
	if caller == 0 {
		daemons = daemons[1:]
	}
	key, d := keyOf(h.draw(historyKeys)), daemons[h.draw(len(daemons))]
	called := h.clock.Add(1)
	reply, err := d.Submit(h.t.Context(), h.request(key))
	operation := porcupine.Operation{
		ClientId: caller, Input: key, Output: kindOf(reply.Repeated, err),
		Call: called, Return: h.clock.Add(1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations[key] = append(h.operations[key], operation)
}

func (h *history) check() {
	h.t.Helper()
	model := atMostOnce.ToModel()
	kinds := map[outcomeKind]int{}
	for key, operations := range h.operations {
		must.True(h.t, porcupine.CheckOperations(model, operations), must.Sprintf("history of %s: %v", key, operations))
		h.checkRuns(key, operations, kinds)
	}
	h.t.Logf("fresh %d, repeated %d, not run %d, unknown %d",
		kinds[freshAnswer], kinds[repeatedAnswer], kinds[notRun], kinds[unknownOutcome])
	must.Positive(h.t, kinds[freshAnswer])
	must.Positive(h.t, kinds[repeatedAnswer])
}

// checkRuns compares the callers' results with the backend server's record of
// runs.
func (h *history) checkRuns(key string, operations []porcupine.Operation, kinds map[outcomeKind]int) {
	seen := map[outcomeKind]bool{}
	for _, operation := range operations {
		kind := operation.Output.(outcomeKind)
		kinds[kind]++
		seen[kind] = true
	}
	must.LessEq(h.t, 1, h.backendRuns(key))
	if seen[freshAnswer] || seen[repeatedAnswer] {
		must.Eq(h.t, 1, h.backendRuns(key))
	}
	if seen[notRun] && len(seen) == 1 {
		must.Eq(h.t, 0, h.backendRuns(key))
	}
}
