package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// upstreamsTimeout is how long a daemon that starts waits to learn its
	// upstreams before it lists the prefixes in the store, so that hundreds of
	// daemons that start together do not all read them.
	upstreamsTimeout = 2500 * time.Millisecond
	// minUpstreamsPoll and maxUpstreamsPoll bound the pause, which doubles,
	// between two listings of the prefix that leads to the upstreams.
	minUpstreamsPoll = 50 * time.Millisecond
	maxUpstreamsPoll = 400 * time.Millisecond
	// stalePollInterval is the pause between two polls of upstreams that get no
	// changes.
	stalePollInterval = 100 * time.Millisecond
	// A daemon without changes from any upstream turns to the store after a random
	// delay between minDirectDelay and the result of maxDirectDelay, which is at
	// least shortDirectDelay and at most longDirectDelay. Without the delay all
	// daemons would call a store in trouble at once.
	minDirectDelay   = 50 * time.Millisecond
	shortDirectDelay = 300 * time.Millisecond
	longDirectDelay  = 2 * time.Second
	// minUnreachableRetry is the shortest time between two tries, for any prefix, of
	// a daemon that believes that the store is unreachable. A random time up to as
	// much again is added.
	minUnreachableRetry = 700 * time.Millisecond
	// staleDetectionTime is how long it takes a daemon to find that none of its
	// upstreams gets changes, and then to get a change from the store.
	staleDetectionTime = 2600 * time.Millisecond
	// A daemon that knows nothing of a prefix yet waits for its upstreams for a random
	// time between minFirstDelay and maxFirstDelay, then it lists the prefix in the store:
	// hosts that start together find each other down or without changes for longer.
	minFirstDelay = 60 * time.Millisecond
	maxFirstDelay = 120 * time.Millisecond
	// upstreamGrace is how long an upstream without changes keeps the first poll of
	// a daemon waiting.
	upstreamGrace = 200 * time.Millisecond
	// stalenessMargin is added to the wait of a poll for the age up to which a
	// reply of the store is fresh: the way from the store and between daemons.
	stalenessMargin = 450 * time.Millisecond
)

// maxDirectDelay returns the longest time for which a daemon leaves it to its
// upstreams to reach the store. A change must be in force everywhere within
// configApply.
func maxDirectDelay(configApply time.Duration) time.Duration {
	return min(max(configApply-staleDetectionTime, shortDirectDelay), longDirectDelay)
}

// errUpstreamsStale means that daemons which serve changes were reached, but get
// none from the store themselves.
var errUpstreamsStale = errors.New("ledger: upstream daemons get no changes")

// prefixWatch watches one prefix.
type prefixWatch struct {
	service *service
	prefix  string
	options contract.WatchOptions
	cache   *watchCache
	mailbox *kernel.Mailbox[delivery]
	handled handledReplies
	// failures holds the upstreams that do not answer.
	failures upstreamFailures

	// The fields below belong to the goroutine of run.

	// staleSince is when the upstreams were first found to get no changes, and
	// directDelay how long from then on this daemon waits for them; zero while
	// they do.
	staleSince, directDelay time.Duration
	// needsCurrent is set when the next listing must not lag.
	needsCurrent bool
	// source is where the last reply came from: the address of an upstream, or
	// sourceStore; empty before the first one. It is logged.
	source string
}

// sourceStore is the source of the replies to this daemon's own calls of the store.
const sourceStore = "store"

// WatchPrefix implements contract.TransactionalStore.
func (s *service) WatchPrefix(prefix string, options contract.WatchOptions, handle func(contract.News)) {
	w := &prefixWatch{service: s, prefix: prefix, options: options, cache: newWatchCache(options.PollTimeout + stalenessMargin)}
	w.mailbox = kernel.NewMailbox(s.loop, mailboxCapacity, func(changes delivery) {
		handle(changes.News)
		w.handled.end(changes.repliedAt)
	})
	s.watches = append(s.watches, w)
}

// run lists the prefix and then delivers its changes until ctx ends.
func (w *prefixWatch) run(ctx context.Context) {
	delays := newBackoff()
	revision, isListed := w.awaitUpstreams(ctx)
	for ctx.Err() == nil {
		var err error
		if isListed {
			revision, err = w.awaitChanges(ctx, revision)
		} else {
			revision, err = w.list(ctx)
			isListed = err == nil
		}
		switch {
		case err == nil:
			delays.Reset()
		case errors.Is(err, outside.ErrCompacted):
			w.service.log.WithField("prefix", w.prefix).Info("Watch history is incomplete; listing the prefix.")
			isListed, w.needsCurrent = false, true
			w.cache.invalidate()
			w.service.resync()
		case errors.Is(err, errUpstreamsStale):
			w.pause(ctx, stalePollInterval)
		default:
			// The changes since the revision are read after the pause. Daemons that
			// follow this one see that its last reply of the store is old.
			w.awaitRetry(ctx, delays.NextBackOff())
		}
	}
}

