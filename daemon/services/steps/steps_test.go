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

func TestStep_SameReplyFromAnyDaemon(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		_, err := c.nodes[0].requestStep(2, 1, time.Second)
		must.Eq(t, result.StepTooFarAhead, result.CodeOf(err))
		_, err = c.nodes[0].requestStep(1, 1, time.Second)
		must.Eq(t, result.StepNotReady, result.CodeOf(err))
		added := c.nodes[1].addSamples(3, 1)
		added = append(added, c.nodes[2].addSamples(2, 1)...)
		first := c.nodes[0].mustStep(1, 1)
		must.Len(t, 4, first.Samples)
		must.SliceContainsSubset(t, added, replyIDs(first))
		for _, n := range c.nodes {
			must.Eq(t, replyIDs(first), replyIDs(n.mustStep(1, 9)))
		}
	})
}

func TestStep_WaitsForSamples(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		time.AfterFunc(30*time.Second, func() { c.nodes[1].addSamples(4, 1) })
		started := time.Now()
		must.Len(t, 4, c.nodes[0].mustStep(1, 1).Samples)
		must.Less(t, 31*time.Second, time.Since(started))
	})
}

func TestStep_SamplesAroundFirstOwner(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.nodes[1].addSamples(2, 1)
		_, err := c.nodes[0].requestStep(1, 1, time.Second)
		must.Eq(t, result.StepNotReady, result.CodeOf(err))
		c.nodes[1].addSamples(2, 1)
		_, err = c.nodes[0].requestStep(1, 1, offerInterval/2)
		must.NoError(t, err)
	})
}

func TestStep_OwnerCrashBeforeHeadWrite(t *testing.T) {
	runCluster(t, 4, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.requestStep(1, 1, time.Second)
		added := c.nodes[1].addSamples(4, 1)
		owner.beforeWrite = func(key string) {
			if isHead(key) {
				go owner.kill()
				<-owner.ctx.Done()
			}
		}
		_, _ = owner.requestStep(1, 1, time.Second)
		reply := c.nodes[2].mustStep(1, 1)
		must.SliceContainsAll(t, added, replyIDs(reply))
		entries, err := c.store.List(context.Background(), segmentPrefix(workspace))
		must.NoError(t, err)
		must.Len(t, 1, entries, must.Sprint("the orphaned segment must be deleted"))
	})
}

func TestStep_FrozenOwnerDuringSeal(t *testing.T) {
	runCluster(t, 4, func(c *cluster) {
		owner := c.nodes[0]
		_, _ = owner.requestStep(1, 1, time.Second)
		c.nodes[1].addSamples(6, 1)
		owner.beforeWrite = func(key string) {
			if isHead(key) {
				owner.beforeWrite = nil
				owner.freeze()
			}
		}
		frozen := make(chan error, 1)
		go func() {
			_, err := owner.requestStep(1, 1, time.Hour)
			frozen <- err
		}()
		first := c.nodes[2].mustStep(1, 1)
		owner.thaw()
		// The thawed owner's write failed. The request may end with an unknown
		// outcome, or succeed at the new owner.
		must.SliceContains(t, []result.Code{result.OK, result.SealUnknown}, result.CodeOf(<-frozen))
		must.Eq(t, replyIDs(first), replyIDs(owner.mustStep(1, 1)))
		c.nodes[1].addSamples(2, 1)
		second := owner.mustStep(2, 1)
		mustBeDisjoint(t, first, second)
	})
}

// mustBeDisjoint fails the test when a sample was delivered in two steps.
func mustBeDisjoint(t *testing.T, replies ...contract.StepReply) {
	t.Helper()
	seen := make(map[structs.SampleID]uint64)
	for _, reply := range replies {
		for _, id := range replyIDs(reply) {
			must.Zero(t, seen[id], must.Sprintf("%v is in steps %d and %d", id, seen[id], reply.Step))
			seen[id] = reply.Step
		}
	}
}
