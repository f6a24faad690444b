// Package kernel is the micro-kernel of a flamingobeam process.
//
// A process is a set of services. Each service is registered under a dotted
// name, finds the others by name, and never imports them. The kernel starts
// the services in the order in which they depend on each other and stops them
// in the reverse order.
//
// One goroutine, the control loop, owns all control state and is locked to an
// operating system thread of its own. Every other goroutine is a traffic
// goroutine: it reads immutable snapshots that the control loop publishes, and
// tells the control loop what it has learned through bounded mailboxes.
package kernel
