// Package outside defines the interfaces to external systems: the key-value
// service, the transactional store, the host list, the weight store, model
// engines and plain services. Package httpclient and package platform implement
// them.
package outside
