// Package retry decides whether and when a failed request is retried, and
// ejects backend servers whose requests fail (outlier ejection). The functions
// are deterministic: callers pass in the time and random numbers.
package retry

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// tokensPerRequest is added for each first attempt. One token pays for one
	// retry.
	tokensPerRequest = 0.1
	// tokensPerSecond is added regardless of traffic, so that a workspace with
	// few requests can retry too.
	tokensPerSecond = 0.2
	// maxTokens is the capacity of a budget.
	maxTokens = 20
	// initialTokens is the content of a new budget.
	initialTokens = 3
)

// Budget is a token bucket that limits the retries of one workspace and class
// to a fraction of its requests, so that retries can't multiply the load on the
// remaining servers during an outage. The zero value is an empty budget; see
// NewBudget.
type Budget struct {
	tokens float64
	// lastAccrual is the time up to which tokensPerSecond has been added.
	lastAccrual time.Time
}

// NewBudget returns a budget that allows a few retries at once.
func NewBudget(now time.Time) Budget { return Budget{tokens: initialTokens, lastAccrual: now} }

// Deposit adds the tokens for a first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.accrue(now)
	b.add(tokensPerRequest)
}

// Withdraw takes the token for one retry and reports whether there was one.
func (b *Budget) Withdraw(now time.Time) bool {
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// accrue adds the tokens for the time since the last accrual.
func (b *Budget) accrue(now time.Time) {
	if now.After(b.lastAccrual) {
		b.add(tokensPerSecond * now.Sub(b.lastAccrual).Seconds())
		b.lastAccrual = now
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(maxTokens, b.tokens+tokens) }

// BudgetKey identifies a budget.
type BudgetKey struct {
	Workspace structs.WorkspaceName
	Class     structs.Class
}

// Budgets holds the budgets of all workspaces and classes. It is not safe for
// concurrent use.
type Budgets struct{ budgets map[BudgetKey]*Budget }

// NewBudgets returns an empty set of budgets.
func NewBudgets() *Budgets { return &Budgets{budgets: make(map[BudgetKey]*Budget)} }

// GetOrCreate returns the budget of a workspace and class, and creates it if it
// doesn't exist.
func (bs *Budgets) GetOrCreate(key BudgetKey, now time.Time) *Budget {
	budget, ok := bs.budgets[key]
	if !ok {
		created := NewBudget(now)
		budget = &created
		bs.budgets[key] = budget
	}
	return budget
}
