package ledger

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// maxCachedRemovals bounds the removals of a prefix that are kept for other
	// daemons.
	maxCachedRemovals = 1024
)

// errChangesUnavailable means that the cache, or the upstream daemon, cannot
// serve complete changes now.
var errChangesUnavailable = errors.New("ledger: no changes available")

// watchCache keeps the records and latest removals of a prefix for the daemons
// that poll this one, so that a single daemon watches the store for all of
// them. It is safe for concurrent use.
type watchCache struct {
	mu sync.Mutex
	// records holds the latest event of each key, removals included.
	records      map[string]outside.Record
	removalCount int
	// The events after droppedRevision up to lastRevision are complete.
	droppedRevision, lastRevision outside.Revision
	// isComplete is false until the prefix is listed, and after a failed watch.
	isComplete bool
	changed    chan struct{}
	// maxStaleness is how long after the last reply of the store this daemon may
	// report that nothing changed.
	maxStaleness time.Duration
	// lastStoreReply is when the store last replied to a watch of the prefix by
	// any daemon, on the clock of package boottime, which includes the time of
	// a suspension.
	lastStoreReply atomic.Int64
	// servedSince is when the first of the present replies came that follow each other
	// within maxStaleness, and interruptedAt when a call of this daemon to the store last
	// failed after others had succeeded; both on the same clock, zero for never.
	servedSince, interruptedAt atomic.Int64
	// stopped is closed when this daemon stops.
	stopped chan struct{}
}

func newWatchCache(maxStaleness time.Duration) *watchCache {
	return &watchCache{changed: make(chan struct{}), maxStaleness: maxStaleness, stopped: make(chan struct{})}
}

// errStopping is the reply to the polls that wait when this daemon stops, so that they do
// not hold its stop up and their callers ask other daemons.
var errStopping = errors.New("ledger: this daemon is stopping")

// stop ends the polls in progress.
func (c *watchCache) stop() { close(c.stopped) }

// reset replaces the cached records with a full listing.
func (c *watchCache) reset(records []outside.Record, revision outside.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records, c.removalCount = make(map[string]outside.Record, len(records)), 0
	for _, record := range records {
		c.records[record.Key] = record
	}
	c.droppedRevision, c.lastRevision, c.isComplete = revision, revision, true
	c.notify()
}

// apply adds changes that directly follow the cached ones.
func (c *watchCache) apply(records []outside.Record, through outside.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isComplete {
		return
	}
	for _, record := range records {
		if c.records[record.Key].Removed {
			c.removalCount--
		}
		if record.Removed {
			c.removalCount++
		}
		c.records[record.Key] = record
	}
	c.lastRevision = max(c.lastRevision, through)
	if c.removalCount > maxCachedRemovals {
		c.dropOldRemovals()
	}
	c.notify()
}

// dropOldRemovals drops the older half of the removals. The lock must be held.
func (c *watchCache) dropOldRemovals() {
	removed := make([]outside.Record, 0, c.removalCount)
	for _, record := range c.records {
		if record.Removed {
			removed = append(removed, record)
		}
	}
	slices.SortFunc(removed, byRevision)
	for _, record := range removed[:len(removed)/2] {
		delete(c.records, record.Key)
		c.droppedRevision = record.Revision
		c.removalCount--
	}
}

func byRevision(a, b outside.Record) int { return cmp.Compare(a.Revision, b.Revision) }

