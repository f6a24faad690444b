// Package session implements the service "store.session". It keeps a lease in
// the platform's store to which this daemon's keys are attached, lists the live
// daemons and takes part in the election of the leader.
package session

import (
	"context"
	"encoding/json"
	"fmt"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"maps"
	"math/rand/v2"
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
	// owner of batch jobs, the leader or a watch upstream. A daemon that may get
	// batch jobs has mediumLeaseTTL. All others are most of a large deployment:
	// longLeaseTTL lowers the cost of their renewals and is longer than most
	// outages of the store, after which they would have to register again.
	shortLeaseTTL  = 2 * time.Second
	mediumLeaseTTL = 10 * time.Second
	longLeaseTTL   = 30 * time.Second
	// renewalsPerTTL is how many times a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// longerLeaseDelay is how long a shorter TTL must not have been needed before
	// the daemon changes to a longer one, as the next batch job often follows soon
	// after the last.
	longerLeaseDelay = 20 * time.Second
	// candidateDelay is how long there must be no leader before daemons other
	// than the preferred candidate try to lead.
	candidateDelay = 1500 * time.Millisecond
	// candidateElection is the rendezvous hashing key that selects the
	// preferred candidate.
	candidateElection = "leader"
	// renewalRetryDelay is the delay before a failed renewal is retried. A
	// daemon with a longer lease waits up to idleRetryDelay, so that the retries of
	// all daemons do not load a store that is in trouble.
	renewalRetryDelay = 300 * time.Millisecond
	idleRetryDelay    = 2 * time.Second
	// absenceGrace is how long the store must have been reachable before the
	// absence of a daemon from the list counts as a failure. A daemon whose
	// lease expired during an outage of the store needs that long to register
	// again.
	absenceGrace = 2500 * time.Millisecond
	// revokeTimeout bounds the revocation of the lease at a planned stop.
	revokeTimeout = 500 * time.Millisecond
)

// watchOptions batches the changes of daemons that start at the same time.
var watchOptions = contract.WatchOptions{PollTimeout: 2 * time.Second, BatchDelay: 100 * time.Millisecond, ListsUpstreams: true}

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
	// leaseTTL is the TTL of the current lease, and wantedTTL the one that it
	// should have. longerSince is when wantedTTL last became longer.
	leaseTTL    time.Duration
	wantedTTL   time.Duration
	longerSince time.Time
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
	// leadership is published by the control goroutine.
	leadership atomic.Pointer[leadership]
}

