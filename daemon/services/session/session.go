// Package session implements the service "store.session". It keeps a lease in
// the platform's store to which this daemon's keys are attached, lists the live
// daemons and takes part in the election of the leader.
package session

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/boottime"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

func init() {
	kernel.Register(contract.NameSession, func() kernel.Service { return &service{} })
}

const (
	// sessionPrefix is the prefix of all session keys, and memberPrefix that of
	// the keys of the daemons.
	sessionPrefix = "flamingobeam/session/"
	memberPrefix  = sessionPrefix + "member/"
	leaderKey     = sessionPrefix + "leader"
	// shortLeaseTTL is the lease TTL of a daemon whose failure blocks others: an
	// owner of batch jobs, the leader or a watch upstream. Idle daemons are most
	// of a large deployment, and longLeaseTTL lowers the cost of their renewals.
	shortLeaseTTL = 2 * time.Second
	longLeaseTTL  = 10 * time.Second
	// shortLeaseRenewal and longLeaseRenewal are the renewal intervals, about a
	// third of the respective TTL.
	shortLeaseRenewal = 650 * time.Millisecond
	longLeaseRenewal  = 3 * time.Second
	// longLeaseDelay is how long a daemon must be idle before it changes to the
	// long TTL, as the next batch job often follows soon after the last.
	longLeaseDelay = 20 * time.Second
	// candidateDelay is how long there must be no leader before daemons other
	// than the preferred candidate try to lead.
	candidateDelay = 1500 * time.Millisecond
	// candidateElection is the rendezvous hashing key that selects the
	// preferred candidate.
	candidateElection = "leader"
	// renewalRetryDelay is the delay before a failed renewal is retried.
	renewalRetryDelay = 300 * time.Millisecond
	// absenceGrace is how long the store must have been reachable before the
	// absence of a daemon from the list counts as a failure. A daemon whose
	// lease expired during an outage of the store needs that long to register
	// again.
	absenceGrace = 2500 * time.Millisecond
	// revokeTimeout bounds the revocation of the lease at a planned stop.
	revokeTimeout = 500 * time.Millisecond
)

// watchOptions batches the changes of daemons that start at the same time.
var watchOptions = contract.WatchOptions{PollTimeout: 2 * time.Second, BatchDelay: 100 * time.Millisecond}

type service struct {
	kernel.Base
	store        contract.TransactionalStore
	loop         *kernel.Loop
	workers      *kernel.Workers
	log          *logrus.Entry
	view         *kernel.Snapshot[contract.SessionView]
	zone         structs.ZoneName
	renewals     *kernel.Mailbox[kernel.AsyncResult[renewalResult]]
	loopExecutor *kernel.LoopExecutor

	// The following fields belong to the control goroutine.
	records map[string]outside.Record
	lease   outside.LeaseID
	// hasShortLease is set while the current lease has the short TTL, and
	// wantsShortLease while it should have it. idleSince is when wantsShortLease
	// was last cleared.
	hasShortLease   bool
	wantsShortLease bool
	idleSince       time.Time
	// ownsJobs is set while this daemon owns open batch jobs.
	ownsJobs bool
	// leaderlessSince is when the leader's key was found missing; zero while
	// there is a leader.
	leaderlessSince time.Time
	timer           *kernel.Timer
	// isRenewing is set while a renewal is in progress, and isStopping after a
	// planned stop has begun.
	isRenewing bool
	isStopping bool
	// leaseValidUntil is the earliest possible expiry of the lease, as a time
	// since boot.
	leaseValidUntil atomic.Int64
}

var _ contract.Session = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	if s.store, err = kernel.Find[contract.TransactionalStore](ctx, contract.NameTransactionalStore); err != nil {
		return err
	}
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.records = make(map[string]outside.Record)
	s.view = kernel.NewSnapshot(&contract.SessionView{Self: contract.Member{
		Name:       fmt.Sprintf("%s.%x", daemon.Host, time.Now().UnixNano()),
		RPCAddress: daemon.Listen.Peers,
		Zone:       daemon.Place.Zone,
		Strength:   daemon.Platform.Strength,
	}})
	s.zone = daemon.Place.Zone
	s.renewals = kernel.NewMailbox(s.loop, 1, s.handleRenewal)
	s.store.WatchPrefix(sessionPrefix, watchOptions, s.applyChanges)
	s.loopExecutor = kernel.NewLoopExecutor(s.loop)
	s.scheduleRenewal(0)
	return nil
}

