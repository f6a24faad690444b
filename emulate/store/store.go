// Package store emulates the platform's key-value store, with rate limits,
// outages and lost responses, and its host list and weight store.
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

// Limits are the rate limits of the key-value store.
type Limits struct {
	// Writes and Reads are in calls per second.
	Writes, Reads float64
}

// DefaultLimits returns the rates that the platform guarantees.
func DefaultLimits() Limits { return Limits{Writes: 400, Reads: 2000} }

// burstWindow is the time whose worth of calls may arrive in one burst.
const burstWindow = 250 * time.Millisecond

// Faults are the faults that can be injected.
type Faults struct {
	// Down makes every call fail with outside.ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the fraction of writes that take effect but whose response
	// is lost.
	LoseAnswers float64 `json:"lose_answers"`
}

// Counts are the numbers of admitted and refused calls since the start.
type Counts struct {
	Writes uint64 `json:"writes"`
	Reads  uint64 `json:"reads"`
	// Refused counts the calls over the rate limits.
	Refused uint64 `json:"refused"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
	keys   map[string]bool
}

// Store emulates the key-value store in memory. It is safe for concurrent use.
type Store struct {
	writeLimiter, readLimiter *rate.Limiter

	mu           sync.Mutex
	entries      map[string]outside.Entry
	leases       map[outside.LeaseID]*lease
	revision     outside.Revision
	lastLeaseID  outside.LeaseID
	changeSignal chan struct{}
	faults       Faults
	counts       Counts
	random       *rand.Rand
}

var _ outside.Store = (*Store)(nil)

// New returns an empty store. The seed determines which responses are lost.
func New(limits Limits, seed uint64) *Store {
	return &Store{
		writeLimiter: newLimiter(limits.Writes),
		readLimiter:  newLimiter(limits.Reads),
		entries:      make(map[string]outside.Entry),
		leases:       make(map[outside.LeaseID]*lease),
		changeSignal: make(chan struct{}),
		random:       rand.New(rand.NewPCG(seed, 0)),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstWindow.Seconds())))
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// admit applies the faults Down and Delay and the rate limit, and counts the
// call.
func (s *Store) admit(ctx context.Context, limit *rate.Limiter, count func(*Counts)) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		return outside.ErrUnavailable
	}
	if err := sleep(ctx, faults.Delay); err != nil {
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

// sleep waits for a delay. It returns outside.ErrUnavailable if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) error {
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

// loseResponse applies the fault LoseAnswers: for a random share of finished
// writes it returns outside.ErrUnavailable.
func (s *Store) loseResponse() error {
	if s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers {
		return outside.ErrUnavailable
	}
	return nil
}

// Get implements outside.Store.
func (s *Store) Get(ctx context.Context, key string) (outside.Entry, error) {
	if err := s.admit(ctx, s.readLimiter, countRead); err != nil {
		return outside.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	entry, ok := s.entries[key]
	if !ok || entry.Value == nil {
		return outside.Entry{}, outside.ErrNotFound
	}
	return entry, nil
}

// List implements outside.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]outside.Entry, error) {
	if err := s.admit(ctx, s.readLimiter, countRead); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var entries []outside.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) && entry.Value != nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// CompareAndSwap implements outside.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected outside.Revision, value []byte, id outside.LeaseID) (outside.Revision, error) {
	if len(value) > outside.MaxValueBytes {
		return 0, outside.ErrTooLarge
	}
	if value == nil {
		value = []byte{}
	}
	if err := s.admit(ctx, s.writeLimiter, countWrite); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.currentRevision(key) != expected {
		return 0, outside.ErrConflict
	}
	if id != 0 {
		l, ok := s.leases[id]
		if !ok {
			return 0, outside.ErrLeaseLost
		}
		l.keys[key] = true
	}
	revision := s.write(key, value)
	return revision, s.loseResponse()
}

// Delete implements outside.Store.
func (s *Store) Delete(ctx context.Context, key string, expected outside.Revision) error {
	if err := s.admit(ctx, s.writeLimiter, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.currentRevision(key) != expected {
		return outside.ErrConflict
	}
	s.write(key, nil)
	return s.loseResponse()
}

func (s *Store) currentRevision(key string) outside.Revision {
	entry := s.entries[key]
	if entry.Value == nil {
		return 0
	}
	return entry.Revision
}

// write stores a value, or a deletion if it is nil, and notifies the watches.
func (s *Store) write(key string, value []byte) outside.Revision {
	s.revision++
	s.entries[key] = outside.Entry{Key: key, Value: value, Revision: s.revision}
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
	return s.revision
}

// Grant implements outside.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error) {
	if err := s.admit(ctx, s.writeLimiter, countWrite); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiry: time.Now().Add(ttl), keys: make(map[string]bool)}
	return s.lastLeaseID, s.loseResponse()
}

// KeepAlive implements outside.Store.
func (s *Store) KeepAlive(ctx context.Context, id outside.LeaseID) error {
	if err := s.admit(ctx, s.writeLimiter, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		return outside.ErrLeaseLost
	}
	l.expiry = time.Now().Add(l.ttl)
	return s.loseResponse()
}

// Revoke implements outside.Store.
func (s *Store) Revoke(ctx context.Context, id outside.LeaseID) error {
	if err := s.admit(ctx, s.writeLimiter, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if l, ok := s.leases[id]; ok {
		s.endLease(id, l)
	}
	return s.loseResponse()
}

// expireLeases ends the leases that have expired.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if l.expiry.Before(now) {
			s.endLease(id, l)
		}
	}
}

func (s *Store) endLease(id outside.LeaseID, l *lease) {
	delete(s.leases, id)
	for key := range l.keys {
		if s.entries[key].Value != nil {
			s.write(key, nil)
		}
	}
}

// Watch implements outside.Store. A call counts as one read.
func (s *Store) Watch(ctx context.Context, prefix string, after outside.Revision, wait time.Duration) (outside.Changes, error) {
	if err := s.admit(ctx, s.readLimiter, countRead); err != nil {
		return outside.Changes{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		s.expireLeases()
		changes, changeSignal, down, untilExpiry := s.changesSince(prefix, after), s.changeSignal, s.faults.Down, s.untilNextExpiry()
		s.mu.Unlock()
		if down {
			return outside.Changes{}, outside.ErrUnavailable
		}
		if len(changes.Entries) > 0 || !waitForChange(ctx, changeSignal, untilExpiry) {
			return changes, nil
		}
	}
}

// waitForChange waits for a signal or a timeout and returns false if ctx ends
// first.
func waitForChange(ctx context.Context, signal <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// untilNextExpiry returns the time until the first lease expires unless it is
// renewed.
func (s *Store) untilNextExpiry() time.Duration {
	soonest := time.Hour
	for _, l := range s.leases {
		soonest = min(soonest, time.Until(l.expiry)+time.Millisecond)
	}
	return max(0, soonest)
}

func (s *Store) changesSince(prefix string, after outside.Revision) outside.Changes {
	changes := outside.Changes{Revision: s.revision}
	for key, entry := range s.entries {
		if entry.Revision > after && strings.HasPrefix(key, prefix) {
			changes.Entries = append(changes.Entries, entry)
		}
	}
	return changes
}
