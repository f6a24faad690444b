// Package step decides which samples make up the steps of a workspace.
//
// One daemon owns the steps of a workspace. The owner's head value in the
// key-value service is replaced only by compare-and-swap: a new owner first
// writes a head with a higher term, so that every later write of a former
// owner fails. To seal a step the owner writes the list of its samples as an
// immutable segment and then a head that points to it. The second write is
// the commit point: before it no sample of the list belongs to the step, after
// it all of them do, permanently.
//
// A sample is in at most one step. The owner holds the lists of all segments
// that the head points to. When a segment is dropped from the head, the head's
// Floor rises to the newest birth among its samples, and a sample born at or
// before the Floor is never sealed. This rule does not read a clock, so it
// also holds when the staleness age is changed.
//
// The package does no I/O and reads no clock: time and samples are arguments,
// and the values to write are results.
package step