// View implements contract.Session.
func (s *service) View() *kernel.Snapshot[contract.SessionView] { return s.view }

// HoldsLease implements contract.Session.
func (s *service) HoldsLease() bool { return boottime.Now() < time.Duration(s.leaseValidUntil.Load()) }

// KeyOf implements contract.Session.
func (s *service) KeyOf(name string) string { return memberPrefix + name }

// IsSuccessorOf implements contract.Session.
func (s *service) IsSuccessorOf(name string) bool {
	self := s.view.Load().Self.Name
	return name != self && contract.SameHost(name, self)
}

// SetOwnsJobs implements contract.Session.
func (s *service) SetOwnsJobs(owns bool) {
	if s.ownsJobs != owns {
		s.ownsJobs = owns
		s.updateLeaseTTL()
	}
}

// updateLeaseTTL decides which TTL the lease should have, and renews at once
// when it must become shorter.
func (s *service) updateLeaseTTL() {
	view := s.view.Load()
	self := view.Self.Name
	wantsShortLease := s.ownsJobs || view.Leader == self || isWatchUpstream(view)
	if s.wantsShortLease && !wantsShortLease {
		s.idleSince = s.loop.Now()
	}
	s.wantsShortLease = wantsShortLease
	if wantsShortLease && !s.hasShortLease && s.lease != 0 {
		s.scheduleRenewal(0)
	}
}

// renewalRequest describes the work of one renewal.
type renewalRequest struct {
	lease outside.LeaseID
	self  contract.Member
	// isShort selects the short TTL, and needsNewLease requests a new lease
	// instead of a renewal of the present one.
	isShort       bool
	needsNewLease bool
	// writesMember is set when the daemon's key must be written, and
	// writesLeader when the daemon is to try to become the leader.
	writesMember bool
	writesLeader bool
	// earlierKeys are the member keys of earlier runs of the daemon on this
	// host.
	earlierKeys []string
}

// renewalResult is the result of a successful renewal.
type renewalResult struct {
	lease      outside.LeaseID
	isShort    bool
	validUntil time.Duration
}

// scheduleRenewal replaces the timer of the next renewal.
func (s *service) scheduleRenewal(delay time.Duration) {
	s.loop.CancelTimer(s.timer)
	s.timer = s.loop.AfterFunc(delay, s.startRenewal)
}

// startRenewal starts a renewal on a worker: it renews the lease or requests a
// new one, and writes missing keys.
func (s *service) startRenewal() {
	if s.isRenewing || s.isStopping {
		return
	}
	s.isRenewing = true
	self := s.view.Load().Self
	request := renewalRequest{lease: s.lease, self: self, isShort: s.hasShortLease}
	mayUseLongLease := !s.wantsShortLease && s.loop.Now().Sub(s.idleSince) > longLeaseDelay
	if s.lease == 0 || s.wantsShortLease != s.hasShortLease && (s.wantsShortLease || mayUseLongLease) {
		request.needsNewLease, request.isShort = true, s.wantsShortLease
	}
	request.writesMember = request.needsNewLease || s.lacksKey(memberPrefix+self.Name)
	request.writesLeader = s.lease != 0 && !request.writesMember && s.lacksKey(leaderKey) && s.isCandidate()
	for key := range s.records {
		if name, ok := strings.CutPrefix(key, memberPrefix); ok && s.IsSuccessorOf(name) {
			request.earlierKeys = append(request.earlierKeys, key)
		}
	}
	kernel.RunAsync(s.workers, 0, s.renewals, func(ctx context.Context) (renewalResult, error) { return s.renewLease(ctx, request) })
}

