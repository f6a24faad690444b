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

// writeOnce is a step as an object: it is unsealed, and once it was handed
// over it is always handed over with the same samples. An owner that does not
// know yet that it was replaced may say that a step is not ready, so that such
// answers are left out of the history.
var writeOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		sealed, got := state.(string), output.(string)
		return sealed == "" || sealed == got, got
	},
}

// recorder gathers the operations of concurrent takers.
type recorder struct {
	tick    atomic.Int64
	mu      sync.Mutex
	history map[uint64][]porcupine.Operation
	replies map[uint64]contract.StepReply
}

// take asks a node for a step and records a step that is handed over.
func (r *recorder) take(taker int, n *node, number uint64) bool {
	call := r.tick.Add(1)
	reply, err := n.ask(number, 1, 5*time.Second)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[number] = reply
	r.history[number] = append(r.history[number], porcupine.Operation{
		ClientId: taker, Input: number, Call: call,
		Output: fmt.Sprint(idsIn(reply)), Return: r.tick.Add(1),
	})
	return true
}

const (
	historySteps  = 6
	historyTakers = 3
	historyFaults = 40
)

// disturb freezes, thaws and replaces nodes at random while the takers run.
func disturb(c *cluster, random *rand.Rand, done <-chan struct{}) {
	for range historyFaults {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.IntN(2000)) * time.Millisecond):
		}
		n := c.listed()[random.IntN(2)]
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
	for _, n := range c.listed() {
		n.thaw()
	}
}

func TestStep_HistoryOfConcurrentTakers(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	inCluster(t, 5, func(c *cluster) {
		// The last three nodes take the samples in and run all the time.
		for range historySteps {
			c.nodes[3].add(2, 1)
			c.nodes[4].add(4, 1)
		}
		c.store.SetFaults(store.Faults{LoseAnswers: 0.2})
		r := &recorder{history: make(map[uint64][]porcupine.Operation), replies: make(map[uint64]contract.StepReply)}
		done := make(chan struct{})
		var takers, faults sync.WaitGroup
		faults.Go(func() { disturb(c, rand.New(rand.NewPCG(seed, 1)), done) })
		for taker := range historyTakers {
			takers.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(taker)+2))
				for number := uint64(1); number <= historySteps; {
					if r.take(taker, c.listed()[random.IntN(5)], number) {
						number++
					}
				}
			})
		}
		takers.Wait()
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

func TestStep_RacingTakersGetOneStep(t *testing.T) {
	inCluster(t, 4, func(c *cluster) {
		c.nodes[1].add(40, 1)
		replies := make(chan contract.StepReply, 40)
		var takers sync.WaitGroup
		for i := range cap(replies) {
			takers.Go(func() { replies <- c.nodes[i%4].must(1, 1) })
		}
		takers.Wait()
		first := <-replies
		for range cap(replies) - 1 {
			must.Eq(t, idsIn(first), idsIn(<-replies))
		}
		_, err := c.nodes[2].ask(3, 1, time.Second)
		must.Eq(t, result.StepTooFarAhead, result.CodeOf(err))
	})
}
