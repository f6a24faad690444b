package kernel

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

type recorder struct {
	Base
	name  Name
	needs []Name
	fail  error
	log   *[]string
}

func (r *recorder) Provision(ctx *Context) error {
	for _, need := range r.needs {
		if _, err := Find[Service](ctx, need); err != nil {
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

func registryOf(log *[]string, services ...recorder) *Registry {
	registry := NewRegistry()
	for _, service := range services {
		registry.Register(service.name, func() Service {
			made := service
			made.log = log
			return &made
		})
	}
	return registry
}

func TestKernel_StartsInOrderOfNeed(t *testing.T) {
	var log []string
	registry := registryOf(&log,
		recorder{name: "front", needs: []Name{"route"}},
		recorder{name: "route", needs: []Name{"hosts"}},
		recorder{name: "hosts"})
	k := New(Options{Registry: registry, Services: []Name{"front"}})
	must.NoError(t, k.Start(t.Context()))
	must.NoError(t, k.Stop(t.Context()))
	must.Eq(t, []string{"start hosts", "start route", "start front",
		"stop front", "stop route", "stop hosts"}, log)
}

func TestKernel_RefusesCycle(t *testing.T) {
	var log []string
	registry := registryOf(&log,
		recorder{name: "a", needs: []Name{"b"}},
		recorder{name: "b", needs: []Name{"a"}})
	k := New(Options{Registry: registry, Services: []Name{"a"}})
	must.ErrorIs(t, k.Start(t.Context()), ErrCycle)
	must.SliceEmpty(t, log)
}

func TestKernel_StopsWhatStartedWhenOneFails(t *testing.T) {
	var log []string
	broken := errors.New("broken")
	registry := registryOf(&log,
		recorder{name: "a", needs: []Name{"b"}, fail: broken},
		recorder{name: "b"})
	k := New(Options{Registry: registry, Services: []Name{"a"}})
	must.ErrorIs(t, k.Start(t.Context()), broken)
	must.Eq(t, []string{"start b", "start a", "stop b"}, log)
}

func TestKernel_UnknownService(t *testing.T) {
	k := New(Options{Registry: NewRegistry(), Services: []Name{"nobody"}})
	must.ErrorIs(t, k.Start(t.Context()), ErrUnknownService)
}

type optional struct {
	Base
	found bool
	err   error
}

func (o *optional) Provision(ctx *Context) error {
	_, o.found, o.err = FindOptional[Service](ctx, "need")
	return o.err
}

func TestFindOptional_TellsAbsentFromBroken(t *testing.T) {
	var log []string
	absent, present := &optional{}, &optional{}
	registry := NewRegistry()
	registry.Register("service", func() Service { return absent })
	_, err := New(Options{Registry: registry}).load("service")
	must.NoError(t, err)
	must.False(t, absent.found)

	registry = registryOf(&log, recorder{name: "need", needs: []Name{"nobody"}})
	registry.Register("service", func() Service { return present })
	_, err = New(Options{Registry: registry}).load("service")
	must.ErrorIs(t, err, ErrUnknownService)
}
