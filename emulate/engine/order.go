package engine

import (
	"context"
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// weightState is the state of the engine's weights.
type weightState struct {
	version structs.WeightVersion
	// halfSwapVersion is the version of the streams in odd slots after a swap that
	// stopped halfway, or zero.
	halfSwapVersion structs.WeightVersion
	// term is the highest fencing token seen.
	term structs.Term
}

// OrderRecord is the engine's record of an order to swap weights.
type OrderRecord struct {
	Order outside.Order `json:"order"`
	// Refused reports whether the order was rejected for an old term.
	Refused bool `json:"refused"`
	// Ran is the weight version that the engine reported after the order.
	Ran structs.WeightVersion `json:"ran"`
}

// Orders returns the records of finished orders, in order of their end.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Order swaps the weights and returns the version that runs afterwards. It
// fails with outside.ErrFenced, ErrHalfSwapped or ErrCrashed, or with the error
// of ctx; in the last case the swap continues.
func (e *Engine) Order(ctx context.Context, order outside.Order) (structs.WeightVersion, error) {
	if !e.acceptTerm(order) {
		return 0, outside.ErrFenced
	}
	e.mu.Lock()
	delay := e.faults.SwapDelay
	e.mu.Unlock()
	done := make(chan error, 1)
	time.AfterFunc(delay, func() { done <- e.swap(order) })
	select {
	case err := <-done:
		return order.Version, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// acceptTerm reports whether an order passes the term check, and raises the
// highest term seen.
func (e *Engine) acceptTerm(order outside.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fenced && order.Term < e.weightState.term {
		e.orders = append(e.orders, OrderRecord{Order: order, Refused: true, Ran: e.weightState.version})
		return false
	}
	e.weightState.term = max(e.weightState.term, order.Term)
	return true
}

// swap applies the weights of an order, or half of them if HalfSwap is injected.
func (e *Engine) swap(order outside.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return ErrCrashed
	}
	if e.options.Fenced && order.Term < e.weightState.term {
		// An order of a newer term arrived during the swap.
		e.orders = append(e.orders, OrderRecord{Order: order, Refused: true, Ran: e.weightState.version})
		return outside.ErrFenced
	}
	if e.faults.HalfSwap {
		e.weightState.halfSwapVersion = order.Version
		e.orders = append(e.orders, OrderRecord{Order: order, Ran: e.weightState.version})
		return ErrHalfSwapped
	}
	e.weightState.version, e.weightState.halfSwapVersion = order.Version, 0
	e.orders = append(e.orders, OrderRecord{Order: order, Ran: order.Version})
	return nil
}
