// Package histories tests several daemons in one process over an emulated store,
// under injected faults, and checks the results that callers observed against a
// sequential model.
package histories
