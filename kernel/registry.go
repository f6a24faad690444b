package kernel

import (
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// ErrUnknownService is returned when no service is registered under a name.
var ErrUnknownService = errors.New("kernel: no service is registered under this name")

// Name is the dotted name of a service, for example "control.settings".
type Name string

// Factory makes a new, unprovisioned service.
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

// DefaultRegistry returns the registry that packages fill from their init
// functions.
func DefaultRegistry() *Registry { return defaultRegistry }

// Register adds a factory to the default registry. It panics when the name is
// taken, because two packages that claim one name are a programming error.
func Register(name Name, factory Factory) { defaultRegistry.Register(name, factory) }

// Register adds a factory under a name and panics when the name is taken.
func (r *Registry) Register(name Name, factory Factory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.factories[name]; taken {
		panic("kernel: service name registered twice: " + string(name))
	}
	r.factories[name] = factory
}

// New makes the service registered under a name.
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

// Names lists the registered names in order.
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
