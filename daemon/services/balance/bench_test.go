package balance

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

const benchmarkServers = 10_000

// BenchmarkPublish measures the control goroutine's time for a publication:
// with unchanged servers, as after an ejection, and with a changed list.
func BenchmarkPublish(b *testing.B) {
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprintf("changed=%t", changed), func(b *testing.B) {
			servers := makeServers(benchmarkServers)
			s := startBalancer(b, newFakeServices(servers), "entry-1", probeTCP)
			calls := kernel.NewLoopExecutor(s.loop)
			b.ReportAllocs()
			must.NoError(b, calls.Do(context.Background(), func() {
				for i := 0; b.Loop(); i++ {
					if changed {
						count := benchmarkServers - i%2
						s.control.hosts.Services["portal"] = servers[:count]
						s.rebuildServices()
					}
					s.publish()
				}
			}))
		})
	}
}

// BenchmarkAdapt measures the computation of all servers' limits.
func BenchmarkAdapt(b *testing.B) {
	s := startBalancer(b, newFakeServices(makeServers(benchmarkServers)), "entry-1", probeTCP)
	calls := kernel.NewLoopExecutor(s.loop)
	must.NoError(b, calls.Do(context.Background(), func() {
		for b.Loop() {
			s.adaptLimits()
		}
	}))
}

// BenchmarkPick measures a request from admission through routing to the
// release of its ticket.
func BenchmarkPick(b *testing.B) {
	s := startBalancer(b, newFakeServices(makeServers(benchmarkServers)), "entry-1", probeTCP)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := uint64(1); pb.Next(); i++ {
			finish(pick(b, s, contract.PickRequest{Affinity: i}), result.OK)
		}
	})
}
