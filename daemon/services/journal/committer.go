package journal

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 100 * time.Millisecond
	// refuseIntentsAfter is how long writes may fail before the intents that
	// wait for one are refused.
	refuseIntentsAfter = 500 * time.Millisecond
)

// errStoreUnreachable means that the owner of a bucket cannot reach the store.
var errStoreUnreachable = errors.New("journal: bucket owner cannot reach the store")

// committer commits the records of one bucket that this daemon owns. One
// goroutine runs loop and holds the bucket's state; others reach it through the
// channels.
type committer struct {
	bucket  journal.Bucket
	clock   clockwork.Clock
	store   *bucketStore
	log     *logrus.Entry
	metrics contract.Metrics

	admissions chan admitRequest
	outcomes   chan outcome
	// drain starts handing the bucket back.
	drain        chan struct{}
	writeResults chan writeResult
	// done is closed once the bucket is no longer owned or loop has ended.
	done chan struct{}

	// The fields below belong to the goroutine of loop.
	ownedBucket *journal.OwnedBucket
	revision    outside.Revision
	// executions are the admitted submissions without an outcome.
	executions map[journal.Key]*execution
	pacer      *journal.Pacer
	// inFlight is the proposal being written or to be repeated. isWriting is
	// set while a write of it is in progress.
	inFlight  *journal.Proposal
	isWriting bool
	// retryAt is when a failed write may be repeated, and failedAt when the
	// first of the successive failures occurred.
	retryAt  time.Time
	failedAt time.Time
	// storeUnreachable is set while intents are refused because writes fail.
	storeUnreachable bool
	draining         bool
	writers          conc.WaitGroup
}

// newCommitter returns the committer of a bucket that has just been claimed.
func newCommitter(s *service, claimed *claim) *committer {
	return &committer{
		bucket:       claimed.bucket,
		clock:        s.clock,
		store:        s.bucketStore(),
		log:          s.log,
		metrics:      s.metrics,
		admissions:   make(chan admitRequest),
		outcomes:     make(chan outcome),
		drain:        make(chan struct{}, 1),
		writeResults: make(chan writeResult, 1),
		done:         make(chan struct{}),
		ownedBucket:  claimed.ownedBucket,
		revision:     claimed.revision,
		pacer:        journal.NewPacer(s.policy),
		executions:   make(map[journal.Key]*execution),
	}
}

// loop serves the bucket until the ownership is lost, the bucket is handed
// back, or ctx ends.
func (c *committer) loop(ctx context.Context) {
	defer c.writers.Wait()
	defer close(c.done)
	timer := c.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case r := <-c.admissions:
			c.handleAdmitRequest(r)
		case o := <-c.outcomes:
			c.handleOutcome(o)
		case <-c.drain:
			c.draining = true
		case result := <-c.writeResults:
			if c.handleWriteResult(result) {
				return
			}
		case <-timer.Chan():
		case <-ctx.Done():
			return
		}
		c.startNextWrite(ctx, timer)
	}
}

// handleAdmitRequest looks a key up and, unless lookupOnly is set, admits the
// request.
func (c *committer) handleAdmitRequest(r admitRequest) {
	if verdict, record, found := c.ownedBucket.Lookup(r.request.Key, r.request.Fingerprint); found || r.lookupOnly {
		r.reply <- admitResult{verdict: verdict, record: record, execution: c.executions[r.request.Key]}
		return
	}
	c.checkDrain()
	if c.draining || c.storeUnreachable {
		r.reply <- admitResult{draining: c.draining, storeUnreachable: c.storeUnreachable}
		return
	}
	verdict, record := c.ownedBucket.Admit(c.clock.Now(), r.request)
	reply := admitResult{verdict: verdict, record: record}
	if verdict == journal.VerdictRun {
		reply.execution = &execution{
			key:       record.Key,
			operation: record.Operation,
			committed: make(chan struct{}),
			refused:   make(chan struct{}),
			finished:  make(chan struct{}),
		}
		c.executions[record.Key] = reply.execution
	}
	r.reply <- reply
}

// checkDrain starts draining if that was requested. The loop may receive an
// admission first although the request to drain was sent before it.
func (c *committer) checkDrain() {
	select {
	case <-c.drain:
		c.draining = true
	default:
	}
}

