// Package retry decides whether and when a failed request is tried again, and
// which backend servers get no requests for a while because theirs fail.
// Randomness and time come in as values.
package retry

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// depositPart is the part of a retry that each first attempt earns.
	depositPart = 0.1
	// depositRate is how many retries a second are earned without traffic, so
	// that a workspace with few requests may retry too.
	depositRate = 0.2
	// maxTokens bounds what is saved up, in retries.
	maxTokens = 20
	// firstTokens is what a new budget holds.
	firstTokens = 3
)

// Budget bounds the retries of one workspace and class to a part of its
// requests, so that retries can't multiply the load on what is left after an
// outage. The zero value is an empty budget; see NewBudget.
type Budget struct {
	tokens float64
	seen   time.Time
}

// NewBudget returns a budget that holds a few retries.
func NewBudget(now time.Time) Budget { return Budget{tokens: firstTokens, seen: now} }

// Deposit records a first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.accrue(now)
	b.add(depositPart)
}

// Withdraw takes a retry out and reports whether there was one.
func (b *Budget) Withdraw(now time.Time) bool {
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) accrue(now time.Time) {
	if now.After(b.seen) {
		b.add(depositRate * now.Sub(b.seen).Seconds())
		b.seen = now
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(maxTokens, b.tokens+tokens) }

// BudgetKey names a budget.
type BudgetKey struct {
	Workspace structs.WorkspaceName
	Class     structs.Class
}

// Budgets holds the budgets of all workspaces and classes. It is not safe for
// concurrent use.
type Budgets struct{ budgets map[BudgetKey]*Budget }

// NewBudgets returns a set without budgets.
func NewBudgets() *Budgets { return &Budgets{budgets: make(map[BudgetKey]*Budget)} }

// GetOrCreate returns the budget of a workspace and class, and makes it when needed.
func (bs *Budgets) GetOrCreate(key BudgetKey, now time.Time) *Budget {
	budget, ok := bs.budgets[key]
	if !ok {
		fresh := NewBudget(now)
		budget = &fresh
		bs.budgets[key] = budget
	}
	return budget
}
