// Package emulate contains emulators of the external systems: the platform's
// services, model engines, plain services and trainers. Faults can be injected
// into most of them. They are for tests and experiments, not for production.
package emulate