// notify wakes the calls that wait for changes. The lock must be held.
func (c *watchCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// invalidate clears the cache: this daemon no longer gets changes itself.
func (c *watchCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isComplete, c.records = false, nil
	c.notify()
}

// changeSet holds the changes after a revision, or a full listing.
type changeSet struct {
	contract.News
	throughRevision outside.Revision
}

// changesSince returns the changes after a revision, or a full listing when
// removals since then were dropped. It fails with errChangesUnavailable when
// the cache is incomplete. The channel is closed at the next change.
func (c *watchCache) changesSince(after outside.Revision) (changeSet, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isComplete {
		return changeSet{}, c.changed, errChangesUnavailable
	}
	changes := changeSet{throughRevision: max(after, c.lastRevision)}
	changes.Full = after < c.droppedRevision
	for _, record := range c.records {
		if changes.Full && !record.Removed || !changes.Full && record.Revision > after {
			changes.Records = append(changes.Records, record)
		}
	}
	slices.SortFunc(changes.Records, byRevision)
	return changes, c.changed, nil
}

// staleness returns the time since the store last replied to a watch of the
// prefix.
func (c *watchCache) staleness() time.Duration {
	return boottime.Since(time.Duration(c.lastStoreReply.Load()))
}

// isFresh reports whether this daemon may report that nothing changed.
func (c *watchCache) isFresh() bool { return c.staleness() < c.maxStaleness }

// interrupt begins a new series of replies: the store has failed this daemon. Replies that
// it gave before, which other daemons pass on, do not count.
func (c *watchCache) interrupt() {
	c.interruptedAt.Store(int64(boottime.Now()))
	c.servedSince.Store(0)
}

// recordStoreReply records a reply that the store gave the given time ago.
func (c *watchCache) recordStoreReply(age time.Duration) {
	replyTime := int64(boottime.Now() - age)
	isNewSeries := c.servedSince.Load() == 0 || replyTime-c.lastStoreReply.Load() > int64(c.maxStaleness)
	if isNewSeries && replyTime > c.interruptedAt.Load() {
		c.servedSince.Store(int64(boottime.Now()))
	}
	for last := c.lastStoreReply.Load(); last < replyTime; last = c.lastStoreReply.Load() {
		if c.lastStoreReply.CompareAndSwap(last, replyTime) {
			return
		}
	}
}

// NewsCall polls another daemon for the changes of a prefix.
type NewsCall struct {
	Prefix string
	// After is the last revision that the caller has.
	After outside.Revision
	// Wait is the longest wait for changes; the daemon may wait less.
	Wait time.Duration
}

// NewsReply is the reply to a NewsCall.
type NewsReply struct {
	// Heard is false when the daemon cannot serve complete changes.
	Heard bool
	// Age is the time since the store last replied to a watch by any daemon, when
	// the reply was made, and Held the time for which the call waited for it.
	Age, Held time.Duration
	// News holds the changes after the revision of the call, or a full listing.
	News contract.News
	// Through is the revision up to which News is complete.
	Through outside.Revision
}

// News waits for changes of a prefix, or for a later reply of the store that
// there are none.
func (r *Receiver) News(call NewsCall, reply *NewsReply) error {
	for _, w := range r.service.watches {
		if w.prefix == call.Prefix {
			return w.cache.serve(call, reply)
		}
	}
	return nil
}

// serve fills the reply as soon as there are changes or a later reply of the
// store, and at the latest after the timeout.
//
// A daemon that gets no changes itself keeps the caller waiting for a part of
// that time, because it may just be changing to another upstream. It fails with
// errStopping.
func (c *watchCache) serve(call NewsCall, reply *NewsReply) error {
	started := boottime.Now()
	defer func() { reply.Held = boottime.Since(started) }()
	wait := min(call.Wait, upstreamPollTimeout)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	staleTimer := time.NewTimer(min(wait, max(0, c.maxStaleness-c.staleness())+upstreamGrace))
	defer staleTimer.Stop()
	timedOut, staleTimedOut := false, false
	previousReply := c.lastStoreReply.Load()
	for {
		changes, changed, err := c.changesSince(call.After)
		reply.Heard = err == nil && c.isFresh()
		reply.News, reply.Through, reply.Age = changes.News, changes.throughRevision, c.staleness()
		if !reply.Heard && (timedOut || staleTimedOut) {
			return nil
		}
		if reply.Heard && (changes.Full || len(changes.Records) > 0 || timedOut || c.lastStoreReply.Load() > previousReply) {
			return nil
		}
		select {
		case <-c.stopped:
			return errStopping
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-staleTimer.C:
			// A later reply may have arrived since the timer was set.
			staleTimer.Reset(max(0, c.maxStaleness-c.staleness()) + upstreamGrace)
			staleTimedOut = !c.isFresh() || err != nil
		}
	}
}
