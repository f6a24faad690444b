package kernel

import (
	"context"
	"sync/atomic"
)

// Snapshot holds the newest immutable view of some control state. The control
// goroutine publishes, traffic goroutines load; a loaded value must not be
// changed.
type Snapshot[T any] struct {
	current atomic.Pointer[versioned[T]]
}

type versioned[T any] struct {
	value    *T
	replaced chan struct{}
}

// NewSnapshot returns a snapshot that holds a first value.
func NewSnapshot[T any](first *T) *Snapshot[T] {
	s := &Snapshot[T]{}
	s.current.Store(&versioned[T]{value: first, replaced: make(chan struct{})})
	return s
}

// Load returns the newest value.
func (s *Snapshot[T]) Load() *T { return s.current.Load().value }

// Watch returns the newest value and a channel that is closed when a newer one
// has been published.
func (s *Snapshot[T]) Watch() (*T, <-chan struct{}) {
	current := s.current.Load()
	return current.value, current.replaced
}

// Publish makes a value the newest one. Only the control goroutine, or the
// owner before the loop runs, may call it.
func (s *Snapshot[T]) Publish(value *T) {
	old := s.current.Swap(&versioned[T]{value: value, replaced: make(chan struct{})})
	close(old.replaced)
}

// Subscribe hands each newest value of a snapshot to a handler on the control
// goroutine, the present one first. Values that are replaced before the loop
// gets to them are left out. It ends when the workers stop.
func Subscribe[T any](l *Loop, w *Workers, s *Snapshot[T], handle func(*T)) {
	latest := NewCoalescingMailbox(l, 1, func(_ struct{}, value *T) { handle(value) })
	w.Go(func(ctx context.Context) {
		for {
			value, replaced := s.Watch()
			_ = latest.Post(struct{}{}, value)
			select {
			case <-replaced:
			case <-ctx.Done():
				return
			}
		}
	})
}
