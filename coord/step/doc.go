// Package step decides which samples make up the steps of a workspace.
//
// One daemon owns the steps of a workspace. The owner's head value in the
// key-value service is replaced only by compare-and-swap: a new owner first
// writes a head with a higher term, so that every later write of a former
// owner fails. To seal a step the owner writes the list of its samples as an
// immutable segment and then a head that points to it. The second write is
// the seal: before it no sample of the list belongs to the step, after it all
// of them do, for good.
//
// A sample is in at most one step. The owner knows the samples of all kept
// segments. When a segment is no longer kept, the head's Floor rises to the
// newest birth among its samples, and a sample that is not younger than the
// Floor is never sealed. The rule needs no clock, and holds when the staleness
// age is changed.
//
// The package holds decisions only: time and samples come in as values, and
// the values to write go out.
package step
