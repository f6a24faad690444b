// Package catalog holds the operator's configuration as traffic needs it, the
// routes, services and limits of one version, and finds the route of a request.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Version numbers the operator's configurations; a newer one is higher.
type Version uint64

// RouteKind says how the requests of a route may be treated.
type RouteKind uint8

// The kinds of routes.
const (
	// KindNonIdempotent requests run at most once for each client attempt.
	KindNonIdempotent RouteKind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream answers with events as they are made.
	KindStream
	// KindBatch takes batch jobs.
	KindBatch
)

// Target is a service that gets a part of a route's requests.
type Target struct {
	Service structs.ServiceName
	// Weight is the part, relative to the weights of the other targets.
	Weight int
}

// Route is where requests of a host and path prefix go.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    RouteKind
	Targets []Target
	// Timeout bounds how long a request may be kept waiting; zero is none.
	Timeout time.Duration
	// LatencyTarget is the latency within which an answer has its full worth.
	LatencyTarget time.Duration
	// ResultDeadline and ItemTTL count from the first submission of a batch job:
	// all results are due, and an item may be given up.
	ResultDeadline time.Duration
	ItemTTL        time.Duration
	// Priority orders routes by urgency; zero is the most urgent.
	Priority int
	// MaxAttempts bounds the servers that one client attempt may reach.
	MaxAttempts int
	// Resumable streams may go on at another server.
	Resumable bool
	// SingleVersion asks for samples made by exactly one weight version.
	SingleVersion bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVCacheTokens is the KV cache, in tokens.
	KVCacheTokens int
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int
	Models         []structs.ServiceName
}

// Service is a group of equal backend servers.
type Service struct {
	Name       structs.ServiceName
	HealthPath string
	// MaxConnections is what one server takes from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send, in bytes and time.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration. It is not changed once built.
type Catalog struct {
	Version  Version
	Services map[structs.ServiceName]Service
	Limits   Limits
	routes   map[string][]*Route
}

// New builds a catalog. Host names are compared without regard to case.
func New(version Version, routes []Route, services []Service, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Services: make(map[structs.ServiceName]Service, len(services)),
		Limits:   limits,
		routes:   make(map[string][]*Route),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routes[host] = append(c.routes[host], &routes[i])
	}
	for _, ofHost := range c.routes {
		slices.SortStableFunc(ofHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix of a path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HasHost reports whether a host has a route at all.
func (c *Catalog) HasHost(host string) bool { return len(c.routes[strings.ToLower(host)]) > 0 }

// RequiresSingleVersion reports whether a batch route of a service asks for texts
// that one weight version made.
func (c *Catalog) RequiresSingleVersion(service structs.ServiceName) bool {
	for _, ofHost := range c.routes {
		for _, route := range ofHost {
			isOf := slices.ContainsFunc(route.Targets, func(t Target) bool { return t.Service == service })
			if route.Kind == KindBatch && route.SingleVersion && isOf {
				return true
			}
		}
	}
	return false
}

// Models lists the models that a service's engines serve.
func (c *Catalog) Models(service structs.ServiceName) []structs.ServiceName {
	if engine := c.Services[service].Engine; engine != nil {
		return engine.Models
	}
	return nil
}

// PickService returns the target for a draw from 0 up to 1.
func (r *Route) PickService(draw float64) (structs.ServiceName, bool) {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := int(draw * float64(total))
	for _, target := range r.Targets {
		if left < target.Weight {
			return target.Service, true
		}
		left -= target.Weight
	}
	return "", false
}

// Server is one backend server as it says of itself.
type Server struct {
	ID      structs.HostName
	Service structs.ServiceName
	// Address is an IP number and port.
	Address string
	Zone    structs.ZoneName
	Slots   int
	// Draining servers get no new work.
	Draining bool
	// Started is the Unix millisecond of the server's start; a server that
	// starts again under its old ID has another one.
	Started int64
	// Versions are the weights that the server says it runs, by model.
	Versions map[structs.ServiceName]structs.WeightVersion
}
