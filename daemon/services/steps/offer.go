package steps

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/flamingobeam/flamingobeam/coord/step"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// offerBatchSize is the maximum number of offers in a call.
	offerBatchSize = 4096
	// offerInterval is the idle time after which an offerer repairs replicas,
	// repeats the offers that no owner has accepted and deletes samples that are
	// no longer needed.
	offerInterval = 10 * time.Second
	// maxConcurrentAnnouncements bounds the concurrent calls that announce an
	// owner.
	maxConcurrentAnnouncements = 32
)

// offerer offers this host's samples of one workspace to the workspace's owner.
// It runs on a goroutine of its own.
type offerer struct {
	service   *service
	workspace structs.WorkspaceName
	// samplesAdded and ownerChanged wake the goroutine.
	samplesAdded, ownerChanged chan struct{}
	// lookupFailedAt is the time of the last failed owner lookup. Only the
	// goroutine uses it.
	lookupFailedAt time.Time
}

// offererOf returns the offerer of a workspace. It starts the offerer on first
// use, unless the service is stopping.
func (s *service) offererOf(workspace structs.WorkspaceName) *offerer {
	s.offerersMu.Lock()
	defer s.offerersMu.Unlock()
	if existing, ok := s.offerers[workspace]; ok {
		return existing
	}
	o := &offerer{
		service:      s,
		workspace:    workspace,
		samplesAdded: make(chan struct{}, 1),
		ownerChanged: make(chan struct{}, 1),
	}
	if s.ctx.Err() == nil {
		s.offerers[workspace] = o
		s.offererGroup.Go(o.run)
	}
	return o
}

// notifySamplesAdded makes the offerer offer the unoffered samples. It never
// blocks.
func (o *offerer) notifySamplesAdded() { signal(o.samplesAdded) }

// notifyOwnerChanged makes the offerer offer all unsealed samples that a new owner
// has not accepted. It never blocks.
func (o *offerer) notifyOwnerChanged() { signal(o.ownerChanged) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (o *offerer) run() {
	for {
		timer := o.service.clock.NewTimer(offerInterval)
		all := false
		select {
		case <-o.samplesAdded:
		case <-o.ownerChanged:
			all = true
		case <-timer.Chan():
			all = true
		case <-o.service.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		o.offerRound(o.service.ctx, all)
	}
}

// offerRound offers the unoffered samples. With all, it first repairs replicas
// and then offers all samples that the owner has not accepted, including second
// copies of samples that other hosts accepted.
func (o *offerer) offerRound(ctx context.Context, all bool) {
	s := o.service
	parameters, err := s.settings.LastKnownParameters(o.workspace)
	if err != nil || !s.sampleStore.hasWorkspace(o.workspace) {
		return
	}
	if all {
		s.repairReplicas(ctx, o.workspace)
	}
	owner, ok := o.currentOwner(ctx, all)
	if !ok {
		return
	}
	var offers []step.Offer
	if all {
		oldest := s.clock.Now().Add(-parameters.StalenessAge)
		offers = s.sampleStore.pendingOffers(o.workspace, owner.term, oldest)
	} else {
		offers = s.sampleStore.takeUnoffered(o.workspace)
	}
	o.sendOffers(ctx, owner, offers, all)
}

// sendOffers sends offers in batches. With sendEmpty, it sends one batch even
// without offers, because the reply names the steps whose samples can be deleted.
func (o *offerer) sendOffers(ctx context.Context, owner ownership, offers []step.Offer, sendEmpty bool) {
	for start := 0; start == 0 || start < len(offers); start += offerBatchSize {
		batch := offers[start:min(start+offerBatchSize, len(offers))]
		if len(batch) == 0 && !sendEmpty {
			return
		}
		if !o.sendBatch(ctx, owner, batch) {
			return
		}
	}
}

// currentOwner returns the owner to send offers to. After a failed lookup, new
// samples trigger no further one for offerInterval, to limit reads of the store.
func (o *offerer) currentOwner(ctx context.Context, all bool) (ownership, bool) {
	if known, ok := (*o.service.owners.Load())[o.workspace]; ok {
		return known, true
	}
	now := o.service.clock.Now()
	if !all && now.Sub(o.lookupFailedAt) < offerInterval {
		return ownership{}, false
	}
	owner, err := o.service.locateOwner(ctx, o.workspace, 0, false)
	if err != nil {
		o.lookupFailedAt = now
	}
	return owner, err == nil
}

// sendBatch sends a batch of offers. When the owner doesn't respond, or responds
// that it isn't the owner, it is removed from the known owners.
func (o *offerer) sendBatch(ctx context.Context, owner ownership, batch []step.Offer) bool {
	s := o.service
	args := &OfferArgs{Workspace: o.workspace, Offers: batch}
	var reply OfferReply
	if owner.sealer != nil {
		reply = s.acceptOffers(args)
	} else {
		reply, _ = callPeer[OfferReply](ctx, s, callTimeout, owner.owner.Address, "Offer", args)
	}
	if !reply.Owner || len(reply.Standings) != len(batch) {
		_ = s.ownershipLosses.Post(ownershipLoss{workspace: o.workspace, term: owner.term})
		return false
	}
	s.sampleStore.applyStatuses(reply.Term, batch, reply.Standings)
	s.sampleStore.removeExpired(o.workspace, reply.FirstKept)
	return true
}

// acceptOffers adds offers to the pool of their workspace. The reply has Owner
// unset when this daemon isn't the owner or has no settings of the workspace.
func (s *service) acceptOffers(args *OfferArgs) OfferReply {
	sl := (*s.owners.Load())[args.Workspace].sealer
	parameters, err := s.settings.LastKnownParameters(args.Workspace)
	if sl == nil || err != nil || sl.isClosed() {
		return OfferReply{}
	}
	statuses, firstKept := sl.addOffers(s.clock.Now(), parameters.StalenessAge, args.Offers)
	return OfferReply{Owner: true, Term: sl.term, Standings: statuses, FirstKept: firstKept}
}

// announceOwner announces a new owner to all daemons, which then send it their
// offers.
func (s *service) announceOwner(ctx context.Context, workspace structs.WorkspaceName, newOwner ownership) {
	args := &AnnounceArgs{Workspace: workspace, Owner: newOwner.owner, Term: newOwner.term}
	s.postAnnouncement(args)
	calls := pool.New().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, daemon := range s.hosts.View().Load().Daemons {
		if daemon.Name == s.config.Host {
			continue
		}
		calls.Go(func() { _, _ = callPeer[AnnounceReply](ctx, s, callTimeout, daemon.Address, "Announce", args) })
	}
	calls.Wait()
}

// postAnnouncement posts an announced owner to the control goroutine.
func (s *service) postAnnouncement(args *AnnounceArgs) {
	_ = s.announcements.Post(args.Workspace, ownership{owner: args.Owner, term: args.Term})
}
