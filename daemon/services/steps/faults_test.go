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

// sealStep seals a step at a node without fetching the bodies.
func sealStep(n *node, number uint64) {
	n.cluster.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := n.sealedList(ctx, contract.StepRequest{Workspace: workspace, Step: number, HeldVersion: 1})
	must.NoError(n.cluster.t, err)
}

func TestStep_BothHoldersLost(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		// Only host-1 is listed when host-0 adds samples, so that it gets the second
		// copies.
		first, second, spare := c.nodes[0], c.nodes[1], c.nodes[2]
		c.setHostList(first, second)
		added := first.addSamples(4, 1)
		c.setHostList(first, second, spare)
		sealStep(spare, 1)
		for _, n := range c.nodes[:2] {
			n.kill()
			c.start(n.host)
		}
		reply := spare.mustStep(1, 1)
		must.SliceContainsAll(t, added, reply.Lost)
		must.SliceEmpty(t, reply.Samples)
		must.Eq(t, reply, c.nodes[0].mustStep(1, 1))
		more := c.nodes[0].addSamples(8, 1)
		supplement := c.nodes[1].mustStep(2, 1)
		must.Eq(t, 1, supplement.SupplementTo)
		must.Len(t, 4, supplement.Samples)
		third := c.nodes[1].mustStep(3, 1)
		must.Zero(t, third.SupplementTo)
		must.SliceContainsAll(t, more, append(replyIDs(supplement), replyIDs(third)...))
	})
}

func TestStep_OneHolderLost(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		added := c.nodes[0].addSamples(4, 1)
		sealStep(c.nodes[2], 1)
		c.nodes[0].kill()
		must.SliceContainsAll(t, added, replyIDs(c.nodes[2].mustStep(1, 1)))
	})
}

func TestStep_SealReplyLost(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.requestStep(1, 1, time.Second)
		c.nodes[1].addSamples(8, 1)
		owner.afterWrite = func(_ string, err error) error {
			must.NoError(t, err)
			return outside.ErrUnavailable
		}
		first := owner.mustStep(1, 1)
		owner.afterWrite = nil
		mustBeDisjoint(t, first, c.nodes[2].mustStep(2, 1))
		must.Eq(t, 1, (*owner.owners.Load())[workspace].term)
	})
}

func TestStep_SealOutcomeUnknown(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.requestStep(1, 1, time.Second)
		c.nodes[1].addSamples(8, 1)
		owner.afterWrite = func(key string, err error) error {
			if !isHead(key) {
				return err
			}
			c.store.SetFaults(store.Faults{Down: true})
			return outside.ErrUnavailable
		}
		_, err := owner.requestStep(1, 1, time.Second)
		must.Eq(t, result.SealUnknown, result.CodeOf(err))
		c.store.SetFaults(store.Faults{})
		owner.afterWrite = nil
		first := owner.mustStep(1, 1)
		must.Eq(t, replyIDs(first), replyIDs(c.nodes[2].mustStep(1, 1)))
		mustBeDisjoint(t, first, owner.mustStep(2, 1))
	})
}

func TestStep_StoreOutage(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.nodes[1].addSamples(8, 1)
		first := c.nodes[0].mustStep(1, 1)
		synctest.Wait() // until the owner is announced
		c.store.SetFaults(store.Faults{Down: true})
		must.Eq(t, replyIDs(first), replyIDs(c.nodes[2].mustStep(1, 1)))
		_, err := c.nodes[0].requestStep(2, 1, time.Second)
		must.Eq(t, result.StoreUnavailable, result.CodeOf(err))
		c.nodes[2].addSamples(1, 1)
		c.store.SetFaults(store.Faults{})
		mustBeDisjoint(t, first, c.nodes[0].mustStep(2, 1))
	})
}

func TestStep_OwnerFailover(t *testing.T) {
	runCluster(t, 4, func(c *cluster) {
		c.nodes[1].addSamples(10, 1)
		first := c.nodes[0].mustStep(1, 1)
		c.nodes[0].kill()
		second := c.nodes[2].mustStep(2, 1)
		c.nodes[2].kill()
		c.nodes[3].addSamples(2, 1)
		mustBeDisjoint(t, first, second, c.nodes[3].mustStep(3, 1))
	})
}

func TestStep_StaleSamples(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		old := c.nodes[1].addSamples(4, 1)
		aged := c.nodes[1].addSamples(4, 5)
		time.Sleep(c.parameters.StalenessAge + time.Second)
		fresh := c.nodes[1].addSamples(4, 5)
		reply := c.nodes[0].mustStep(1, 5)
		must.SliceContainsAll(t, fresh, replyIDs(reply))
		must.SliceNotContains(t, replyIDs(reply), old[0])
		must.SliceNotContains(t, replyIDs(reply), aged[0])
		// Holders delete stale samples after they are offered again.
		time.Sleep(2 * offerInterval)
		must.Eq(t, 4, c.nodes[1].sampleCount())
	})
}

func TestStep_RestartWithDataFolder(t *testing.T) {
	runCluster(t, 0, func(c *cluster) {
		c.folders = map[structs.HostName]string{"a": t.TempDir(), "b": t.TempDir()}
		a, b := c.start("a"), c.start("b")
		added := a.addSamples(8, 1)
		sealStep(b, 1)
		a.kill()
		b.kill()
		a, b = c.start("a"), c.start("b")
		first := a.mustStep(1, 1)
		must.SliceEmpty(t, first.Lost)
		second := b.mustStep(2, 1)
		must.SliceContainsAll(t, added, append(replyIDs(first), replyIDs(second)...))
	})
}

func TestStep_RepairAfterHostLoss(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		origin, second := c.nodes[0], c.nodes[1]
		added := origin.addSamples(4, 1)
		third := c.start("host-2")
		origin.kill()
		c.setHostList(second, third)
		time.Sleep(2 * offerInterval)
		second.kill()
		c.setHostList(third)
		must.SliceContainsAll(t, added, replyIDs(third.mustStep(1, 1)))
	})
}

func TestStep_HandoverAtPlannedStop(t *testing.T) {
	runCluster(t, 2, func(c *cluster) {
		origin, second := c.nodes[0], c.nodes[1]
		added := origin.addSamples(4, 1)
		third := c.start("host-2")
		must.NoError(t, origin.Stop(context.Background()))
		origin.kill()
		second.kill()
		must.SliceContainsAll(t, added, replyIDs(third.mustStep(1, 1)))
	})
}

func TestAdd_NoSecondHost(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		samples := []structs.Sample{{Workspace: workspace, Born: time.Now(), Spans: []structs.VersionSpan{{Version: 1, Tokens: 1}}}}
		err := c.nodes[0].Add(context.Background(), samples)
		must.Eq(t, result.PeerUnreachable, result.CodeOf(err))
		must.Zero(t, c.nodes[0].sampleCount())
		samples[0].Spans = nil
		must.Eq(t, result.BadRequest, result.CodeOf(c.nodes[0].Add(context.Background(), samples)))
	})
}