// leadership is what this daemon has from its own writes of the leader's key. It
// does not depend on the watch, which may lag behind the loss of the key.
type leadership struct {
	// token is the revision at which this daemon created the key; zero while it
	// does not lead.
	token uint64
	// lease is the lease to which the key is attached, and revision the revision
	// of its last write.
	lease    outside.LeaseID
	revision outside.Revision
	// validUntil is the earliest possible expiry of that lease, as a time since
	// boot.
	validUntil time.Duration
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
	s.leadership.Store(&leadership{})
	s.records, s.wantedTTL = make(map[string]outside.Record), longLeaseTTL
	s.view = kernel.NewSnapshot(&contract.SessionView{Self: membership.Member{
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

// Leadership implements contract.Session.
func (s *service) Leadership() (uint64, bool) {
	held := s.leadership.Load()
	return held.token, held.token != 0 && boottime.Now() < held.validUntil
}

// KeyOf implements contract.Session.
func (s *service) KeyOf(name string) string { return memberPrefix + name }

// IsSuccessorOf implements contract.Session.
func (s *service) IsSuccessorOf(name string) bool {
	self := s.view.Load().Self.Name
	return name != self && membership.SameHost(name, self)
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
	wanted := longLeaseTTL
	switch {
	case s.ownsJobs || view.Leader == self || membership.IsUpstream(view.Self, view.Live):
		wanted = shortLeaseTTL
	case membership.JobHosts(view.Live)[self]:
		wanted = mediumLeaseTTL
	}
	if wanted > s.wantedTTL {
		s.longerSince = s.loop.Now()
	}
	s.wantedTTL = wanted
	if wanted < s.leaseTTL && s.lease != 0 {
		s.scheduleRenewal(0)
	}
}

// renewalRequest describes the work of one renewal.
type renewalRequest struct {
	lease outside.LeaseID
	self  membership.Member
	// ttl is the TTL of the lease, and needsNewLease requests a new lease instead
	// of a renewal of the present one.
	ttl           time.Duration
	needsNewLease bool
	// writesMember is set when the daemon's key must be written, and
	// writesLeader when the daemon is to try to become the leader.
	writesMember bool
	writesLeader bool
	// strayLeader is the revision of a leader's key that names this daemon although
	// it does not lead, since the reply to its write was lost; zero if there is
	// none. The key is deleted, so that the next leader gets a known token.
	strayLeader outside.Revision
	// led is the leadership before the renewal. With a new lease the leader's key
	// is attached to that one.
	led leadership
	// earlierKeys are the member keys of earlier runs of the daemon on this
	// host.
	earlierKeys []string
}

// renewalResult is the result of a successful renewal.
type renewalResult struct {
	lease      outside.LeaseID
	ttl        time.Duration
	validUntil time.Duration
	// led is the leadership after the renewal.
	led leadership
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
	request := renewalRequest{lease: s.lease, self: self, ttl: s.leaseTTL, led: *s.leadership.Load()}
	mayLengthen := s.loop.Now().Sub(s.longerSince) > longerLeaseDelay
	if s.lease == 0 || s.wantedTTL < s.leaseTTL || s.wantedTTL > s.leaseTTL && mayLengthen {
		request.needsNewLease, request.ttl = true, s.wantedTTL
	}
	request.writesMember = request.needsNewLease || s.lacksKey(memberPrefix+self.Name)
	request.writesLeader = s.lease != 0 && !request.writesMember && s.lacksKey(leaderKey) && s.isCandidate()
	if key, ok := s.records[leaderKey]; ok && s.view.Load().Leader == self.Name && request.led.token == 0 {
		request.strayLeader = key.Revision
	}
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
	if batch.RendezvousPick(candidateElection, slices.Collect(maps.Keys(membership.JobHosts(view.Live)))) == view.Self.Name {
		return true
	}
	return !s.leaderlessSince.IsZero() && s.loop.Now().Sub(s.leaderlessSince) > candidateDelay
}

func (s *service) renewLease(ctx context.Context, request renewalRequest) (renewalResult, error) {
	requestedAt := boottime.Now()
	result := renewalResult{lease: request.lease, ttl: request.ttl}
	var err error
	effectiveTTL := request.ttl
	if request.needsNewLease {
		result.lease, effectiveTTL, err = s.store.Grant(ctx, request.ttl)
	} else {
		err = s.store.KeepAlive(ctx, request.lease)
	}
	if err != nil {
		return renewalResult{}, err
	}
	result.validUntil, result.led = requestedAt+effectiveTTL, request.led
	switch {
	case request.writesMember:
		err = s.writeMember(ctx, request, &result)
	case request.writesLeader:
		err = s.writeLeader(ctx, request, &result)
	case request.strayLeader != 0:
		err = s.deleteStrayLeader(ctx, request.strayLeader)
	}
	if result.led.lease != result.lease {
		result.led = leadership{}
	}
	result.led.validUntil = result.validUntil
	return result, err
}

// writeMember writes the daemon's own key, which no other daemon writes. The keys
// of earlier runs on this host are deleted, as they would otherwise remain until
// their leases expire. The leader's key moves to the same lease, which keeps its
// fencing token; if it has changed, the daemon leads no longer.
func (s *service) writeMember(ctx context.Context, request renewalRequest, result *renewalResult) error {
	value, err := json.Marshal(request.self)
	if err != nil {
		return errors.WithStack(err)
	}
	transaction := outside.Transaction{
		Writes:   []outside.Write{{Key: memberPrefix + request.self.Name, Value: value, Lease: result.lease}},
		Removals: request.earlierKeys,
	}
	if request.led.token != 0 {
		moving := transaction
		moving.Conditions = []outside.Condition{{Key: leaderKey, Revision: request.led.revision}}
		moving.Writes = append(slices.Clone(moving.Writes), outside.Write{Key: leaderKey, Value: value, Lease: result.lease})
		revision, err := s.store.Commit(ctx, moving)
		if err == nil {
			result.led.lease, result.led.revision = result.lease, revision
		}
		if !errors.Is(err, outside.ErrConflict) {
			return err
		}
		result.led = leadership{}
	}
	_, err = s.store.Commit(ctx, transaction)
	return err
}

// writeLeader makes this daemon the leader if there is none. A conflict is not an
// error: the watch reports the leader.
func (s *service) writeLeader(ctx context.Context, request renewalRequest, result *renewalResult) error {
	value, err := json.Marshal(request.self)
	if err != nil {
		return errors.WithStack(err)
	}
	revision, err := s.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: leaderKey}},
		Writes:     []outside.Write{{Key: leaderKey, Value: value, Lease: result.lease}},
	})
	switch {
	case err == nil:
		result.led = leadership{token: uint64(revision), lease: result.lease, revision: revision}
	case errors.Is(err, outside.ErrConflict):
		err = nil
	}
	return err
}

