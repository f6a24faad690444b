// Package placement decides which model engines load which weight versions and
// which engine runs the next item of a batch job. It only computes decisions
// from the values that it is given; other packages query the engines.
package placement
