package kernel

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// ErrPanicked is the result of work that panicked.
var ErrPanicked = errors.New("kernel: work panicked")

// InvariantViolation is the value of a panic after which the process must not go
// on, because its control state contradicts itself. The kernel then closes the
// channel Failed, so that the process stops in order.
type InvariantViolation struct{ Reason string }

// Error implements error.
func (v InvariantViolation) Error() string { return "invariant violated: " + v.Reason }

// Guard is the boundary at which panics end: a message, a timer, a call or a
// request costs itself alone. It is safe for concurrent use. A nil Guard lets
// panics pass.
type Guard struct {
	log    *logrus.Entry
	count  atomic.Uint64
	failed chan struct{}
	// isFailed is set once failed is closed.
	isFailed atomic.Bool
}

// NewGuard returns a guard that logs panics.
func NewGuard(log *logrus.Logger) *Guard {
	return &Guard{log: log.WithField(ServiceLogField, "kernel"), failed: make(chan struct{})}
}

// Run calls a function and reports whether it returned. If it panics, Run logs
// the panic with its stack; what describes the work.
func (g *Guard) Run(what string, run func()) (returned bool) {
	if g == nil {
		run()
		return true
	}
	defer func() {
		if value := recover(); value != nil {
			g.Record(what, value)
		}
	}()
	run()
	return true
}

// Record logs and counts a recovered panic. It must be called by the deferred
// function that recovers.
func (g *Guard) Record(what string, value any) {
	g.count.Add(1)
	g.log.WithFields(logrus.Fields{"work": what, "panic": fmt.Sprint(value), "stack": string(debug.Stack())}).Error("Recovered from a panic.")
	if _, ok := value.(InvariantViolation); ok && !g.isFailed.Swap(true) {
		close(g.failed)
	}
}

// Count returns the number of panics.
func (g *Guard) Count() uint64 { return g.count.Load() }
