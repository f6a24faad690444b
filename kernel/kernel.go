package kernel

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"
)

// ErrCycle is returned when services depend on each other in a cycle.
var ErrCycle = errors.New("kernel: dependency cycle")

// ErrWrongType is returned when a service does not implement the interface that
// the caller requested, or when the configuration has another type.
var ErrWrongType = errors.New("kernel: unexpected type")

// Service is a component of a process. The kernel calls the methods in the
// order of their declaration, all on the goroutine that runs Kernel.Start and
// Kernel.Stop.
type Service interface {
	// Provision reads the configuration and looks up other services by name.
	// A service looked up here starts before this one.
	Provision(ctx *Context) error
	// Validate returns an error if the configuration cannot work.
	Validate() error
	// Start starts the service. It must not block.
	Start() error
	// Stop stops the service and returns once its work has ended or ctx is done.
	Stop(ctx context.Context) error
}

// Drainer is implemented by services with work in progress that must end before other
// services stop.
type Drainer interface {
	// Drain returns once the work in progress has ended or ctx is done. Kernel.Stop
	// calls the Drainers at the same time, before it stops any service.
	Drain(ctx context.Context) error
}

// Base provides empty lifecycle methods for services to embed.
type Base struct{}

// Provision does nothing.
func (Base) Provision(*Context) error { return nil }

// Validate returns nil.
func (Base) Validate() error { return nil }

// Start does nothing.
func (Base) Start() error { return nil }

// Stop does nothing.
func (Base) Stop(context.Context) error { return nil }

// Options configures a kernel.
type Options struct {
	// Registry holds the factories; nil means the default registry.
	Registry *Registry
	// Services are the names to load; their dependencies are loaded as well.
	Services []Name
	// Overrides maps the name of a service to the registered name that is
	// loaded in its place. It may be nil.
	Overrides map[Name]Name
	// Config is the configuration of the process, which services read with
	// ConfigOf.
	Config any
	// Clock is the source of time; nil means the real clock.
	Clock clockwork.Clock
	// Log receives the log; nil means logrus' standard logger.
	Log *logrus.Logger
	// MaxWorkers limits the concurrent blocking calls; zero means 256.
	MaxWorkers int
}

// Kernel loads, starts and stops services.
type Kernel struct {
	options      Options
	guard        *Guard
	loop         *Loop
	workers      *Workers
	services     map[Name]Service
	loadStack    []Name
	startOrder   []Name
	startedCount int
	stopLoop     context.CancelFunc
}

const defaultWorkers = 256

// New returns a kernel without loaded services.
func New(options Options) *Kernel {
	if options.Registry == nil {
		options.Registry = DefaultRegistry()
	}
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if options.MaxWorkers == 0 {
		options.MaxWorkers = defaultWorkers
	}
	k := &Kernel{
		options:  options,
		guard:    NewGuard(options.Log),
		loop:     NewLoop(options.Clock),
		workers:  NewWorkers(options.MaxWorkers),
		services: make(map[Name]Service),
	}
	k.loop.guard, k.workers.guard = k.guard, k.guard
	return k
}

// Start loads and validates every service, then starts the control loop and the
// services in dependency order. If a service fails to start, Start stops those
// that already run.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.options.Services {
		if _, err := k.load(name); err != nil {
			return err
		}
	}
	for _, name := range k.startOrder {
		if err := k.services[name].Validate(); err != nil {
			return errors.WithMessage(err, string(name))
		}
	}
	loopCtx, cancel := context.WithCancel(context.Background())
	k.stopLoop = cancel
	go k.loop.Run(loopCtx)
	for _, name := range k.startOrder {
		if err := k.services[name].Start(); err != nil {
			_ = k.Stop(ctx)
			return errors.WithMessage(err, string(name))
		}
		k.startedCount++
	}
	return nil
}

// Stop drains the started services, stops them in reverse order, and then stops the
// workers and the control loop. It continues after an error and returns the first one.
func (k *Kernel) Stop(ctx context.Context) error {
	firstErr := k.drain(ctx)
	for k.startedCount > 0 {
		k.startedCount--
		name := k.startOrder[k.startedCount]
		if err := k.services[name].Stop(ctx); err != nil && firstErr == nil {
			firstErr = errors.WithMessage(err, string(name))
		}
	}
	k.workers.Stop()
	if k.stopLoop != nil {
		k.stopLoop()
		<-k.loop.Done()
	}
	return firstErr
}

// drain drains the started services at the same time and returns the first error.
func (k *Kernel) drain(ctx context.Context) error {
	group := pool.New().WithErrors().WithFirstError()
	for _, name := range k.startOrder[:k.startedCount] {
		drainer, ok := k.services[name].(Drainer)
		if !ok {
			continue
		}
		group.Go(func() error {
			err := ErrPanicked
			k.guard.Run("drain of "+string(name), func() { err = drainer.Drain(ctx) })
			return errors.WithMessage(err, string(name))
		})
	}
	return group.Wait()
}

