package kernel

import (
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// ErrUnknownService is returned when no service is registered under a name.
var ErrUnknownService = errors.New("kernel: unknown service")

// Name is the dotted name of a service, for example "control.settings".
type Name string

// Factory returns a new service that is not provisioned yet.
type Factory func() Service

// Registry maps names to factories. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	factories map[Name]Factory
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{factories: make(map[Name]Factory)}
}

var defaultRegistry = NewRegistry()

// DefaultRegistry returns the registry in which packages register their services
// from init functions.
func DefaultRegistry() *Registry { return defaultRegistry }

// Register adds a factory to the default registry. It panics if the name is
// already registered, which is a programming error.
func Register(name Name, factory Factory) { defaultRegistry.Register(name, factory) }

// Register adds a factory under a name. It panics if the name is already
// registered.
func (r *Registry) Register(name Name, factory Factory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.factories[name]; exists {
		panic("kernel: service name registered twice: " + string(name))
	}
	r.factories[name] = factory
}

// New creates the service registered under a name. It fails with
// ErrUnknownService.
func (r *Registry) New(name Name) (Service, error) {
	r.mu.Lock()
	factory, ok := r.factories[name]
	r.mu.Unlock()
	if !ok {
		return nil, errors.Wrap(ErrUnknownService, string(name))
	}
	return factory(), nil
}

// Has reports whether a factory is registered under a name.
func (r *Registry) Has(name Name) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.factories[name]
	return ok
}

// Names returns the registered names in lexical order.
func (r *Registry) Names() []Name {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]Name, 0, len(r.factories))
	for name := range r.factories {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
