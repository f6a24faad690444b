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
	// fetchBatch is the count of samples in a call.
	fetchBatch = 256
	// fetchAtOnce bounds the calls that collect a step.
	fetchAtOnce = 16
	// fetchLimit bounds one such call.
	fetchLimit = 10 * time.Second
	// fetchPause is the wait before holders that did not answer are asked
	// again, and fetchRounds how often they are asked.
	fetchPause  = time.Second
	fetchRounds = 3
)

// collection gathers the bodies of a step.
type collection struct {
	service *service
	list    step.SampleList

	mu      sync.Mutex
	samples map[structs.SampleID]structs.Sample
	// silent is set when a holder did not answer or is not in the lagging host
	// list, so that it may still have what is missing.
	silent bool
}

// collect fetches the bodies of a step from their holders and names those that
// no holder has. A holder that does not answer is asked again a few times.
func (s *service) collect(ctx context.Context, list step.SampleList) (map[structs.SampleID]structs.Sample, []structs.SampleID) {
	c := &collection{service: s, list: list, samples: make(map[structs.SampleID]structs.Sample, len(list.Entries))}
	for round := range fetchRounds {
		c.silent = false
		for holder := range step.HolderCount {
			c.fetch(ctx, c.missing(), holder)
		}
		missing := c.missing()
		if len(missing) == 0 || !c.silent || ctx.Err() != nil || round == fetchRounds-1 {
			break
		}
		s.pause(ctx, fetchPause)
	}
	return c.samples, entryIDs(c.missing())
}

// pause waits for a span or the end of ctx.
func (s *service) pause(ctx context.Context, span time.Duration) {
	timer := s.clock.NewTimer(span)
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

// missing lists the entries whose bodies are wanted and not there yet.
func (c *collection) missing() []step.Entry {
	var missing []step.Entry
	for _, entry := range c.list.Entries {
		if _, ok := c.samples[entry.ID]; !ok && !entry.Lost {
			missing = append(missing, entry)
		}
	}
	return missing
}

// fetch asks the first or second holder of each entry.
func (c *collection) fetch(ctx context.Context, entries []step.Entry, holder int) {
	byHost := make(map[structs.HostName][]structs.SampleID)
	for _, entry := range entries {
		host := entry.Holders[holder]
		byHost[host] = append(byHost[host], entry.ID)
	}
	calls := pool.New().WithMaxGoroutines(fetchAtOnce)
	for host, ids := range byHost {
		for begin := 0; begin < len(ids); begin += fetchBatch {
			batch := ids[begin:min(begin+fetchBatch, len(ids))]
			calls.Go(func() { c.fetchFrom(ctx, host, batch) })
		}
	}
	calls.Wait()
}

func (c *collection) fetchFrom(ctx context.Context, host structs.HostName, ids []structs.SampleID) {
	s := c.service
	if host == s.config.Host {
		c.take(s.holdings.fetch(c.list.Step, ids))
		return
	}
	samples, ok := s.fetchFrom(ctx, host, &FetchArgs{Step: c.list.Step, IDs: ids})
	if !ok {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		return
	}
	c.take(samples)
}

// fetchFrom asks another daemon and reports whether it answered.
func (s *service) fetchFrom(ctx context.Context, host structs.HostName, args *FetchArgs) ([]structs.Sample, bool) {
	address, ok := s.addressOf(host)
	if !ok {
		return nil, false
	}
	reply, err := callWithin[FetchReply](ctx, s, fetchLimit, address, "Fetch", args)
	return reply.Samples, err == nil
}

func (c *collection) take(samples []structs.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sample := range samples {
		c.samples[sample.ID] = sample
	}
}

// addressOf finds a daemon by its host name, because its address may have
// changed since it took a sample in.
func (s *service) addressOf(host structs.HostName) (string, bool) {
	for _, daemon := range s.hosts.View().Load().Daemons {
		if daemon.Name == host {
			return daemon.Address, true
		}
	}
	return "", false
}
