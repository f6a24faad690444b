// Package histories holds tests that run several daemons in one process over
// the stand-in of the store, under faults, and check what callers saw of them
// against a sequential model.
package histories
