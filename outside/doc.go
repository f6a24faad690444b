// Package outside holds the interfaces to everything outside the system: the
// key-value service, the list of hosts, the weight store, model engines, plain
// services and trainers. The packages below it hold the clients.
package outside
