package steps

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// offerBatch is the count of offers in a call.
	offerBatch = 4096
	// offerEvery is the time after which an offerer without news offers again
	// what no owner has answered for, and lets go of what it need not hold.
	offerEvery = 10 * time.Second
	// announceAtOnce bounds the calls that announce an owner.
	announceAtOnce = 32
)

// offerer offers the samples of one workspace to its owner, on a goroutine of
// its own.
type offerer struct {
	service   *service
	workspace structs.WorkspaceName
	// news wakes the goroutine for fresh samples, and renewed for a new owner.
	news, renewed chan struct{}
	// failed is when no owner was found; it belongs to the goroutine.
	failed time.Time
}

// offererOf returns the offerer of a workspace and starts it at first use,
// unless the service stops.
func (s *service) offererOf(workspace structs.WorkspaceName) *offerer {
	s.offerersMu.Lock()
	defer s.offerersMu.Unlock()
	if known, ok := s.offerers[workspace]; ok {
		return known
	}
	o := &offerer{
		service:   s,
		workspace: workspace,
		news:      make(chan struct{}, 1),
		renewed:   make(chan struct{}, 1),
	}
	if s.ctx.Err() == nil {
		s.offerers[workspace] = o
		s.group.Go(o.run)
	}
	return o
}

// wakeUp makes the offerer offer fresh samples; it never blocks.
func (o *offerer) wakeUp() { signal(o.news) }

// renew makes the offerer offer all it has to a new owner; it never blocks.
func (o *offerer) renew() { signal(o.renewed) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (o *offerer) run() {
	for {
		timer := o.service.clock.NewTimer(offerEvery)
		all := false
		select {
		case <-o.news:
		case <-o.renewed:
			all = true
		case <-timer.Chan():
			all = true
		case <-o.service.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		o.round(o.service.ctx, all)
	}
}

// round offers fresh samples, or all that the owner does not know yet, which
// takes in the replicas of other hosts' samples.
func (o *offerer) round(ctx context.Context, all bool) {
	s := o.service
	parameters, err := s.settings.LastKnownParameters(o.workspace)
	if err != nil || !s.holdings.has(o.workspace) {
		return
	}
	if all {
		s.mend(ctx, o.workspace)
	}
	owner, ok := o.owner(ctx, all)
	if !ok {
		return
	}
	var offers []step.Offer
	if all {
		oldest := s.clock.Now().Add(-parameters.StalenessAge)
		offers = s.holdings.unsettled(o.workspace, owner.term, oldest)
	} else {
		offers = s.holdings.takeFresh(o.workspace)
	}
	o.offer(ctx, owner, offers, all)
}

// offer sends offers in batches, the first even when it is empty if always is
// set: the reply tells which samples need not be held any more.
func (o *offerer) offer(ctx context.Context, owner ownership, offers []step.Offer, always bool) {
	for begin := 0; begin == 0 || begin < len(offers); begin += offerBatch {
		batch := offers[begin:min(begin+offerBatch, len(offers))]
		if len(batch) == 0 && !always {
			return
		}
		if !o.send(ctx, owner, batch) {
			return
		}
	}
}

// owner returns the owner to offer to. When there is none, the store is not
// asked again for each fresh sample.
func (o *offerer) owner(ctx context.Context, all bool) (ownership, bool) {
	if known, ok := (*o.service.owners.Load())[o.workspace]; ok {
		return known, true
	}
	now := o.service.clock.Now()
	if !all && now.Sub(o.failed) < offerEvery {
		return ownership{}, false
	}
	owner, err := o.service.locate(ctx, o.workspace, 0, false)
	if err != nil {
		o.failed = now
	}
	return owner, err == nil
}

// send offers a batch, and forgets the owner when it does not answer as one.
func (o *offerer) send(ctx context.Context, owner ownership, batch []step.Offer) bool {
	s := o.service
	args := &OfferArgs{Workspace: o.workspace, Offers: batch}
	var reply OfferReply
	if owner.sealer != nil {
		reply = s.takeOffers(args)
	} else {
		reply, _ = callWithin[OfferReply](ctx, s, callLimit, owner.owner.Address, "Offer", args)
	}
	if !reply.Owner || len(reply.Standings) != len(batch) {
		_ = s.losses.Post(loss{workspace: o.workspace, term: owner.term})
		return false
	}
	s.holdings.settle(reply.Term, batch, reply.Standings)
	s.holdings.forget(o.workspace, reply.FirstKept)
	return true
}

// takeOffers takes in offers as the owner of their workspace.
func (s *service) takeOffers(args *OfferArgs) OfferReply {
	owned := (*s.owners.Load())[args.Workspace].sealer
	parameters, err := s.settings.LastKnownParameters(args.Workspace)
	if owned == nil || err != nil || owned.isClosed() {
		return OfferReply{}
	}
	standings, firstKept := owned.offer(s.clock.Now(), parameters.StalenessAge, args.Offers)
	return OfferReply{Owner: true, Term: owned.term, Standings: standings, FirstKept: firstKept}
}

// announce tells all daemons of a new owner, so that they offer their samples.
func (s *service) announce(ctx context.Context, workspace structs.WorkspaceName, found ownership) {
	args := &AnnounceArgs{Workspace: workspace, Owner: found.owner, Term: found.term}
	s.heard(args)
	calls := pool.New().WithMaxGoroutines(announceAtOnce)
	for _, daemon := range s.hosts.View().Load().Daemons {
		if daemon.Name == s.config.Host {
			continue
		}
		calls.Go(func() { _, _ = callWithin[AnnounceReply](ctx, s, callLimit, daemon.Address, "Announce", args) })
	}
	calls.Wait()
}

// heard takes in the news of an owner.
func (s *service) heard(args *AnnounceArgs) {
	_ = s.announced.Post(args.Workspace, ownership{owner: args.Owner, term: args.Term})
}
