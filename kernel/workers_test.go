package kernel

import (
	"context"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

func TestWorkers_NoWorkAfterStop(t *testing.T) {
	workers := NewWorkers(4)
	var submitters sync.WaitGroup
	for range 8 {
		submitters.Go(func() { workers.Go(func(ctx context.Context) { <-ctx.Done() }) })
	}
	workers.Stop()
	submitters.Wait()
	ran := make(chan struct{}, 1)
	workers.Go(func(context.Context) { ran <- struct{}{} })
	workers.Stop()
	must.Eq(t, 0, len(ran))
}