func (s *service) deleteStrayLeader(ctx context.Context, revision outside.Revision) error {
	s.log.WithField("revision", revision).Info("Deleting a leader key whose lease is unknown.")
	_, err := s.store.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: leaderKey, Revision: revision}}, Removals: []string{leaderKey},
	})
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
			s.log.WithField("lease", renewed.lease).WithField("urgent", renewed.ttl == shortLeaseTTL).WithField("ttl", renewed.ttl.String()).Info("Session lease granted.")
		}
		s.lease, s.leaseTTL = renewed.lease, renewed.ttl
		led := renewed.led
		s.leadership.Store(&led)
		s.leaseValidUntil.Store(int64(renewed.validUntil))
	}
	delay := min(s.leaseTTL, s.wantedTTL) / renewalsPerTTL
	switch {
	case errors.Is(reply.Err, outside.ErrLeaseLost):
		s.log.WithField("lease", s.lease).Warn("Session lease lost.")
		s.lease, delay = 0, 0
		s.leaseValidUntil.Store(0)
		s.leadership.Store(&leadership{})
	case reply.Err != nil && (s.lease == 0 || s.leaseTTL == shortLeaseTTL):
		delay = renewalRetryDelay
	case reply.Err != nil:
		delay = idleRetryDelay/2 + rand.N(idleRetryDelay/2)
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
	next := &contract.SessionView{Self: last.Self, Lease: s.lease}
	var members []membership.Member
	for key, record := range s.records {
		var member membership.Member
		if err := json.Unmarshal(record.Value, &member); err != nil {
			s.log.WithError(err).WithField("key", key).Error("Could not decode a session key.")
			continue
		}
		if key == leaderKey {
			next.Leader, next.FencingToken = member.Name, uint64(record.Created)
		} else {
			members = append(members, member)
		}
	}
	next.Live = membership.Newest(members)
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
	s.updateUpstreams(next)
	s.updateLeaseTTL()
}

// updateUpstreams sets the daemons from which this one gets the changes of the
// store. While none is listed, as when all start or all leases have expired, it
// keeps those that it has rather than read the store itself.
func (s *service) updateUpstreams(view *contract.SessionView) {
	if len(view.Live) > 0 {
		s.store.SetWatchUpstreams(membership.Upstreams(view.Self, view.Live))
	}
}

// relayAddresses returns the addresses of the other daemons: first those that
// read the store for others, whose leases are short, then those of this zone.
func (s *service) relayAddresses(view *contract.SessionView) []string {
	upstreams := membership.Upstreams(view.Self, view.Live)
	var near, far []string
	for name, member := range view.Live {
		switch {
		case name == view.Self.Name || slices.Contains(upstreams, member.RPCAddress):
		case member.Zone == s.zone:
			near = append(near, member.RPCAddress)
		default:
			far = append(far, member.RPCAddress)
		}
	}
	return slices.Concat(upstreams, near, far)
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