func (w *prefixWatch) pause(ctx context.Context, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// awaitUpstreams waits at the start until the upstreams of this daemon are set. The
// prefix that leads to them is listed meanwhile, from a copy that may lag, since
// the upstreams or a watch return what it lacks. It returns the revision of the
// last listing and whether there was one.
func (w *prefixWatch) awaitUpstreams(ctx context.Context) (outside.Revision, bool) {
	known := w.service.upstreams.known
	if !w.service.hasUpstreamPrefix() {
		return zeroRevision, false
	}
	ctx, cancel := context.WithTimeout(ctx, upstreamsTimeout)
	defer cancel()
	if !w.options.ListsUpstreams {
		select {
		case <-known:
		case <-ctx.Done():
		}
		return zeroRevision, false
	}
	revision, isListed := zeroRevision, false
	for delay := minUpstreamsPoll; ctx.Err() == nil; delay = min(2*delay, maxUpstreamsPoll) {
		listing, err := w.service.ListStale(ctx, w.prefix)
		if err == nil && listing.AsOf >= revision {
			w.cache.reset(listing.Records, listing.AsOf)
			w.source = sourceStore
			changes := changeSet{News: contract.News{Records: listing.Records, Full: true}, throughRevision: listing.AsOf}
			if err := w.deliver(changes); err != nil {
				break
			}
			revision, isListed = listing.AsOf, true
		}
		select {
		case <-known:
			return revision, isListed
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	return revision, isListed
}

// awaitRetry waits for the delay before a retry, or until another call has
// found the store reachable again.
func (w *prefixWatch) awaitRetry(ctx context.Context, delay time.Duration) {
	current, replaced := w.service.connectivity.Watch()
	if !current.reachableSince.IsZero() {
		replaced = nil
	}
	select {
	case <-time.After(delay):
	case <-replaced:
	case <-ctx.Done():
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialRetryDelay, maxRetryDelay
	delays.Reset()
	return delays
}

// list reads all records of the prefix, from an upstream daemon or from the
// store, and returns their revision.
func (w *prefixWatch) list(ctx context.Context) (outside.Revision, error) {
	changes, err := w.pollUpstreams(ctx, zeroRevision)
	if errors.Is(err, errChangesUnavailable) {
		var listing outside.Listing
		if w.needsCurrent {
			listing, err = w.service.List(ctx, w.prefix)
		} else {
			listing, err = w.service.ListStale(ctx, w.prefix)
		}
		changes = changeSet{News: contract.News{Records: listing.Records, Full: true}, throughRevision: listing.AsOf}
		w.source = sourceStore
	}
	if err != nil {
		return 0, err
	}
	w.needsCurrent = false
	w.cache.reset(changes.Records, changes.throughRevision)
	return changes.throughRevision, w.deliver(changes)
}

// awaitChanges waits for changes after a revision, from an upstream daemon or,
// where none serves them, from the store. It returns the revision up to which
// the changes are complete.
func (w *prefixWatch) awaitChanges(ctx context.Context, after outside.Revision) (outside.Revision, error) {
	delay := time.Duration(0)
	previousReply := w.cache.lastStoreReply.Load()
	changes, err := w.pollUpstreams(ctx, after)
	if errors.Is(err, errChangesUnavailable) {
		delay = w.options.BatchDelay
		changes, err = w.watchStore(ctx, after)
	}
	if err != nil {
		return after, err
	}
	w.logGap(previousReply)
	if changes.Full {
		w.cache.reset(changes.Records, changes.throughRevision)
	} else {
		w.cache.apply(changes.Records, changes.throughRevision)
	}
	if !changes.Full && len(changes.Records) == 0 {
		w.handled.confirm(w.cache.lastStoreReply.Load())
		return changes.throughRevision, nil
	}
	if err := w.deliver(changes); err != nil {
		return after, err
	}
	w.pause(ctx, delay)
	return changes.throughRevision, nil
}

// logGap logs that replies of the store arrive again after a time without, given when
// the one before was made.
func (w *prefixWatch) logGap(previousReply int64) {
	gap := time.Duration(w.cache.lastStoreReply.Load() - previousReply)
	if previousReply == 0 || gap <= w.cache.maxStaleness {
		return
	}
	w.service.log.WithFields(logrus.Fields{"prefix": w.prefix, "source": w.source, "without_ms": gap.Milliseconds()}).
		Info("Replies of the store arrive again.")
}

// catchUpTimeout is how long a watch waits for changes that are to bring a copy
// up to date: the store has them already.
const catchUpTimeout = time.Millisecond

// watchStore waits for changes from the store itself. After a listing that may
// lag, it does not wait for further changes, so that this daemon can serve others
// soon.
func (w *prefixWatch) watchStore(ctx context.Context, after outside.Revision) (changeSet, error) {
	// A watch on a store that stopped serving would not notice that the store
	// is back.
	if current := w.service.connectivity.Load().watchContext; current != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(current, cancel)()
	}
	timeout := w.options.PollTimeout
	if !w.cache.isFresh() {
		timeout = catchUpTimeout
	}
	records, through, err := w.service.Watch(ctx, w.prefix, after, timeout)
	if err != nil {
		return changeSet{}, err
	}
	w.cache.recordStoreReply(0)
	w.source = sourceStore
	return changeSet{News: contract.News{Records: records}, throughRevision: through}, nil
}

// pollUpstreams polls the upstream daemons for changes. It waits for changes from the
// first one in their order that has not failed just now. When that one fails, has no
// changes or does not answer in time, all others are asked at once for what they
// have, so that several upstreams in trouble cost no more time than one. It fails with
// errChangesUnavailable when this daemon is to read the store itself, and with
// errUpstreamsStale while it is to wait for the upstreams.
func (w *prefixWatch) pollUpstreams(ctx context.Context, after outside.Revision) (changeSet, error) {
	addresses := w.availableUpstreams()
	if len(addresses) == 0 {
		return changeSet{}, errChangesUnavailable
	}
	first, others := addresses[0], addresses[1:]
	wait := min(w.options.PollTimeout, upstreamPollTimeout)
	if w.failures.has(first) {
		wait = 0
	}
	replies := make(chan upstreamReply, len(addresses))
	w.startPoll(first, after, wait, replies)
	hedge := time.NewTimer(wait + upstreamHedgeDelay)
	defer hedge.Stop()
	var firstDelay <-chan time.Time
	if after == zeroRevision && w.source == "" {
		firstDelay = time.After(minFirstDelay + rand.N(maxFirstDelay-minFirstDelay))
	}
	isStale := false
	for pending := 1; pending > 0; {
		select {
		case <-ctx.Done():
			return changeSet{}, ctx.Err()
		case <-firstDelay:
			return changeSet{}, errChangesUnavailable
		case reply := <-replies:
			pending--
			if reply.err == nil && reply.Heard {
				return w.useReply(reply, after), nil
			}
			isStale = isStale || reply.err == nil
		case <-hedge.C:
		}
		for _, address := range others {
			w.startPoll(address, after, 0, replies)
		}
		pending += len(others)
		others = nil
	}
	if isStale && w.waitsForUpstreams() {
		return changeSet{}, errUpstreamsStale
	}
	return changeSet{}, errChangesUnavailable
}

// availableUpstreams returns the upstreams that have not failed within
// upstreamRetryDelay.
func (w *prefixWatch) availableUpstreams() []string {
	var available []string
	for _, address := range w.service.upstreams.load() {
		if !w.failures.isRecent(address) {
			available = append(available, address)
		}
	}
	return available
}

// useReply records what a reply shows about the age of this daemon's knowledge.
func (w *prefixWatch) useReply(reply upstreamReply, after outside.Revision) changeSet {
	w.staleSince, w.directDelay = 0, 0
	w.service.metrics.Count("store.heard", 1)
	w.cache.recordStoreReply(reply.Age)
	w.source = reply.address
	return changeSet{News: reply.News, throughRevision: max(after, reply.Through)}
}

// waitsForUpstreams reports whether a daemon whose upstreams get no changes
// leaves it to them to try the store. It tries on its own after a random delay. If it
// believes that the store does not serve it either, it only tries now and then.
func (w *prefixWatch) waitsForUpstreams() bool {
	now := boottime.Now()
	if w.staleSince == 0 {
		w.staleSince, w.directDelay = now, minDirectDelay+rand.N(w.service.maxDirectDelay-minDirectDelay)
		w.service.log.WithField("prefix", w.prefix).Info("Upstream daemons get no changes of the store.")
	}
	if now-w.staleSince < w.directDelay {
		return true
	}
	_, isReached := w.service.ReachedSince()
	return !isReached && !w.service.takeUnreachableTry(now)
}

// deliver posts changes to the control loop. When the mailbox is full, changes
// are lost and the prefix must be listed again.
func (w *prefixWatch) deliver(changes changeSet) error {
	changes.Source, changes.Age = w.source, w.cache.staleness()
	w.handled.begin()
	if err := w.mailbox.Post(delivery{News: changes.News, repliedAt: w.cache.lastStoreReply.Load()}); err != nil {
		w.handled.end(0)
		return errors.Wrap(outside.ErrCompacted, err.Error())
	}
	return nil
}
