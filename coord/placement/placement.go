// Package placement decides which model engines load which weight versions and
// which of them gets the next item of a batch job. Values go in and come out; who
// asks the engines, and how, is not its matter.
package placement
