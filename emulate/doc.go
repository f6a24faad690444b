// Package emulate holds small stand-ins of the systems outside: the platform's
// services, model engines, plain services and trainers. Each can be made to
// fail on purpose. They are for tests and experiments, not for use.
package emulate