// handleOutcome records the outcome of an execution.
func (c *committer) handleOutcome(o outcome) {
	c.ownedBucket.Finish(o.execution.key, o.execution.operation, o.state, o.answer)
	if c.executions[o.execution.key] == o.execution {
		delete(c.executions, o.execution.key)
	}
}

// startNextWrite starts the next write, or sets the timer for it. A draining
// bucket is released when its last execution has ended.
func (c *committer) startNextWrite(ctx context.Context, timer clockwork.Timer) {
	if c.isWriting {
		return
	}
	if c.draining && len(c.executions) == 0 {
		c.ownedBucket.Release()
	}
	if c.inFlight == nil && !c.ownedBucket.CanPropose() {
		return
	}
	now, next := c.clock.Now(), c.nextWriteTime()
	if now.Before(next) {
		timer.Reset(next.Sub(now))
		return
	}
	if c.inFlight == nil {
		c.inFlight, _ = c.ownedBucket.Propose(now)
	}
	c.pacer.RecordWrite(now)
	c.writeProposal(ctx, c.inFlight)
}

// nextWriteTime returns the earliest time of the next write.
func (c *committer) nextWriteTime() time.Time {
	next := c.pacer.Next(c.inFlight != nil || c.ownedBucket.HasPendingIntent() || c.draining)
	if next.Before(c.retryAt) {
		return c.retryAt
	}
	return next
}

// writeProposal writes a proposal on a separate goroutine and then deletes the
// segments that it made obsolete.
func (c *committer) writeProposal(ctx context.Context, proposal *journal.Proposal) {
	c.isWriting = true
	expected := c.revision
	c.writers.Go(func() {
		revision, err := c.store.write(ctx, c.bucket, proposal, expected)
		c.writeResults <- writeResult{revision: revision, err: err}
		if err == nil {
			c.store.removeSegments(ctx, c.bucket, proposal.ObsoleteSegments)
		}
	})
}

// handleWriteResult handles the result of a write and reports whether the
// bucket is no longer owned. That is so when another daemon has claimed it,
// when it was handed back, and when the proposal exceeds the store's value
// size, which a retry cannot change. After any other error the same proposal is
// written again.
func (c *committer) handleWriteResult(result writeResult) bool {
	c.isWriting = false
	switch {
	case result.err == nil:
		c.revision = result.revision
		c.failedAt, c.storeUnreachable = time.Time{}, false
		c.handleCommitted()
		return c.ownedBucket.Released()
	case errors.Is(result.err, errOwnerChanged), errors.Is(result.err, outside.ErrTooLarge):
		c.log.WithError(result.err).Warnf("Lost ownership of bucket %d.", c.bucket)
		c.metrics.Count("journal.lost", 1)
		return true
	default:
		c.log.WithError(result.err).Debugf("Could not write to bucket %d.", c.bucket)
		c.metrics.Count("journal.retries", 1)
		c.handleWriteFailure(c.clock.Now())
		return false
	}
}

// handleWriteFailure schedules the next attempt. When writes have failed for
// refuseIntentsAfter, it refuses the intents that wait for a commit: nothing of
// them was sent, and another daemon may reach the store. Outcomes are kept
// until the store can be written again.
func (c *committer) handleWriteFailure(now time.Time) {
	c.retryAt = now.Add(writeRetryDelay)
	if c.failedAt.IsZero() {
		c.failedAt = now
	}
	if now.Sub(c.failedAt) < refuseIntentsAfter {
		return
	}
	c.storeUnreachable = true
	for key, e := range c.executions {
		if !e.isCommitted {
			c.ownedBucket.Finish(key, e.operation, journal.StateNotRun, nil)
			delete(c.executions, key)
			close(e.refused)
		}
	}
}

// handleCommitted starts the executions whose intents the last write has
// committed.
func (c *committer) handleCommitted() {
	c.inFlight = nil
	batch := c.ownedBucket.MarkCommitted()
	c.metrics.Count("journal.batches", 1)
	c.metrics.Count("journal.records", int64(len(batch)))
	for _, record := range batch {
		e := c.executions[record.Key]
		if record.State == journal.StateIntent && e != nil && e.operation == record.Operation {
			e.isCommitted = true
			close(e.committed)
		}
	}
}
