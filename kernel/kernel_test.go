package kernel

import (
	"context"
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

type recorder struct {
	Base
	name         Name
	dependencies []Name
	fail         error
	log          *[]string
}

func (r *recorder) Provision(ctx *Context) error {
	for _, dependency := range r.dependencies {
		if _, err := Find[Service](ctx, dependency); err != nil {
			return err
		}
	}
	return nil
}

func (r *recorder) Start() error {
	*r.log = append(*r.log, "start "+string(r.name))
	return r.fail
}

func (r *recorder) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+string(r.name))
	return nil
}

func newTestRegistry(log *[]string, services ...recorder) *Registry {
	registry := NewRegistry()
	for _, service := range services {
		registry.Register(service.name, func() Service {
			instance := service
			instance.log = log
			return &instance
		})
	}
	return registry
}

func TestKernel_StartOrder(t *testing.T) {
	var log []string
	registry := newTestRegistry(&log,
		recorder{name: "front", dependencies: []Name{"route"}},
		recorder{name: "route", dependencies: []Name{"hosts"}},
		recorder{name: "hosts"})
	k := New(Options{Registry: registry, Services: []Name{"front"}})
	must.NoError(t, k.Start(t.Context()))
	must.NoError(t, k.Stop(t.Context()))
	must.Eq(t, []string{"start hosts", "start route", "start front",
		"stop front", "stop route", "stop hosts"}, log)
}

// drainingRecorder is a recorder that drains until another one does.
type drainingRecorder struct {
	recorder
	begun, other chan struct{}
}

func (d *drainingRecorder) Drain(ctx context.Context) error {
	close(d.begun)
	select {
	case <-d.other:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestKernel_DrainsBeforeStop checks that services drain at the same time, and that none
// is stopped before all have drained, even if one of them panics.
func TestKernel_DrainsBeforeStop(t *testing.T) {
	var log []string
	first, second := make(chan struct{}), make(chan struct{})
	registry := newTestRegistry(&log, recorder{name: "hosts"})
	registry.Register("front", func() Service {
		return &drainingRecorder{recorder: recorder{name: "front", dependencies: []Name{"links"}, log: &log}, begun: first, other: second}
	})
	registry.Register("links", func() Service {
		return &drainingRecorder{recorder: recorder{name: "links", dependencies: []Name{"broken"}, log: &log}, begun: second, other: first}
	})
	closed := make(chan struct{})
	close(closed)
	registry.Register("broken", func() Service {
		// Closing a closed channel panics.
		return &drainingRecorder{recorder: recorder{name: "broken", dependencies: []Name{"hosts"}, log: &log}, begun: closed}
	})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := New(Options{Registry: registry, Services: []Name{"front"}, Log: logger})
	must.NoError(t, k.Start(t.Context()))
	log = nil
	must.ErrorIs(t, k.Stop(t.Context()), ErrPanicked)
	must.Eq(t, []string{"stop front", "stop links", "stop broken", "stop hosts"}, log)
}

func TestKernel_RejectsCycle(t *testing.T) {
	var log []string
	registry := newTestRegistry(&log,
		recorder{name: "a", dependencies: []Name{"b"}},
		recorder{name: "b", dependencies: []Name{"a"}})
	k := New(Options{Registry: registry, Services: []Name{"a"}})
	must.ErrorIs(t, k.Start(t.Context()), ErrCycle)
	must.SliceEmpty(t, log)
}

func TestKernel_StopsServicesAfterFailedStart(t *testing.T) {
	var log []string
	startErr := errors.New("broken")
	registry := newTestRegistry(&log,
		recorder{name: "a", dependencies: []Name{"b"}, fail: startErr},
		recorder{name: "b"})
	k := New(Options{Registry: registry, Services: []Name{"a"}})
	must.ErrorIs(t, k.Start(t.Context()), startErr)
	must.Eq(t, []string{"start b", "start a", "stop b"}, log)
}

func TestKernel_UnknownService(t *testing.T) {
	k := New(Options{Registry: NewRegistry(), Services: []Name{"nobody"}})
	must.ErrorIs(t, k.Start(t.Context()), ErrUnknownService)
}

type optionalFinder struct {
	Base
	found bool
	err   error
}

func (o *optionalFinder) Provision(ctx *Context) error {
	_, o.found, o.err = FindOptional[Service](ctx, "need")
	return o.err
}

func TestFindOptional_DistinguishesAbsentFromFailing(t *testing.T) {
	var log []string
	absent, present := &optionalFinder{}, &optionalFinder{}
	registry := NewRegistry()
	registry.Register("service", func() Service { return absent })
	_, err := New(Options{Registry: registry}).load("service")
	must.NoError(t, err)
	must.False(t, absent.found)

	registry = newTestRegistry(&log, recorder{name: "need", dependencies: []Name{"nobody"}})
	registry.Register("service", func() Service { return present })
	_, err = New(Options{Registry: registry}).load("service")
	must.ErrorIs(t, err, ErrUnknownService)
}
