// Package origins is the service "traffic.origins". It records at which software version
// each resumable stream of a caller began, so that any daemon can continue it, also after
// all daemons have lost their memory. Goroutines of traffic use it concurrently; a mutex
// that is held only for short calculations protects it.
package origins

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/resume"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

func init() {
	kernel.Register(contract.NameStreamOrigins, func() kernel.Service { return &service{known: make(map[string]entry)} })
}

const (
	// keyPrefix is the key prefix of the stored origins.
	keyPrefix = "flamingobeam/stream/origin/"
	// maxIDBytes is the length from which an attempt's ID is replaced by its hash in a
	// key.
	maxIDBytes = 120
	// recordTTL is how long an origin is stored at least: a caller resumes a stream
	// within the timeout of its request. A lease lasts for two such periods and takes
	// new origins in the first.
	recordTTL = time.Minute
	// recordPatience is how long a stream waits for its origin to be stored.
	recordPatience = 300 * time.Millisecond
	// gatherDelay lets origins of streams that begin together share a write.
	gatherDelay = 10 * time.Millisecond
	// maxBatch is the number of origins in one write.
	maxBatch = 30
	// maxQueued bounds the origins that wait to be stored, and maxKnown those in memory.
	maxQueued = 4096
	maxKnown  = 16384
)

type service struct {
	kernel.Base
	store   contract.TransactionalStore
	metrics contract.Metrics
	workers *kernel.Workers
	log     *logrus.Entry

	mu sync.Mutex
	// known holds the origins of the streams that began at this daemon.
	known      map[string]entry
	queue      []queuedOrigin
	isFlushing bool

	// lease and leaseGrantedAt belong to the goroutine that flushes.
	lease          outside.LeaseID
	leaseGrantedAt time.Time
}

// entry is an origin in memory.
type entry struct {
	origin     resume.Origin
	recordedAt time.Time
}

// queuedOrigin is an origin that waits to be stored.
type queuedOrigin struct {
	attempt string
	origin  resume.Origin
	stored  chan struct{}
}

var _ contract.StreamOrigins = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	s.log, s.workers = ctx.Log(), ctx.Workers()
	return kernel.FindAll(ctx,
		kernel.Bind(&s.store, contract.NameTransactionalStore),
		kernel.Bind(&s.metrics, contract.NameMetrics),
	)
}

// Record implements contract.StreamOrigins.
func (s *service) Record(ctx context.Context, attempt string, origin resume.Origin) {
	queued := queuedOrigin{attempt: attempt, origin: origin, stored: make(chan struct{})}
	if !s.enqueue(queued) {
		s.metrics.Count("origins.dropped", 1)
		s.log.WithField("request", attempt).Warn("Too many origins of streams wait to be stored.")
		return
	}
	timer := time.NewTimer(recordPatience)
	defer timer.Stop()
	select {
	case <-queued.stored:
	case <-timer.C:
		s.metrics.Count("origins.late", 1)
		s.log.WithField("request", attempt).Info("A stream begins before its origin is stored.")
	case <-ctx.Done():
	}
}

// enqueue remembers an origin and starts to store it. It returns false if too many wait.
func (s *service) enqueue(queued queuedOrigin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetOld()
	s.known[queued.attempt] = entry{origin: queued.origin, recordedAt: time.Now()}
	if len(s.queue) >= maxQueued {
		return false
	}
	s.queue = append(s.queue, queued)
	if !s.isFlushing {
		s.isFlushing = true
		time.AfterFunc(gatherDelay, func() { s.workers.Go(s.flush) })
	}
	return true
}

// forgetOld bounds the origins in memory. The lock must be held.
func (s *service) forgetOld() {
	if len(s.known) < maxKnown {
		return
	}
	oldest := time.Now().Add(-recordTTL)
	for attempt, e := range s.known {
		if e.recordedAt.Before(oldest) || len(s.known) >= maxKnown {
			delete(s.known, attempt)
		}
	}
}

// flush stores the queued origins. What the store does not take is kept in memory only.
func (s *service) flush(ctx context.Context) {
	for {
		s.mu.Lock()
		batch := s.queue[:min(maxBatch, len(s.queue))]
		s.queue = s.queue[len(batch):]
		s.isFlushing = len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		if err := s.write(ctx, batch); err != nil {
			s.metrics.Count("origins.unstored", int64(len(batch)))
			s.log.WithError(err).WithField("streams", len(batch)).Info("Could not store the origins of streams.")
		}
		for _, queued := range batch {
			close(queued.stored)
		}
	}
}

func (s *service) write(ctx context.Context, batch []queuedOrigin) error {
	if s.lease == 0 || time.Since(s.leaseGrantedAt) > recordTTL {
		grantedAt := time.Now()
		lease, _, err := s.store.Grant(ctx, 2*recordTTL)
		if err != nil {
			return err
		}
		s.lease, s.leaseGrantedAt = lease, grantedAt
	}
	transaction := outside.Transaction{}
	written := make(map[string]bool, len(batch))
	for _, queued := range batch {
		key := keyOf(queued.attempt)
		if written[key] {
			continue
		}
		written[key] = true
		value, err := json.Marshal(queued.origin)
		if err != nil {
			return errors.WithStack(err)
		}
		transaction.Writes = append(transaction.Writes, outside.Write{Key: key, Value: value, Lease: s.lease})
	}
	_, err := s.store.Commit(ctx, transaction)
	if errors.Is(err, outside.ErrLeaseLost) {
		s.lease = 0
	}
	return err
}

// Lookup implements contract.StreamOrigins.
func (s *service) Lookup(ctx context.Context, attempt string) (resume.Origin, error) {
	s.mu.Lock()
	e, ok := s.known[attempt]
	s.mu.Unlock()
	if ok {
		return e.origin, nil
	}
	var origin resume.Origin
	record, err := s.store.Get(ctx, keyOf(attempt))
	if err != nil {
		return origin, err
	}
	return origin, errors.WithStack(json.Unmarshal(record.Value, &origin))
}

func keyOf(attempt string) string {
	if id := url.PathEscape(attempt); len(id) <= maxIDBytes {
		return keyPrefix + id
	}
	sum := sha256.Sum256([]byte(attempt))
	return keyPrefix + "sha256/" + hex.EncodeToString(sum[:])
}
