package journal

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/journal"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/emulate/store"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	// measureDuration is how long requests arrive at each rate.
	measureDuration   = 5 * time.Second
	measureStoreDelay = 2 * time.Millisecond
	measureDaemons    = 4
	measureTimeout    = 5 * time.Second
)

// instantPlain responds at once, so that the measured latency is what the
// journal adds.
type instantPlain struct{}

func (instantPlain) Do(context.Context, string, outside.ServiceRequest) (outside.ServiceResponse, error) {
	return outside.ServiceResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("filed")}, nil
}

// measurement holds the results at one rate.
type measurement struct {
	mu        sync.Mutex
	latencies []time.Duration
	refused   int
}

func (m *measurement) add(latency time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if result.OutcomeOf(err) != result.Answered {
		m.refused++
		return
	}
	m.latencies = append(m.latencies, latency)
}

func (m *measurement) quantile(q float64) float64 {
	if len(m.latencies) == 0 {
		return 0
	}
	slices.Sort(m.latencies)
	return m.latencies[int(q*float64(len(m.latencies)-1))].Seconds() * 1e3
}

// BenchmarkSubmit measures the store operations and the latency that the
// journal adds to a submission, at fixed arrival rates. Run it with -benchtime
// 1x.
func BenchmarkSubmit(b *testing.B) {
	policies := []struct {
		name   string
		policy journal.WritePolicy
	}{{"group-commit", journal.GroupCommit()}, {"write-each", journal.PerRecordCommit()}}
	for _, c := range policies {
		for _, rate := range []int{1, 10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", c.name, rate), func(b *testing.B) {
				for range b.N {
					measure(b, c.policy, rate)
				}
			})
		}
	}
}

func measure(b *testing.B, policy journal.WritePolicy, rate int) {
	fleet := newTestFleet(b)
	fleet.store = store.New(store.DefaultLimits(), 1)
	fleet.store.SetFaults(store.Faults{Delay: measureStoreDelay})
	fleet.policy, fleet.plainClient, fleet.timeout = policy, instantPlain{}, measureTimeout
	var daemons []*daemon
	for i := range measureDaemons {
		daemons = append(daemons, fleet.start(fmt.Sprintf("d%d", i)))
	}
	claimAllBuckets(fleet, daemons)
	before := fleet.store.Counts()
	var m measurement
	offered := offerRequests(fleet, daemons, rate, &m)
	after := fleet.store.Counts()
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(offered), "writes/op")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(offered), "reads/op")
	b.ReportMetric(float64(after.Refused-before.Refused)/float64(offered), "limited/op")
	b.ReportMetric(float64(m.refused)/float64(offered), "refused/op")
	b.ReportMetric(m.quantile(0.5), "p50-ms")
	b.ReportMetric(m.quantile(0.99), "p99-ms")
	b.ReportMetric(0, "ns/op")
	for _, d := range daemons {
		d.stop()
	}
}

// claimAllBuckets distributes the buckets over the daemons before the
// measurement.
func claimAllBuckets(fleet *testFleet, daemons []*daemon) {
	for bucket := range journal.Bucket(journal.BucketCount) {
		_, err := daemons[int(bucket)%len(daemons)].locateOwner(fleet.t.Context(), bucket, 0)
		if err != nil {
			fleet.t.Fatal(err)
		}
	}
}

// offerRequests submits requests at a fixed rate, whether or not earlier ones
// have been answered, and returns their count.
func offerRequests(fleet *testFleet, daemons []*daemon, rate int, m *measurement) int {
	offered := int(measureDuration.Seconds() * float64(rate))
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	for n := range offered {
		<-ticker.C
		wg.Go(func() {
			request := contract.SubmitRequest{Workspace: testWorkspace, Path: testPath, Key: keyOf(n), Body: []byte("claim")}
			startedAt := time.Now()
			_, err := daemons[n%len(daemons)].Submit(fleet.t.Context(), request)
			m.add(time.Since(startedAt), err)
		})
	}
	wg.Wait()
	return offered
}
