package steps

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/store"
)

// writeOnce models a step as a write-once register: the first delivery fixes its
// samples, and each later one returns the same samples. Replies that a step is not
// ready are left out of the history, because an owner that has not yet detected
// its replacement may return them for a sealed step.
var writeOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		sealed, got := state.(string), output.(string)
		return sealed == "" || sealed == got, got
	},
}

// recorder records the operations of concurrent callers.
type recorder struct {
	clock   atomic.Int64
	mu      sync.Mutex
	history map[uint64][]porcupine.Operation
	replies map[uint64]contract.StepReply
}

// requestStep requests a step from a node and records it when it is delivered. It
// reports whether it was.
func (r *recorder) requestStep(caller int, n *node, number uint64) bool {
	call := r.clock.Add(1)
	reply, err := n.requestStep(number, 1, 5*time.Second)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[number] = reply
	r.history[number] = append(r.history[number], porcupine.Operation{
		ClientId: caller, Input: number, Call: call,
		Output: fmt.Sprint(replyIDs(reply)), Return: r.clock.Add(1),
	})
	return true
}

const (
	historySteps   = 6
	historyCallers = 3
	historyFaults  = 40
)

// injectFaults freezes, thaws and restarts the first two nodes at random while the
// callers run.
func injectFaults(c *cluster, random *rand.Rand, done <-chan struct{}) {
	for range historyFaults {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(2000)) * time.Millisecond):
		}
		n := c.hostList()[random.IntN(2)]
		switch random.IntN(3) {
		case 0:
			n.freeze()
		case 1:
			n.thaw()
		default:
			n.thaw()
			n.kill()
			c.start(n.host)
		}
	}
	for _, n := range c.hostList() {
		n.thaw()
	}
}

func TestStep_ConcurrentCallersHistory(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	runCluster(t, 5, func(c *cluster) {
		// The last three nodes run all the time; two of them accept the samples.
		for range historySteps {
			c.nodes[3].addSamples(2, 1)
			c.nodes[4].addSamples(4, 1)
		}
		c.store.SetFaults(store.Faults{LoseAnswers: 0.2})
		r := &recorder{history: make(map[uint64][]porcupine.Operation), replies: make(map[uint64]contract.StepReply)}
		done := make(chan struct{})
		var callers, faults sync.WaitGroup
		faults.Go(func() { injectFaults(c, rand.New(rand.NewPCG(seed, 1)), done) })
		for caller := range historyCallers {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(caller)+2))
				for number := uint64(1); number <= historySteps; {
					if r.requestStep(caller, c.hostList()[random.IntN(5)], number) {
						number++
					}
				}
			})
		}
		callers.Wait()
		close(done)
		faults.Wait()
		must.MapLen(t, historySteps, r.history)
		var replies []contract.StepReply
		for number, history := range r.history {
			must.True(t, porcupine.CheckOperations(writeOnce, history))
			replies = append(replies, r.replies[number])
		}
		mustBeDisjoint(t, replies...)
	})
}

func TestStep_RacingCallers(t *testing.T) {
	runCluster(t, 4, func(c *cluster) {
		c.nodes[1].addSamples(40, 1)
		replies := make(chan contract.StepReply, 40)
		var callers sync.WaitGroup
		for i := range cap(replies) {
			callers.Go(func() { replies <- c.nodes[i%4].mustStep(1, 1) })
		}
		callers.Wait()
		first := <-replies
		for range cap(replies) - 1 {
			must.Eq(t, replyIDs(first), replyIDs(<-replies))
		}
		_, err := c.nodes[2].requestStep(3, 1, time.Second)
		must.Eq(t, result.StepTooFarAhead, result.CodeOf(err))
	})
}
