package kernel

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// ErrCycle is returned when services need each other in a circle.
var ErrCycle = errors.New("kernel: services need each other in a circle")

// ErrWrongType is returned when a service is found under a name but does not
// offer the interface that the caller asked for.
var ErrWrongType = errors.New("kernel: service does not offer the wanted interface")

// Service is a part of a process. The kernel calls the methods in the order
// in which they are declared, all from the goroutine that runs Kernel.Start
// and Kernel.Stop.
type Service interface {
	// Provision reads the configuration and finds other services by name.
	// A service found here is started before this one.
	Provision(ctx *Context) error
	// Validate reports a configuration that cannot work.
	Validate() error
	// Start begins the work. It must not block.
	Start() error
	// Stop ends the work and returns when it is finished or ctx ends.
	Stop(ctx context.Context) error
}

// Base gives a service empty lifecycle methods to embed.
type Base struct{}

// Provision does nothing.
func (Base) Provision(*Context) error { return nil }

// Validate accepts everything.
func (Base) Validate() error { return nil }

// Start does nothing.
func (Base) Start() error { return nil }

// Stop does nothing.
func (Base) Stop(context.Context) error { return nil }

// Options configures a kernel.
type Options struct {
	// Registry holds the factories; nil means the default registry.
	Registry *Registry
	// Services are the names to load; what they need is loaded as well.
	Services []Name
	// Overrides names, for a service, another registered one that is loaded in
	// its place; nil changes nothing.
	Overrides map[Name]Name
	// Config is handed to the services; see ConfigOf.
	Config any
	// Clock is the source of time; nil means the real clock.
	Clock clockwork.Clock
	// Log receives the log; nil means logrus' standard logger.
	Log *logrus.Logger
	// MaxWorkers bounds the blocking calls that run at once.
	MaxWorkers int
}

// Kernel loads, starts and stops services.
type Kernel struct {
	options Options
	loop    *Loop
	workers *Workers
	loaded  map[Name]Service
	loading []Name
	order   []Name
	started int
	endLoop context.CancelFunc
}

const defaultWorkers = 256

// New returns a kernel that has loaded nothing yet.
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
	return &Kernel{
		options: options,
		loop:    NewLoop(options.Clock),
		workers: NewWorkers(options.MaxWorkers),
		loaded:  make(map[Name]Service),
	}
}

// Start loads every service, then starts the control loop and the services,
// those first that others depend on. When one fails, those already started
// are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.options.Services {
		if _, err := k.load(name); err != nil {
			return err
		}
	}
	for _, name := range k.order {
		if err := k.loaded[name].Validate(); err != nil {
			return errors.WithMessage(err, string(name))
		}
	}
	loopCtx, cancel := context.WithCancel(context.Background())
	k.endLoop = cancel
	go k.loop.Run(loopCtx)
	for _, name := range k.order {
		if err := k.loaded[name].Start(); err != nil {
			_ = k.Stop(ctx)
			return errors.WithMessage(err, string(name))
		}
		k.started++
	}
	return nil
}

// Stop stops the started services in reverse order, then the workers and the
// control loop. It returns the first error and stops the rest all the same.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for k.started > 0 {
		k.started--
		name := k.order[k.started]
		if err := k.loaded[name].Stop(ctx); err != nil && first == nil {
			first = errors.WithMessage(err, string(name))
		}
	}
	k.workers.Stop()
	if k.endLoop != nil {
		k.endLoop()
		<-k.loop.Done()
	}
	return first
}

// Loop returns the control loop.
func (k *Kernel) Loop() *Loop { return k.loop }

// StartOrder lists the loaded services, those first that others depend on.
func (k *Kernel) StartOrder() []Name { return k.order }

// load provisions a service after those that it looks up.
func (k *Kernel) load(name Name) (Service, error) {
	if other, ok := k.options.Overrides[name]; ok {
		name = other
	}
	if service, ok := k.loaded[name]; ok {
		return service, nil
	}
	for _, pending := range k.loading {
		if pending == name {
			return nil, errors.Wrapf(ErrCycle, "%v then %s", k.loading, name)
		}
	}
	service, err := k.options.Registry.New(name)
	if err != nil {
		return nil, err
	}
	k.loading = append(k.loading, name)
	err = service.Provision(&Context{kernel: k, name: name})
	k.loading = k.loading[:len(k.loading)-1]
	if err != nil {
		return nil, errors.WithMessage(err, string(name))
	}
	k.loaded[name] = service
	k.order = append(k.order, name)
	return service, nil
}

// Context is what a service sees of the kernel while it is provisioned.
type Context struct {
	kernel *Kernel
	name   Name
}

// Loop returns the control loop.
func (c *Context) Loop() *Loop { return c.kernel.loop }

// Workers returns the pool for blocking calls.
func (c *Context) Workers() *Workers { return c.kernel.workers }

// Clock returns the source of time.
func (c *Context) Clock() clockwork.Clock { return c.kernel.options.Clock }

// Log returns a logger whose lines bear the service's name.
func (c *Context) Log() *logrus.Entry {
	return c.kernel.options.Log.WithField(ServiceLogField, string(c.name))
}

// ServiceLogField is the log field that names the service that wrote a line.
const ServiceLogField = "part"

// Now returns the current time of the kernel's clock.
func (c *Context) Now() time.Time { return c.kernel.options.Clock.Now() }

// Find returns the service registered under a name, loading it first when
// needed. It fails with ErrUnknownService, ErrCycle or ErrWrongType.
func Find[T any](c *Context, name Name) (T, error) {
	service, err := c.kernel.load(name)
	if err != nil {
		var none T
		return none, err
	}
	return as[T](name, service)
}

func as[T any](name Name, service Service) (T, error) {
	wanted, ok := service.(T)
	if !ok {
		return wanted, errors.Wrapf(ErrWrongType, "%s is a %T", name, service)
	}
	return wanted, nil
}

// FindLoaded returns a service of a kernel that has been started. It fails with
// ErrUnknownService when it was not loaded, or ErrWrongType.
func FindLoaded[T any](k *Kernel, name Name) (T, error) {
	if other, ok := k.options.Overrides[name]; ok {
		name = other
	}
	service, ok := k.loaded[name]
	if !ok {
		var none T
		return none, errors.Wrap(ErrUnknownService, string(name))
	}
	return as[T](name, service)
}

// Dependency is a service that another one finds by name.
type Dependency struct {
	find func(c *Context) error
}

// Bind puts the service registered under a name into a variable.
func Bind[T any](to *T, name Name) Dependency {
	return Dependency{find: func(c *Context) error {
		found, err := Find[T](c, name)
		if err == nil {
			*to = found
		}
		return err
	}}
}

// FindAll finds several services; it fails as Find does, with the first that
// cannot be had.
func FindAll(c *Context, needs ...Dependency) error {
	for _, need := range needs {
		if err := need.find(c); err != nil {
			return err
		}
	}
	return nil
}

// FindOptional is Find for a service that a process may do without: it reports
// false when nothing is registered under the name.
func FindOptional[T any](c *Context, name Name) (T, bool, error) {
	var none T
	if !c.kernel.options.Registry.Has(name) {
		return none, false, nil
	}
	service, err := Find[T](c, name)
	return service, err == nil, err
}

// ConfigOf returns the configuration of the process as a T and fails with
// ErrWrongType when it is something else.
func ConfigOf[T any](c *Context) (T, error) {
	config, ok := c.kernel.options.Config.(T)
	if !ok {
		return config, errors.Wrapf(ErrWrongType, "configuration is a %T", c.kernel.options.Config)
	}
	return config, nil
}
