package steps

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// fetchBatchSize is the maximum number of samples in a call.
	fetchBatchSize = 256
	// maxConcurrentFetches bounds the concurrent calls that fetch a step.
	maxConcurrentFetches = 16
	// fetchTimeout bounds one such call.
	fetchTimeout = 10 * time.Second
	// fetchRetryDelay is the delay between attempts to fetch missing bodies
	// while a holder is unreachable, and maxFetchAttempts bounds the attempts.
	fetchRetryDelay  = time.Second
	maxFetchAttempts = 3
)

// bodyFetch fetches the bodies of a step's samples.
type bodyFetch struct {
	service *service
	list    step.SampleList

	mu      sync.Mutex
	samples map[structs.SampleID]structs.Sample
	// incomplete is set when a holder failed to respond, or is missing from the
	// host list, which may lag. Such a holder may still have missing bodies.
	incomplete bool
}

// fetchBodies fetches the bodies of a step from their holders. It returns the
// samples found and the ids of those that no holder returned. While holders fail
// to respond, it retries up to maxFetchAttempts.
func (s *service) fetchBodies(ctx context.Context, list step.SampleList) (map[structs.SampleID]structs.Sample, []structs.SampleID) {
	f := &bodyFetch{service: s, list: list, samples: make(map[structs.SampleID]structs.Sample, len(list.Entries))}
	for attempt := range maxFetchAttempts {
		f.incomplete = false
		for holder := range step.HolderCount {
			f.fetchFromHolders(ctx, f.missing(), holder)
		}
		missing := f.missing()
		if len(missing) == 0 || !f.incomplete || ctx.Err() != nil || attempt == maxFetchAttempts-1 {
			break
		}
		s.sleep(ctx, fetchRetryDelay)
	}
	return f.samples, entryIDs(f.missing())
}

// sleep waits for a delay or the end of ctx.
func (s *service) sleep(ctx context.Context, delay time.Duration) {
	timer := s.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

func entryIDs(entries []step.Entry) []structs.SampleID {
	var ids []structs.SampleID
	for _, entry := range entries {
		ids = append(ids, entry.ID)
	}
	return ids
}

// missing lists the entries, other than lost ones, that have no body yet.
func (f *bodyFetch) missing() []step.Entry {
	var missing []step.Entry
	for _, entry := range f.list.Entries {
		if _, ok := f.samples[entry.ID]; !ok && !entry.Lost {
			missing = append(missing, entry)
		}
	}
	return missing
}

// fetchFromHolders fetches entries, each from the holder at the given index of
// its Holders.
func (f *bodyFetch) fetchFromHolders(ctx context.Context, entries []step.Entry, holder int) {
	byHost := make(map[structs.HostName][]structs.SampleID)
	for _, entry := range entries {
		host := entry.Holders[holder]
		byHost[host] = append(byHost[host], entry.ID)
	}
	calls := pool.New().WithMaxGoroutines(maxConcurrentFetches)
	for host, ids := range byHost {
		for start := 0; start < len(ids); start += fetchBatchSize {
			batch := ids[start:min(start+fetchBatchSize, len(ids))]
			calls.Go(func() { f.fetchBatch(ctx, host, batch) })
		}
	}
	calls.Wait()
}

// fetchBatch fetches samples from one host. It sets incomplete when the host fails
// to respond.
func (f *bodyFetch) fetchBatch(ctx context.Context, host structs.HostName, ids []structs.SampleID) {
	s := f.service
	if host == s.config.Host {
		f.add(s.sampleStore.loadSealed(f.list.Step, ids))
		return
	}
	samples, ok := s.callFetch(ctx, host, &FetchArgs{Step: f.list.Step, IDs: ids})
	if !ok {
		f.mu.Lock()
		f.incomplete = true
		f.mu.Unlock()
		return
	}
	f.add(samples)
}

// callFetch fetches samples from another daemon and reports whether the call
// succeeded.
func (s *service) callFetch(ctx context.Context, host structs.HostName, args *FetchArgs) ([]structs.Sample, bool) {
	address, ok := s.addressOf(host)
	if !ok {
		return nil, false
	}
	reply, err := callPeer[FetchReply](ctx, s, fetchTimeout, address, "Fetch", args)
	return reply.Samples, err == nil
}

func (f *bodyFetch) add(samples []structs.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, sample := range samples {
		f.samples[sample.ID] = sample
	}
}

// addressOf looks up the current address of a daemon by host name. Holders are
// recorded by name because an address may change while a sample is stored.
func (s *service) addressOf(host structs.HostName) (string, bool) {
	for _, daemon := range s.hosts.View().Load().Daemons {
		if daemon.Name == host {
			return daemon.Address, true
		}
	}
	return "", false
}
