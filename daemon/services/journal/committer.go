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
	// retryDelay is the pause after a write that the store did not take.
	retryDelay = 100 * time.Millisecond
	// giveUpAfter is how long writes may fail before intents are refused.
	giveUpAfter = 500 * time.Millisecond
)

// errCut means that the owner of a bucket cannot reach the store.
var errCut = errors.New("journal: the owner of the bucket cannot reach the store")

// committer commits the records of one bucket that this daemon owns. Its
// ledger belongs to the goroutine of loop.
type committer struct {
	bucket  journal.Bucket
	clock   clockwork.Clock
	records *records
	log     *logrus.Entry
	metrics contract.Metrics

	admissions chan admission
	outcomes   chan outcome
	drains     chan struct{}
	results    chan written
	// done is closed once the bucket is no longer owned.
	done chan struct{}

	// The fields below belong to the goroutine of loop.
	ledger   *journal.OwnedBucket
	revision outside.Revision
	runs     map[journal.Key]*run
	pacer    *journal.Pacer
	flight   *journal.Proposal
	writing  bool
	// retryAt is when a write that failed may be repeated, and failedAt when
	// the first one in a row failed.
	retryAt  time.Time
	failedAt time.Time
	// cut is set while intents are refused because writes fail.
	cut      bool
	draining bool
	writers  conc.WaitGroup
}

// newCommitter returns the committer of a bucket that was just claimed.
func newCommitter(s *service, claimed *claim) *committer {
	return &committer{
		bucket:     claimed.bucket,
		clock:      s.clock,
		records:    s.records(),
		log:        s.log,
		metrics:    s.metrics,
		admissions: make(chan admission),
		outcomes:   make(chan outcome),
		drains:     make(chan struct{}, 1),
		results:    make(chan written, 1),
		done:       make(chan struct{}),
		ledger:     claimed.ledger,
		revision:   claimed.revision,
		pacer:      journal.NewPacer(s.strategy),
		runs:       make(map[journal.Key]*run),
	}
}

// loop serves the bucket until it is lost, handed back or ctx ends.
func (c *committer) loop(ctx context.Context) {
	defer c.writers.Wait()
	defer close(c.done)
	timer := c.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case a := <-c.admissions:
			c.admit(a)
		case o := <-c.outcomes:
			c.finish(o)
		case <-c.drains:
			c.draining = true
		case w := <-c.results:
			if c.onWritten(w) {
				return
			}
		case <-timer.Chan():
		case <-ctx.Done():
			return
		}
		c.flush(ctx, timer)
	}
}

func (c *committer) admit(a admission) {
	if verdict, record, known := c.ledger.Lookup(a.request.Key, a.request.Fingerprint); known || a.lookOnly {
		a.reply <- admitted{verdict: verdict, record: record, run: c.runs[a.request.Key]}
		return
	}
	if c.draining || c.cut {
		a.reply <- admitted{draining: c.draining, cut: c.cut}
		return
	}
	verdict, record := c.ledger.Admit(c.clock.Now(), a.request)
	reply := admitted{verdict: verdict, record: record}
	if verdict == journal.VerdictRun {
		reply.run = &run{
			key:       record.Key,
			operation: record.Operation,
			committed: make(chan struct{}),
			refused:   make(chan struct{}),
			finished:  make(chan struct{}),
		}
		c.runs[record.Key] = reply.run
	}
	a.reply <- reply
}

func (c *committer) finish(o outcome) {
	c.ledger.Finish(o.run.key, o.run.operation, o.state, o.answer)
	if c.runs[o.run.key] == o.run {
		delete(c.runs, o.run.key)
	}
}

// flush starts the next write, or sets the timer for it.
func (c *committer) flush(ctx context.Context, timer clockwork.Timer) {
	if c.writing {
		return
	}
	if c.draining && len(c.runs) == 0 {
		c.ledger.Release()
	}
	if c.flight == nil && !c.ledger.CanPropose() {
		return
	}
	now, next := c.clock.Now(), c.nextWrite()
	if now.Before(next) {
		timer.Reset(next.Sub(now))
		return
	}
	if c.flight == nil {
		c.flight, _ = c.ledger.Propose(now)
	}
	c.pacer.RecordWrite(now)
	c.write(ctx, c.flight)
}

// nextWrite returns the time from which the next write may begin.
func (c *committer) nextWrite() time.Time {
	next := c.pacer.Next(c.flight != nil || c.ledger.HasPendingIntent() || c.draining)
	if next.Before(c.retryAt) {
		return c.retryAt
	}
	return next
}

// write writes a proposal on a goroutine of its own.
func (c *committer) write(ctx context.Context, proposal *journal.Proposal) {
	c.writing = true
	expected := c.revision
	c.writers.Go(func() {
		revision, err := c.records.write(ctx, c.bucket, proposal, expected)
		c.results <- written{revision: revision, err: err}
		if err == nil {
			c.records.remove(ctx, c.bucket, proposal.ObsoleteSegments)
		}
	})
}

// onWritten takes the result of a write and reports whether the bucket is no
// longer owned. A write that failed otherwise is repeated unchanged.
func (c *committer) onWritten(w written) bool {
	c.writing = false
	switch {
	case w.err == nil:
		c.revision = w.revision
		c.failedAt, c.cut = time.Time{}, false
		c.commit()
		return c.ledger.Released()
	case errors.Is(w.err, errLost), errors.Is(w.err, outside.ErrTooLarge):
		c.log.WithError(w.err).Warnf("Bucket %d is lost.", c.bucket)
		c.metrics.Count("journal.lost", 1)
		return true
	default:
		c.log.WithError(w.err).Debugf("A batch of bucket %d was not written.", c.bucket)
		c.metrics.Count("journal.retries", 1)
		c.onFailed(c.clock.Now())
		return false
	}
}

// onFailed sets the time of the next try. When writes have failed for long,
// the intents that wait are refused: nothing of them was sent, and another
// daemon may reach the store. The outcomes are kept for when it answers.
func (c *committer) onFailed(now time.Time) {
	c.retryAt = now.Add(retryDelay)
	if c.failedAt.IsZero() {
		c.failedAt = now
	}
	if now.Sub(c.failedAt) < giveUpAfter {
		return
	}
	c.cut = true
	for key, waiting := range c.runs {
		if !waiting.started {
			c.ledger.Finish(key, waiting.operation, journal.StateNotRun, nil)
			delete(c.runs, key)
			close(waiting.refused)
		}
	}
}

// commit lets the runs go on whose intents the last write holds.
func (c *committer) commit() {
	c.flight = nil
	batch := c.ledger.MarkCommitted()
	c.metrics.Count("journal.batches", 1)
	c.metrics.Count("journal.records", int64(len(batch)))
	for _, record := range batch {
		started := c.runs[record.Key]
		if record.State == journal.StateIntent && started != nil && started.operation == record.Operation {
			started.started = true
			close(started.committed)
		}
	}
}
