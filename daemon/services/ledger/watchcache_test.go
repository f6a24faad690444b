package ledger

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

// testStaleness is the age up to which a reply of the store is fresh.
const testStaleness = 2300 * time.Millisecond

func recordAt(revision int) outside.Record {
	return outside.Record{Key: fmt.Sprintf("k%d", revision), Revision: outside.Revision(revision)}
}

func TestWatchCache_ChangesSince(t *testing.T) {
	c := newWatchCache(testStaleness)
	_, _, err := c.changesSince(0)
	must.ErrorIs(t, err, errChangesUnavailable)
	c.reset([]outside.Record{recordAt(2)}, 5)
	c.apply([]outside.Record{recordAt(6), recordAt(8)}, 9)
	changes, _, err := c.changesSince(6)
	must.NoError(t, err)
	must.Eq(t, []outside.Record{recordAt(8)}, changes.Records)
	must.False(t, changes.Full)
	must.Eq(t, 9, changes.throughRevision)
}

// TestWatchCache_FullListing checks that a daemon whose revision is too old
// gets a full listing from the cache and need not list the store.
func TestWatchCache_FullListing(t *testing.T) {
	c := newWatchCache(testStaleness)
	c.reset([]outside.Record{recordAt(2), recordAt(3)}, 5)
	c.apply([]outside.Record{{Key: "k2", Revision: 6, Removed: true}, recordAt(7)}, 7)
	changes, _, err := c.changesSince(4)
	must.NoError(t, err)
	must.True(t, changes.Full)
	must.Eq(t, []outside.Record{recordAt(3), recordAt(7)}, changes.Records)
}

func TestWatchCache_NewestPerKey(t *testing.T) {
	c := newWatchCache(testStaleness)
	c.reset(nil, 4)
	c.apply([]outside.Record{{Key: "a", Revision: 5}, {Key: "b", Revision: 6}, {Key: "a", Revision: 7}}, 7)
	changes, _, err := c.changesSince(4)
	must.NoError(t, err)
	must.Eq(t, []outside.Record{{Key: "b", Revision: 6}, {Key: "a", Revision: 7}}, changes.Records)
}

func TestWatchCache_Invalidate(t *testing.T) {
	c := newWatchCache(testStaleness)
	c.reset(nil, 5)
	_, changed, err := c.changesSince(5)
	must.NoError(t, err)
	c.invalidate()
	<-changed
	_, _, err = c.changesSince(5)
	must.ErrorIs(t, err, errChangesUnavailable)
	c.apply([]outside.Record{recordAt(6)}, 6)
	_, _, err = c.changesSince(5)
	must.ErrorIs(t, err, errChangesUnavailable)
}

func TestWatchCache_RemovalLimit(t *testing.T) {
	c := newWatchCache(testStaleness)
	c.reset(nil, 0)
	for revision := 1; revision <= maxCachedRemovals+1; revision++ {
		c.apply([]outside.Record{{Key: fmt.Sprint(revision), Revision: outside.Revision(revision), Removed: true}}, outside.Revision(revision))
	}
	kept := maxCachedRemovals + 1 - (maxCachedRemovals+1)/2
	must.MapLen(t, kept, c.records)
	changes, _, err := c.changesSince(outside.Revision((maxCachedRemovals + 1) / 2))
	must.NoError(t, err)
	must.False(t, changes.Full)
	must.Len(t, kept, changes.Records)
	changes, _, err = c.changesSince(1)
	must.NoError(t, err)
	must.True(t, changes.Full)
	must.SliceEmpty(t, changes.Records)
}

func pollCache(c *watchCache, after outside.Revision) NewsReply {
	s := &service{watches: []*prefixWatch{{prefix: "a/", cache: c}}}
	var reply NewsReply
	if err := (&Receiver{service: s}).News(NewsCall{Prefix: "a/", After: after}, &reply); err != nil {
		panic(err)
	}
	return reply
}

func TestNews_StaleCache(t *testing.T) {
	c := newWatchCache(testStaleness)
	c.reset(nil, 3)
	must.False(t, pollCache(c, 3).Heard)
	c.recordStoreReply(0)
	must.True(t, pollCache(c, 3).Heard)
}

// TestNews_AgeAccumulates checks that the age of a reply grows as it passes
// through daemons, so that none takes it for fresher than it is.
func TestNews_AgeAccumulates(t *testing.T) {
	c := newWatchCache(testStaleness)
	c.reset(nil, 3)
	c.recordStoreReply(time.Second)
	c.recordStoreReply(2 * time.Second) // Older than the last reply.
	reply := pollCache(c, 3)
	must.True(t, reply.Heard)
	must.Between(t, time.Second, reply.Age, 2*time.Second)
	other := newWatchCache(testStaleness)
	other.recordStoreReply(reply.Age)
	must.True(t, other.isFresh())
	other = newWatchCache(testStaleness)
	other.recordStoreReply(reply.Age + testStaleness)
	must.False(t, other.isFresh())
}

func TestErrorNumber(t *testing.T) {
	for number, wireError := range wireErrors {
		must.Eq(t, number, errorNumber(wireError))
	}
	must.Eq(t, len(wireErrors)-1, errorNumber(fmt.Errorf("other")))
}

// TestServedSince guards against a daemon that takes the store to be away because its own
// calls fail, while other daemons pass fresh changes on to it.
func TestServedSince(t *testing.T) {
	s := &service{connectivity: kernel.NewSnapshot(&connectivity{reachableSince: time.Now(), cancelWatches: func() {}}), metrics: noMetrics{}, log: logrus.NewEntry(logrus.New())}
	s.log.Logger.SetOutput(io.Discard)
	w := &prefixWatch{service: s, prefix: "servers/", cache: newWatchCache(time.Minute)}
	s.watches = []*prefixWatch{w}
	w.cache.recordStoreReply(0)
	s.recordCall("keep-alive", time.Now(), errors.WithStack(outside.ErrUnavailable))
	_, isServed := s.ServedSince("servers/")
	must.False(t, isServed)

	w.cache.recordStoreReply(time.Second) // From before the failure.
	_, isServed = s.ServedSince("servers/")
	must.False(t, isServed)

	w.cache.recordStoreReply(0)
	since, isServed := s.ServedSince("servers/")
	must.True(t, isServed)
	w.cache.recordStoreReply(0)
	again, _ := s.ServedSince("servers/")
	must.Less(t, time.Second, again.Sub(since).Abs())
	_, isServed = s.ServedSince("other/")
	must.False(t, isServed)

	w.cache.maxStaleness = 0
	_, isServed = s.ServedSince("servers/")
	must.False(t, isServed)
}
