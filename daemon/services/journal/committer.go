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
	"github.com/flamingobeam/flamingobeam/platform"
)

// retryDelay is the pause after a write that the store did not take.
const retryDelay = 100 * time.Millisecond

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
	ledger   *journal.Ledger
	revision platform.Revision
	runs     map[journal.Key]*run
	pacer    *journal.Pacer
	flight   *journal.Proposal
	writing  bool
	// retryAt is when a write that failed may be repeated.
	retryAt  time.Time
	draining bool
	writers  conc.WaitGroup
}

// run is a submission that is being run.
type run struct {
	key       journal.Key
	operation uint64
	// committed is closed once the intent is in the store.
	committed chan struct{}
	// finished is closed once reply and err are set.
	finished chan struct{}
	reply    contract.SubmitReply
	err      error
}

// admission asks for a verdict on a request.
type admission struct {
	request journal.Request
	// lookOnly asks only whether the key is known.
	lookOnly bool
	reply    chan admitted
}

// admitted is the reply to an admission.
type admitted struct {
	verdict journal.Verdict
	record  journal.Record
	// run is set for Run and Running.
	run *run
	// draining means that the bucket takes no new requests because it is
	// being handed back.
	draining bool
}

// outcome is what became of a run.
type outcome struct {
	run    *run
	state  journal.State
	answer *journal.Answer
}

// written is the result of a write.
type written struct {
	revision platform.Revision
	err      error
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
	if verdict, record, known := c.ledger.Known(a.request.Key, a.request.Fingerprint); known || a.lookOnly {
		a.reply <- admitted{verdict: verdict, record: record, run: c.runs[a.request.Key]}
		return
	}
	if c.draining {
		a.reply <- admitted{draining: true}
		return
	}
	verdict, record := c.ledger.Admit(c.clock.Now(), a.request)
	reply := admitted{verdict: verdict, record: record}
	if verdict == journal.Run {
		reply.run = &run{
			key:       record.Key,
			operation: record.Operation,
			committed: make(chan struct{}),
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
	if c.flight == nil && !c.ledger.Waiting() {
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
	c.pacer.Wrote(now)
	c.write(ctx, c.flight)
}

// nextWrite returns the time from which the next write may begin.
func (c *committer) nextWrite() time.Time {
	next := c.pacer.Next(c.flight != nil || c.ledger.Urgent() || c.draining)
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
			c.records.remove(ctx, c.bucket, proposal.Replaced)
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
		c.commit()
		return c.ledger.Released()
	case errors.Is(w.err, errLost), errors.Is(w.err, platform.ErrTooLarge):
		c.log.WithError(w.err).Warnf("Bucket %d is lost.", c.bucket)
		c.metrics.Count("journal.lost", 1)
		return true
	default:
		c.log.WithError(w.err).Debugf("A batch of bucket %d was not written.", c.bucket)
		c.metrics.Count("journal.retries", 1)
		c.retryAt = c.clock.Now().Add(retryDelay)
		return false
	}
}

// commit lets the runs go on whose intents the last write holds.
func (c *committer) commit() {
	c.flight = nil
	batch := c.ledger.Committed()
	c.metrics.Count("journal.batches", 1)
	c.metrics.Count("journal.records", int64(len(batch)))
	for _, record := range batch {
		started := c.runs[record.Key]
		if record.State == journal.StateIntent && started != nil && started.operation == record.Operation {
			close(started.committed)
		}
	}
}

// ask sends an admission and waits for the verdict. It fails with errLost, or
// with the error of ctx; no intent was noted then.
func (c *committer) ask(ctx context.Context, request journal.Request, lookOnly bool) (admitted, error) {
	a := admission{request: request, lookOnly: lookOnly, reply: make(chan admitted, 1)}
	select {
	case c.admissions <- a:
	case <-c.done:
		return admitted{}, errLost
	case <-ctx.Done():
		return admitted{}, ctx.Err()
	}
	select {
	case got := <-a.reply:
		if got.draining {
			return got, c.awaitRelease(ctx)
		}
		return got, nil
	case <-c.done:
		return admitted{}, errLost
	}
}

// awaitRelease waits until the bucket is handed back, so that the request can
// go to the next owner.
func (c *committer) awaitRelease(ctx context.Context) error {
	select {
	case <-c.done:
		return errLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settle tells the loop what became of a run.
func (c *committer) settle(r *run, state journal.State, answer *journal.Answer) {
	select {
	case c.outcomes <- outcome{run: r, state: state, answer: answer}:
	case <-c.done:
	}
}
