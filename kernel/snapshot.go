package kernel

import (
	"context"
	"sync/atomic"
)

// Snapshot holds the newest immutable view of some control state. The control
// goroutine publishes values and traffic goroutines load them. A loaded value
// must not be modified.
type Snapshot[T any] struct {
	current atomic.Pointer[snapshotEntry[T]]
}

type snapshotEntry[T any] struct {
	value    *T
	replaced chan struct{}
}

// NewSnapshot returns a snapshot with an initial value.
func NewSnapshot[T any](first *T) *Snapshot[T] {
	s := &Snapshot[T]{}
	s.current.Store(&snapshotEntry[T]{value: first, replaced: make(chan struct{})})
	return s
}

// Load returns the newest value.
func (s *Snapshot[T]) Load() *T { return s.current.Load().value }

// Watch returns the newest value and a channel that is closed when a newer value
// is published.
func (s *Snapshot[T]) Watch() (*T, <-chan struct{}) {
	current := s.current.Load()
	return current.value, current.replaced
}

// Publish replaces the newest value. It may be called only on the control
// goroutine, or before the loop runs.
func (s *Snapshot[T]) Publish(value *T) {
	old := s.current.Swap(&snapshotEntry[T]{value: value, replaced: make(chan struct{})})
	close(old.replaced)
}

// Subscribe calls a handler on the control goroutine with the current value of a
// snapshot and with each newer one. Values that are replaced before the loop
// handles them are skipped. The subscription ends when the workers stop.
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
