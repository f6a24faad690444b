// Package kernel is the micro-kernel of a flamingobeam process.
//
// A process is a set of services. Each service is registered under a dotted
// name, looks up the others by name, and never imports them. The kernel starts
// the services in dependency order and stops them in reverse order.
//
// One goroutine, the control loop, owns all control state and is locked to an
// operating system thread of its own. Every other goroutine is a traffic
// goroutine: it reads immutable snapshots that the control loop publishes, and
// sends messages to the control loop through bounded mailboxes.
package kernel
