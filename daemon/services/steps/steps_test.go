package steps

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

func isHead(key string) bool { return strings.HasSuffix(key, "/head") }

func TestStep_SameFromAnyDaemonAndInOrder(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		_, err := c.nodes[0].ask(2, 1, time.Second)
		must.Eq(t, result.StepTooFarAhead, result.CodeOf(err))
		_, err = c.nodes[0].ask(1, 1, time.Second)
		must.Eq(t, result.StepNotReady, result.CodeOf(err))
		added := c.nodes[1].add(3, 1)
		added = append(added, c.nodes[2].add(2, 1)...)
		first := c.nodes[0].must(1, 1)
		must.Len(t, 4, first.Samples)
		must.SliceContainsSubset(t, added, idsIn(first))
		for _, n := range c.nodes {
			must.Eq(t, idsIn(first), idsIn(n.must(1, 9)))
		}
	})
}

func TestStep_WaitsForThePoolToFill(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		time.AfterFunc(30*time.Second, func() { c.nodes[1].add(4, 1) })
		begun := time.Now()
		must.Len(t, 4, c.nodes[0].must(1, 1).Samples)
		must.Less(t, 31*time.Second, time.Since(begun))
	})
}

func TestStep_SamplesBeforeAndAfterTheFirstOwner(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		c.nodes[1].add(2, 1)
		_, err := c.nodes[0].ask(1, 1, time.Second)
		must.Eq(t, result.StepNotReady, result.CodeOf(err))
		c.nodes[1].add(2, 1)
		_, err = c.nodes[0].ask(1, 1, offerEvery/2)
		must.NoError(t, err)
	})
}

func TestStep_OwnerDiesBetweenSegmentAndHead(t *testing.T) {
	inCluster(t, 4, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.ask(1, 1, time.Second)
		added := c.nodes[1].add(4, 1)
		owner.beforeSwap = func(key string) {
			if isHead(key) {
				go owner.kill()
				<-owner.ctx.Done()
			}
		}
		_, _ = owner.ask(1, 1, time.Second)
		reply := c.nodes[2].must(1, 1)
		must.SliceContainsAll(t, added, idsIn(reply))
		entries, err := c.store.List(context.Background(), segmentPrefix(workspace))
		must.NoError(t, err)
		must.Len(t, 1, entries, must.Sprint("the orphan is deleted"))
	})
}

func TestStep_FrozenOwnerWithAFullSealInHand(t *testing.T) {
	inCluster(t, 4, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.ask(1, 1, time.Second)
		c.nodes[1].add(6, 1)
		owner.beforeSwap = func(key string) {
			if isHead(key) {
				owner.beforeSwap = nil
				owner.freeze()
			}
		}
		frozen := make(chan error, 1)
		go func() {
			_, err := owner.ask(1, 1, time.Hour)
			frozen <- err
		}()
		first := c.nodes[2].must(1, 1)
		owner.thaw()
		// The thawed owner's write failed; it may say so or that it cannot tell.
		must.SliceContains(t, []result.Code{result.OK, result.SealUnknown}, result.CodeOf(<-frozen))
		must.Eq(t, idsIn(first), idsIn(owner.must(1, 1)))
		c.nodes[1].add(2, 1)
		second := owner.must(2, 1)
		mustBeDisjoint(t, first, second)
	})
}

// mustBeDisjoint fails when a sample was delivered in two steps.
func mustBeDisjoint(t *testing.T, replies ...contract.StepReply) {
	t.Helper()
	seen := make(map[structs.SampleID]uint64)
	for _, reply := range replies {
		for _, id := range idsIn(reply) {
			must.Zero(t, seen[id], must.Sprintf("%v is in steps %d and %d", id, seen[id], reply.Step))
			seen[id] = reply.Step
		}
	}
}
