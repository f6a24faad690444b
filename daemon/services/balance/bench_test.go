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

const manyServers = 10_000

// BenchmarkPublish measures the control thread's time for a publication: with
// the same servers, as after an ejection, and with a changed list.
func BenchmarkPublish(b *testing.B) {
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprintf("changed=%t", changed), func(b *testing.B) {
			servers := fleet(manyServers)
			s := start(b, newWorld(servers), "entry-1", connect)
			calls := kernel.NewLoopExecutor(s.loop)
			b.ReportAllocs()
			must.NoError(b, calls.Do(context.Background(), func() {
				for i := 0; b.Loop(); i++ {
					if changed {
						count := manyServers - i%2
						s.control.hosts.Services["portal"] = servers[:count]
						s.rebuild()
					}
					s.publish()
				}
			}))
		})
	}
}

// BenchmarkAdapt measures the search for the limits of all servers.
func BenchmarkAdapt(b *testing.B) {
	s := start(b, newWorld(fleet(manyServers)), "entry-1", connect)
	calls := kernel.NewLoopExecutor(s.loop)
	must.NoError(b, calls.Do(context.Background(), func() {
		for b.Loop() {
			s.adapt()
		}
	}))
}

// BenchmarkPick measures a whole pass of a request: admission, routing and the
// ticket's end.
func BenchmarkPick(b *testing.B) {
	s := start(b, newWorld(fleet(manyServers)), "entry-1", connect)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := uint64(1); pb.Next(); i++ {
			finish(pick(b, s, contract.PickRequest{Affinity: i}), result.OK)
		}
	})
}
