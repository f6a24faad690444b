package steps

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/outside"
)

// sealOnly seals a step at a node without fetching its bodies.
func sealOnly(n *node, number uint64) {
	n.cluster.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := n.list(ctx, contract.StepRequest{Workspace: workspace, Step: number, HeldVersion: 1})
	must.NoError(n.cluster.t, err)
}

func TestStep_BodiesLostOnBothHoldersAreNamedAndMadeGood(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		// Samples taken in by host-0 have their second copy on host-1.
		first, second, spare := c.nodes[0], c.nodes[1], c.nodes[2]
		c.list(first, second)
		added := first.add(4, 1)
		c.list(first, second, spare)
		sealOnly(spare, 1)
		for _, n := range c.nodes[:2] {
			n.kill()
			c.start(n.host)
		}
		reply := spare.must(1, 1)
		must.SliceContainsAll(t, added, reply.Lost)
		must.SliceEmpty(t, reply.Samples)
		must.Eq(t, reply, c.nodes[0].must(1, 1))
		more := c.nodes[0].add(8, 1)
		supplement := c.nodes[1].must(2, 1)
		must.Eq(t, 1, supplement.SupplementTo)
		must.Len(t, 4, supplement.Samples)
		third := c.nodes[1].must(3, 1)
		must.Zero(t, third.SupplementTo)
		must.SliceContainsAll(t, more, append(idsIn(supplement), idsIn(third)...))
	})
}

func TestStep_OneLostHolderLosesNothing(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		added := c.nodes[0].add(4, 1)
		sealOnly(c.nodes[2], 1)
		c.nodes[0].kill()
		must.SliceContainsAll(t, added, idsIn(c.nodes[2].must(1, 1)))
	})
}

func TestStep_AnswerOfTheSealIsLost(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.ask(1, 1, time.Second)
		c.nodes[1].add(8, 1)
		owner.afterSwap = func(_ string, err error) error {
			must.NoError(t, err)
			return outside.ErrUnavailable
		}
		first := owner.must(1, 1)
		owner.afterSwap = nil
		mustBeDisjoint(t, first, c.nodes[2].must(2, 1))
		must.Eq(t, 1, (*owner.owners.Load())[workspace].term)
	})
}

func TestStep_UnknownSealIsSettledAfterwards(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.ask(1, 1, time.Second)
		c.nodes[1].add(8, 1)
		owner.afterSwap = func(key string, err error) error {
			if !isHead(key) {
				return err
			}
			c.store.SetFaults(store.Faults{Down: true})
			return outside.ErrUnavailable
		}
		_, err := owner.ask(1, 1, time.Second)
		must.Eq(t, result.SealUnknown, result.CodeOf(err))
		c.store.SetFaults(store.Faults{})
		owner.afterSwap = nil
		first := owner.must(1, 1)
		must.Eq(t, idsIn(first), idsIn(c.nodes[2].must(1, 1)))
		mustBeDisjoint(t, first, owner.must(2, 1))
	})
}

func TestStep_StoreOutage(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		c.nodes[1].add(8, 1)
		first := c.nodes[0].must(1, 1)
		synctest.Wait() // for the announcement of the owner
		c.store.SetFaults(store.Faults{Down: true})
		must.Eq(t, idsIn(first), idsIn(c.nodes[2].must(1, 1)))
		_, err := c.nodes[0].ask(2, 1, time.Second)
		must.Eq(t, result.StoreUnavailable, result.CodeOf(err))
		c.nodes[2].add(1, 1)
		c.store.SetFaults(store.Faults{})
		mustBeDisjoint(t, first, c.nodes[0].must(2, 1))
	})
}

func TestStep_OfferedAgainAfterTakeOver(t *testing.T) {
	inCluster(t, 4, func(c *cluster) {
		c.nodes[1].add(10, 1)
		first := c.nodes[0].must(1, 1)
		c.nodes[0].kill()
		second := c.nodes[2].must(2, 1)
		c.nodes[2].kill()
		c.nodes[3].add(2, 1)
		mustBeDisjoint(t, first, second, c.nodes[3].must(3, 1))
	})
}

func TestStep_StaleSamplesAreNeverSealed(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		old := c.nodes[1].add(4, 1)
		aged := c.nodes[1].add(4, 5)
		time.Sleep(c.parameters.StalenessAge + time.Second)
		fresh := c.nodes[1].add(4, 5)
		reply := c.nodes[0].must(1, 5)
		must.SliceContainsAll(t, fresh, idsIn(reply))
		must.SliceNotContains(t, idsIn(reply), old[0])
		must.SliceNotContains(t, idsIn(reply), aged[0])
		// Holders let go of what was refused.
		time.Sleep(2 * offerEvery)
		must.Eq(t, 4, c.nodes[1].heldCount())
	})
}

func TestStep_SamplesSurviveRestartsInTheDataFolder(t *testing.T) {
	inCluster(t, 0, func(c *cluster) {
		c.folders = map[structs.HostName]string{"a": t.TempDir(), "b": t.TempDir()}
		a, b := c.start("a"), c.start("b")
		added := a.add(8, 1)
		sealOnly(b, 1)
		a.kill()
		b.kill()
		a, b = c.start("a"), c.start("b")
		first := a.must(1, 1)
		must.SliceEmpty(t, first.Lost)
		second := b.must(2, 1)
		must.SliceContainsAll(t, added, append(idsIn(first), idsIn(second)...))
	})
}

func TestStep_SampleOfAGoneHostIsCopiedAgain(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		origin, second := c.nodes[0], c.nodes[1]
		added := origin.add(4, 1)
		third := c.start("host-2")
		origin.kill()
		c.list(second, third)
		time.Sleep(2 * offerEvery)
		second.kill()
		c.list(third)
		must.SliceContainsAll(t, added, idsIn(third.must(1, 1)))
	})
}

func TestStep_PlannedStopHandsSamplesOver(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		origin, second := c.nodes[0], c.nodes[1]
		added := origin.add(4, 1)
		third := c.start("host-2")
		must.NoError(t, origin.Stop(context.Background()))
		origin.kill()
		second.kill()
		must.SliceContainsAll(t, added, idsIn(third.must(1, 1)))
	})
}

func TestAdd_RefusedWithoutASecondHost(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		samples := []structs.Sample{{Workspace: workspace, Born: time.Now(), Spans: []structs.VersionSpan{{Version: 1, Tokens: 1}}}}
		err := c.nodes[0].Add(context.Background(), samples)
		must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
		must.Zero(t, c.nodes[0].heldCount())
		samples[0].Spans = nil
		must.Eq(t, result.BadRequest, result.CodeOf(c.nodes[0].Add(context.Background(), samples)))
	})
}