// Failed returns a channel that is closed when the control state violates an
// invariant. The process must then stop.
func (k *Kernel) Failed() <-chan struct{} { return k.guard.failed }

// Loop returns the control loop.
func (k *Kernel) Loop() *Loop { return k.loop }

// StartOrder returns the names of the loaded services in dependency order.
func (k *Kernel) StartOrder() []Name { return k.startOrder }

// load creates and provisions a service. Services that it looks up while it is
// provisioned are loaded first.
func (k *Kernel) load(name Name) (Service, error) {
	if override, ok := k.options.Overrides[name]; ok {
		name = override
	}
	if service, ok := k.services[name]; ok {
		return service, nil
	}
	for _, loading := range k.loadStack {
		if loading == name {
			return nil, errors.Wrapf(ErrCycle, "%v then %s", k.loadStack, name)
		}
	}
	service, err := k.options.Registry.New(name)
	if err != nil {
		return nil, err
	}
	k.loadStack = append(k.loadStack, name)
	err = service.Provision(&Context{kernel: k, name: name})
	k.loadStack = k.loadStack[:len(k.loadStack)-1]
	if err != nil {
		return nil, errors.WithMessage(err, string(name))
	}
	k.services[name] = service
	k.startOrder = append(k.startOrder, name)
	return service, nil
}

// Context is the kernel's interface to a service that is being provisioned.
type Context struct {
	kernel *Kernel
	name   Name
}

// Loop returns the control loop.
func (c *Context) Loop() *Loop { return c.kernel.loop }

// Workers returns the pool for blocking calls.
func (c *Context) Workers() *Workers { return c.kernel.workers }

// Guard returns the boundary for panics in goroutines that the kernel does not
// run, such as those of a server.
func (c *Context) Guard() *Guard { return c.kernel.guard }

// Clock returns the source of time.
func (c *Context) Clock() clockwork.Clock { return c.kernel.options.Clock }

// Log returns a logger that adds the name of the service to each line.
func (c *Context) Log() *logrus.Entry {
	return c.kernel.options.Log.WithField(ServiceLogField, string(c.name))
}

// ServiceLogField is the log field with the name of the service that logs.
const ServiceLogField = "part"

// Now returns the current time of the kernel's clock.
func (c *Context) Now() time.Time { return c.kernel.options.Clock.Now() }

// Find returns the service registered under a name and loads it first if
// necessary. It fails with ErrUnknownService, ErrCycle or ErrWrongType.
func Find[T any](c *Context, name Name) (T, error) {
	service, err := c.kernel.load(name)
	if err != nil {
		var zero T
		return zero, err
	}
	return asType[T](name, service)
}

func asType[T any](name Name, service Service) (T, error) {
	typed, ok := service.(T)
	if !ok {
		return typed, errors.Wrapf(ErrWrongType, "%s has type %T", name, service)
	}
	return typed, nil
}

// FindLoaded returns a service of a started kernel. It fails with
// ErrUnknownService if the service was not loaded, or with ErrWrongType.
func FindLoaded[T any](k *Kernel, name Name) (T, error) {
	if override, ok := k.options.Overrides[name]; ok {
		name = override
	}
	service, ok := k.services[name]
	if !ok {
		var zero T
		return zero, errors.Wrap(ErrUnknownService, string(name))
	}
	return asType[T](name, service)
}

// Dependency is a lookup of a service by name; see Bind and FindAll.
type Dependency struct {
	find func(c *Context) error
}

// Bind returns a dependency that stores the service registered under a name in
// *target.
func Bind[T any](target *T, name Name) Dependency {
	return Dependency{find: func(c *Context) error {
		found, err := Find[T](c, name)
		if err == nil {
			*target = found
		}
		return err
	}}
}

// FindAll resolves dependencies in order and returns the first error, which is
// one of Find's.
func FindAll(c *Context, dependencies ...Dependency) error {
	for _, dependency := range dependencies {
		if err := dependency.find(c); err != nil {
			return err
		}
	}
	return nil
}

// FindOptional is Find for an optional service: it reports false and no error
// if nothing is registered under the name.
func FindOptional[T any](c *Context, name Name) (T, bool, error) {
	var zero T
	if !c.kernel.options.Registry.Has(name) {
		return zero, false, nil
	}
	service, err := Find[T](c, name)
	return service, err == nil, err
}

// ConfigOf returns the configuration of the process as a T. It fails with
// ErrWrongType if the configuration has another type.
func ConfigOf[T any](c *Context) (T, error) {
	config, ok := c.kernel.options.Config.(T)
	if !ok {
		return config, errors.Wrapf(ErrWrongType, "configuration has type %T", c.kernel.options.Config)
	}
	return config, nil
}