func (s *service) lacksKey(key string) bool {
	_, ok := s.records[key]
	return !ok
}

// isCandidate reports whether this daemon should try to become the leader: at
// once if it is the preferred candidate, which all daemons compute alike, and
// after candidateDelay otherwise.
func (s *service) isCandidate() bool {
	view := s.view.Load()
	if batch.RendezvousPick(candidateElection, slices.Collect(maps.Keys(view.Live))) == view.Self.Name {
		return true
	}
	return !s.leaderlessSince.IsZero() && s.loop.Now().Sub(s.leaderlessSince) > candidateDelay
}

func (s *service) renewLease(ctx context.Context, request renewalRequest) (renewalResult, error) {
	requestedAt := boottime.Now()
	result := renewalResult{lease: request.lease, isShort: request.isShort}
	ttl := longLeaseTTL
	if request.isShort {
		ttl = shortLeaseTTL
	}
	var err error
	if request.needsNewLease {
		result.lease, ttl, err = s.store.Grant(ctx, ttl)
	} else {
		err = s.store.KeepAlive(ctx, request.lease)
	}
	if err != nil {
		return renewalResult{}, err
	}
	result.validUntil = requestedAt + ttl
	switch {
	case request.writesMember:
		// No other daemon writes this key. The keys of earlier runs on this
		// host are deleted, as they would otherwise remain until their leases
		// expire.
		err = s.writeKey(ctx, outside.Transaction{Removals: request.earlierKeys}, memberPrefix+request.self.Name, result.lease, request.self)
	case request.writesLeader:
		transaction := outside.Transaction{Conditions: []outside.Condition{{Key: leaderKey}}}
		err = s.writeKey(ctx, transaction, leaderKey, result.lease, request.self)
	}
	return result, err
}

// writeKey writes a key under the session's lease. A conflict is not an error:
// the watch reports the present holder of the key.
func (s *service) writeKey(ctx context.Context, transaction outside.Transaction, key string, lease outside.LeaseID, self contract.Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return errors.WithStack(err)
	}
	transaction.Writes = []outside.Write{{Key: key, Value: value, Lease: lease}}
	_, err = s.store.Commit(ctx, transaction)
	if errors.Is(err, outside.ErrConflict) {
		return nil
	}
	return err
}

// handleRenewal applies the result of a renewal on the control goroutine.
func (s *service) handleRenewal(reply kernel.AsyncResult[renewalResult]) {
	s.isRenewing = false
	if renewed := reply.Value; renewed.lease != 0 {
		if s.lease != renewed.lease {
			s.log.WithField("lease", renewed.lease).WithField("urgent", renewed.isShort).Info("Session lease granted.")
		}
		s.lease, s.hasShortLease = renewed.lease, renewed.isShort
		s.leaseValidUntil.Store(int64(renewed.validUntil))
	}
	delay := longLeaseRenewal
	if s.hasShortLease || s.wantsShortLease {
		delay = shortLeaseRenewal
	}
	switch {
	case errors.Is(reply.Err, outside.ErrLeaseLost):
		s.log.WithField("lease", s.lease).Warn("Session lease lost.")
		s.lease, delay = 0, 0
		s.leaseValidUntil.Store(0)
	case reply.Err != nil:
		delay = renewalRetryDelay
	case s.lacksKey(leaderKey):
		delay = min(delay, candidateDelay)
	}
	s.scheduleRenewal(delay)
	s.publishView()
}

// applyChanges applies changes of the session keys on the control goroutine.
func (s *service) applyChanges(changes contract.News) {
	if changes.Full {
		clear(s.records)
	}
	for _, record := range changes.Records {
		if record.Removed {
			delete(s.records, record.Key)
		} else {
			s.records[record.Key] = record
		}
	}
	if !s.lacksKey(leaderKey) {
		s.leaderlessSince = time.Time{}
	} else if s.leaderlessSince.IsZero() {
		s.leaderlessSince = s.loop.Now()
	}
	self := s.view.Load().Self
	// A key that was deleted while the lease is valid is written again at once.
	if s.lease != 0 && !s.isRenewing && (s.lacksKey(memberPrefix+self.Name) || s.lacksKey(leaderKey) && s.isCandidate()) {
		s.scheduleRenewal(0)
	}
	s.publishView()
}

