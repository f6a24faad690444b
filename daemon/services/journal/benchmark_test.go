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
	// measureSpan is how long requests arrive at each point.
	measureSpan    = 5 * time.Second
	measureDelay   = 2 * time.Millisecond
	measureDaemons = 4
	measureDue     = 5 * time.Second
)

// instantPlain answers at once, so that the latency measured is what the
// journal adds.
type instantPlain struct{}

func (instantPlain) Do(context.Context, string, outside.ServiceRequest) (outside.ServiceResponse, error) {
	return outside.ServiceResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("filed")}, nil
}

// point is what was measured at one rate.
type point struct {
	mu        sync.Mutex
	latencies []time.Duration
	refused   int
}

func (p *point) add(latency time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result.OutcomeOf(err) != result.Answered {
		p.refused++
		return
	}
	p.latencies = append(p.latencies, latency)
}

func (p *point) quantile(q float64) float64 {
	if len(p.latencies) == 0 {
		return 0
	}
	slices.Sort(p.latencies)
	return p.latencies[int(q*float64(len(p.latencies)-1))].Seconds() * 1e3
}

// BenchmarkSubmit measures the store's calls and the latency that the journal
// adds to a submission, at fixed rates of arrival. Run it with -benchtime 1x.
func BenchmarkSubmit(b *testing.B) {
	strategies := []struct {
		name     string
		strategy journal.WritePolicy
	}{{"group-commit", journal.GroupCommit()}, {"write-each", journal.PerRecordCommit()}}
	for _, each := range strategies {
		for _, rate := range []int{1, 10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", each.name, rate), func(b *testing.B) {
				for range b.N {
					measure(b, each.strategy, rate)
				}
			})
		}
	}
}

func measure(b *testing.B, strategy journal.WritePolicy, rate int) {
	fleet := newBench(b)
	fleet.store = store.New(store.DefaultLimits(), 1)
	fleet.store.SetFaults(store.Faults{Delay: measureDelay})
	fleet.strategy, fleet.plain, fleet.due = strategy, instantPlain{}, measureDue
	var daemons []*daemon
	for i := range measureDaemons {
		daemons = append(daemons, fleet.start(fmt.Sprintf("d%d", i)))
	}
	claimAll(fleet, daemons)
	before := fleet.store.Counts()
	var p point
	offered := arrive(fleet, daemons, rate, &p)
	after := fleet.store.Counts()
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(offered), "writes/op")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(offered), "reads/op")
	b.ReportMetric(float64(after.Refused-before.Refused)/float64(offered), "limited/op")
	b.ReportMetric(float64(p.refused)/float64(offered), "refused/op")
	b.ReportMetric(p.quantile(0.5), "p50-ms")
	b.ReportMetric(p.quantile(0.99), "p99-ms")
	b.ReportMetric(0, "ns/op")
	for _, d := range daemons {
		d.stop()
	}
}

// claimAll spreads the buckets over the daemons before the measurement.
func claimAll(fleet *bench, daemons []*daemon) {
	for bucket := range journal.Bucket(journal.BucketCount) {
		_, err := daemons[int(bucket)%len(daemons)].locate(fleet.t.Context(), bucket, 0)
		if err != nil {
			fleet.t.Fatal(err)
		}
	}
}

// arrive offers requests at a fixed rate, whether or not earlier ones have
// been answered, and returns their count.
func arrive(fleet *bench, daemons []*daemon, rate int, p *point) int {
	offered := int(measureSpan.Seconds() * float64(rate))
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var waiting sync.WaitGroup
	for n := range offered {
		<-ticker.C
		waiting.Go(func() {
			request := contract.SubmitRequest{Workspace: workspace, Path: testPath, Key: keyOf(n), Body: []byte("claim")}
			begun := time.Now()
			_, err := daemons[n%len(daemons)].Submit(fleet.t.Context(), request)
			p.add(time.Since(begun), err)
		})
	}
	waiting.Wait()
	return offered
}
