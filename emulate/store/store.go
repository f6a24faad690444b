// Package store is a stand-in of the platform's key-value service, with rate
// limits, outages and lost answers, and of its host list and weight store.
package store

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingobeam/flamingobeam/outside"
)

// Limits are the rates of the service.
type Limits struct {
	// Writes and Reads are calls a second.
	Writes, Reads float64
}

// DefaultLimits are the rates that the platform promises.
func DefaultLimits() Limits { return Limits{Writes: 400, Reads: 2000} }

// burstSpan is the span of calls that may come at once.
const burstSpan = 250 * time.Millisecond

// Faults are switched on for tests.
type Faults struct {
	// Down refuses every call without an answer.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the share of writes whose answer is lost after the
	// write took effect.
	LoseAnswers float64 `json:"lose_answers"`
}

// Counts are the calls taken since the start.
type Counts struct {
	Writes  uint64 `json:"writes"`
	Reads   uint64 `json:"reads"`
	Refused uint64 `json:"refused"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Store is the key-value service in memory. It is safe for concurrent use.
type Store struct {
	writes, reads *rate.Limiter

	mu       sync.Mutex
	entries  map[string]outside.Entry
	leases   map[outside.LeaseID]*lease
	revision outside.Revision
	lastID   outside.LeaseID
	changed  chan struct{}
	faults   Faults
	counts   Counts
	random   *rand.Rand
}

var _ outside.Store = (*Store)(nil)

// New returns an empty store. The seed fixes which answers are lost.
func New(limits Limits, seed uint64) *Store {
	return &Store{
		writes:  limiter(limits.Writes),
		reads:   limiter(limits.Reads),
		entries: make(map[string]outside.Entry),
		leases:  make(map[outside.LeaseID]*lease),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, 0)),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSpan.Seconds())))
}

// SetFaults replaces the faults that are switched on.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// admit counts a call and applies the faults that hit calls before they run.
func (s *Store) admit(ctx context.Context, limit *rate.Limiter, count func(*Counts)) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		return outside.ErrUnavailable
	}
	if err := pause(ctx, faults.Delay); err != nil {
		return err
	}
	allowed := limit.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !allowed {
		s.counts.Refused++
		return outside.ErrRateLimited
	}
	count(&s.counts)
	return nil
}

func countWrite(c *Counts) { c.Writes++ }
func countRead(c *Counts)  { c.Reads++ }

// pause waits for a delay or the end of ctx.
func pause(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return outside.ErrUnavailable
	}
}

// answered applies the fault that loses answers of finished writes.
func (s *Store) answered() error {
	if s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers {
		return outside.ErrUnavailable
	}
	return nil
}

// Get implements outside.Store.
func (s *Store) Get(ctx context.Context, key string) (outside.Entry, error) {
	if err := s.admit(ctx, s.reads, countRead); err != nil {
		return outside.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entry, ok := s.entries[key]
	if !ok || entry.Value == nil {
		return outside.Entry{}, outside.ErrNotFound
	}
	return entry, nil
}

// List implements outside.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]outside.Entry, error) {
	if err := s.admit(ctx, s.reads, countRead); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var found []outside.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) && entry.Value != nil {
			found = append(found, entry)
		}
	}
	return found, nil
}

// CompareAndSwap implements outside.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected outside.Revision, value []byte, id outside.LeaseID) (outside.Revision, error) {
	if len(value) > outside.MaxValueBytes {
		return 0, outside.ErrTooLarge
	}
	if value == nil {
		value = []byte{}
	}
	if err := s.admit(ctx, s.writes, countWrite); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.currentRevision(key) != expected {
		return 0, outside.ErrConflict
	}
	if id != 0 {
		held, ok := s.leases[id]
		if !ok {
			return 0, outside.ErrLeaseLost
		}
		held.keys[key] = true
	}
	revision := s.write(key, value)
	return revision, s.answered()
}

// Delete implements outside.Store.
func (s *Store) Delete(ctx context.Context, key string, expected outside.Revision) error {
	if err := s.admit(ctx, s.writes, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.currentRevision(key) != expected {
		return outside.ErrConflict
	}
	s.write(key, nil)
	return s.answered()
}

func (s *Store) currentRevision(key string) outside.Revision {
	entry := s.entries[key]
	if entry.Value == nil {
		return 0
	}
	return entry.Revision
}

// write stores a value, or a deletion when it is nil, and wakes the watches.
func (s *Store) write(key string, value []byte) outside.Revision {
	s.revision++
	s.entries[key] = outside.Entry{Key: key, Value: value, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Grant implements outside.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error) {
	if err := s.admit(ctx, s.writes, countWrite); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	return s.lastID, s.answered()
}

// KeepAlive implements outside.Store.
func (s *Store) KeepAlive(ctx context.Context, id outside.LeaseID) error {
	if err := s.admit(ctx, s.writes, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held, ok := s.leases[id]
	if !ok {
		return outside.ErrLeaseLost
	}
	held.expires = time.Now().Add(held.ttl)
	return s.answered()
}

// Revoke implements outside.Store.
func (s *Store) Revoke(ctx context.Context, id outside.LeaseID) error {
	if err := s.admit(ctx, s.writes, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if held, ok := s.leases[id]; ok {
		s.end(id, held)
	}
	return s.answered()
}

// expire ends the leases whose time is up.
func (s *Store) expire() {
	now := time.Now()
	for id, held := range s.leases {
		if held.expires.Before(now) {
			s.end(id, held)
		}
	}
}

func (s *Store) end(id outside.LeaseID, held *lease) {
	delete(s.leases, id)
	for key := range held.keys {
		if s.entries[key].Value != nil {
			s.write(key, nil)
		}
	}
}

// Watch implements outside.Store. It counts as one read.
func (s *Store) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) (outside.Changes, error) {
	if err := s.admit(ctx, s.reads, countRead); err != nil {
		return outside.Changes{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		s.expire()
		changes, changed, down, lapse := s.since(prefix, after), s.changed, s.faults.Down, s.nextLapse()
		s.mu.Unlock()
		if down {
			return outside.Changes{}, outside.ErrUnavailable
		}
		if len(changes.Entries) > 0 || !await(ctx, changed, lapse) {
			return changes, nil
		}
	}
}

// await waits for a signal or a span and reports false once ctx has ended.
func await(ctx context.Context, signal <-chan struct{}, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// nextLapse is the time until the first lease ends if nobody renews it.
func (s *Store) nextLapse() time.Duration {
	first := time.Hour
	for _, held := range s.leases {
		first = min(first, time.Until(held.expires)+time.Millisecond)
	}
	return max(0, first)
}

func (s *Store) since(prefix string, after outside.Revision) outside.Changes {
	changes := outside.Changes{Revision: s.revision}
	for key, entry := range s.entries {
		if entry.Revision > after && strings.HasPrefix(key, prefix) {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	return changes
}