// publishView publishes the session view if it has changed, and updates the
// relays and the watch upstream of the store client.
func (s *service) publishView() {
	last := s.view.Load()
	next := &contract.SessionView{Self: last.Self, Lease: s.lease, Live: make(map[string]contract.Member)}
	for key, record := range s.records {
		var member contract.Member
		if err := json.Unmarshal(record.Value, &member); err != nil {
			s.log.WithError(err).WithField("key", key).Error("Could not decode a session key.")
			continue
		}
		if key == leaderKey {
			next.Leader, next.FencingToken = member.Name, uint64(record.Created)
		} else {
			next.Live[member.Name] = member
		}
	}
	if since, isReached := s.store.ReachedSince(); isReached && len(s.records) > 0 {
		next.AbsenceReliableFrom = since.Add(absenceGrace)
	}
	if next.Leader != last.Leader || next.FencingToken != last.FencingToken {
		s.log.WithFields(logrus.Fields{"leader": next.Leader, "token": next.FencingToken}).Info("Leader changed.")
	}
	if next.Lease == last.Lease && next.Leader == last.Leader && next.FencingToken == last.FencingToken &&
		next.AbsenceReliableFrom.Equal(last.AbsenceReliableFrom) && maps.Equal(next.Live, last.Live) {
		return
	}
	s.view.Publish(next)
	s.store.SetRelays(s.relayAddresses(next))
	s.store.SetWatchUpstream(watchUpstreamOf(next))
	s.updateLeaseTTL()
}

// watchUpstreamOf returns the address of the daemon from which this one
// receives changes of the store, or an empty string if it watches the store
// itself. In each zone the first daemon by name serves the others, and the
// first of all daemons watches the store, so that the load of the store grows
// neither with the number of daemons nor with the number of zones. A daemon
// that is not live watches the store itself.
func watchUpstreamOf(view *contract.SessionView) string {
	self := view.Self
	if _, isLive := view.Live[self.Name]; !isLive {
		return ""
	}
	firstOfZone, firstOfAll := self, self
	for _, member := range view.Live {
		if member.Zone == self.Zone && member.Name < firstOfZone.Name {
			firstOfZone = member
		}
		if member.Name < firstOfAll.Name {
			firstOfAll = member
		}
	}
	switch self.Name {
	case firstOfAll.Name:
		return ""
	case firstOfZone.Name:
		return firstOfAll.RPCAddress
	}
	return firstOfZone.RPCAddress
}

// isWatchUpstream reports whether other daemons may receive changes of the
// store from this one.
func isWatchUpstream(view *contract.SessionView) bool {
	if _, isLive := view.Live[view.Self.Name]; !isLive {
		return false
	}
	for _, member := range view.Live {
		if member.Zone == view.Self.Zone && member.Name < view.Self.Name {
			return false
		}
	}
	return true
}

// relayAddresses returns the addresses of the other daemons, those in this
// daemon's zone first.
func (s *service) relayAddresses(view *contract.SessionView) []string {
	var near, far []string
	for name, member := range view.Live {
		switch {
		case name == view.Self.Name:
		case member.Zone == s.zone:
			near = append(near, member.RPCAddress)
		default:
			far = append(far, member.RPCAddress)
		}
	}
	return append(near, far...)
}

// Stop implements kernel.Service. It revokes the lease, so that other daemons
// need not wait for its expiry.
func (s *service) Stop(ctx context.Context) error {
	var lease outside.LeaseID
	err := s.loopExecutor.Do(ctx, func() {
		s.isStopping = true
		lease = s.lease
	})
	if err != nil || lease == 0 {
		return err
	}
	revokeCtx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := s.store.Revoke(revokeCtx, lease); err != nil {
		s.log.WithError(err).Info("Could not revoke the session lease; it will expire.")
	}
	return nil
}
