// Package session is the service "store.session": a lease in the platform's
// store that keeps this daemon's keys, the list of the live daemons, and the
// choice of the one that gives orders.
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
	// prefix is that of the sessions' keys and memberPrefix of the daemons'.
	prefix       = "flamingobeam/session/"
	memberPrefix = prefix + "member/"
	leaderKey    = prefix + "leader"
	// urgentLease is the time to live of the session of a daemon that others wait
	// for when it dies: an owner of batch jobs, the leader, a source of news. Idle
	// daemons, most of a large deployment, cost less with idleLease.
	urgentLease = 2 * time.Second
	idleLease   = 10 * time.Second
	// urgentRenewal and idleRenewal are how often a lease is renewed: about three
	// times within it.
	urgentRenewal = 650 * time.Millisecond
	idleRenewal   = 3 * time.Second
	// calmFor is how long a daemon must be idle before its lease gets longer, as
	// the next batch job is likely to come soon after the last.
	calmFor = 20 * time.Second
	// candidateAfter is how long the others wait for the first candidate before
	// they try to lead themselves.
	candidateAfter = 1500 * time.Millisecond
	// leaderName picks the first candidate.
	leaderName = "leader"
	// retryEvery is the pause before a failed renewal is made again.
	retryEvery = 300 * time.Millisecond
	// absence is how long a daemon must be missing from the list, with the
	// store at hand, before its work is taken over: a daemon whose lease lapsed
	// with the store needs that long to come back.
	absence = 2500 * time.Millisecond
	// stopWithin bounds the end of the lease at a planned stop.
	stopWithin = 500 * time.Millisecond
)

// pace lets the keys of daemons that start together gather.
var pace = contract.WatchOptions{PollTimeout: 2 * time.Second, BatchDelay: 100 * time.Millisecond}

type service struct {
	kernel.Base
	ledger  contract.TransactionalStore
	loop    *kernel.Loop
	workers *kernel.Workers
	log     *logrus.Entry
	view    *kernel.Snapshot[contract.SessionView]
	zone    structs.ZoneName
	replies *kernel.Mailbox[kernel.AsyncResult[renewal]]
	calls   *kernel.LoopExecutor

	// What follows belongs to the control goroutine.
	records map[string]outside.Record
	lease   outside.LeaseID
	// isUrgent is set while the lease is a short one, and wantsUrgent while it
	// should be; calmSince is when that ended.
	isUrgent    bool
	wantsUrgent bool
	calmSince   time.Time
	// hasJobs is set while this daemon owns open batch jobs.
	hasJobs bool
	// leaderless is since when there is no leader, or zero.
	leaderless time.Time
	timer      *kernel.Timer
	// busy is set while a call is under way, and stopping at a planned stop.
	busy     bool
	stopping bool
	// runsUntil is when the lease may end at the earliest, since boot.
	runsUntil atomic.Int64
}

var _ contract.Session = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	if s.ledger, err = kernel.Find[contract.TransactionalStore](ctx, contract.NameTransactionalStore); err != nil {
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
	s.replies = kernel.NewMailbox(s.loop, 1, s.renewed)
	s.ledger.WatchPrefix(prefix, pace, s.take)
	s.calls = kernel.NewLoopExecutor(s.loop)
	s.renewAfter(0)
	return nil
}

// View implements contract.Session.
func (s *service) View() *kernel.Snapshot[contract.SessionView] { return s.view }

// HoldsLease implements contract.Session.
func (s *service) HoldsLease() bool { return boottime.Now() < time.Duration(s.runsUntil.Load()) }

// KeyOf implements contract.Session.
func (s *service) KeyOf(name string) string { return memberPrefix + name }

// IsSuccessorOf implements contract.Session.
func (s *service) IsSuccessorOf(name string) bool {
	self := s.view.Load().Self.Name
	return name != self && contract.SameHost(name, self)
}

// SetOwnsJobs implements contract.Session.
func (s *service) SetOwnsJobs(owns bool) {
	if s.hasJobs != owns {
		s.hasJobs = owns
		s.weigh()
	}
}

// weigh decides how short the lease should be.
func (s *service) weigh() {
	view := s.view.Load()
	self := view.Self.Name
	isUrgent := s.hasJobs || view.Leader == self || isSource(view)
	if s.wantsUrgent && !isUrgent {
		s.calmSince = s.loop.Now()
	}
	s.wantsUrgent = isUrgent
	if isUrgent && !s.isUrgent && s.lease != 0 {
		s.renewAfter(0)
	}
}

// keeping is what a renewal has to do.
type keeping struct {
	lease outside.LeaseID
	self  contract.Member
	// isUrgent asks for a short lease, and isNew for another one than before.
	isUrgent bool
	isNew    bool
	// isMissing is set when the daemon's key must be written, and leads when it is
	// to try to lead.
	isMissing bool
	leads     bool
	// earlier are the keys of earlier runs on this host.
	earlier []string
}

// renewal is the outcome of keeping the session alive.
type renewal struct {
	lease     outside.LeaseID
	isUrgent  bool
	runsUntil time.Duration
}

// renewAfter sets the time of the next renewal.
func (s *service) renewAfter(wait time.Duration) {
	s.loop.CancelTimer(s.timer)
	s.timer = s.loop.AfterFunc(wait, s.renew)
}

// renew keeps the lease and writes the keys that are missing, on a worker.
func (s *service) renew() {
	if s.busy || s.stopping {
		return
	}
	s.busy = true
	self := s.view.Load().Self
	k := keeping{lease: s.lease, self: self, isUrgent: s.isUrgent}
	isCalm := !s.wantsUrgent && s.loop.Now().Sub(s.calmSince) > calmFor
	if s.lease == 0 || s.wantsUrgent != s.isUrgent && (s.wantsUrgent || isCalm) {
		k.isNew, k.isUrgent = true, s.wantsUrgent
	}
	k.isMissing = k.isNew || s.isMissing(memberPrefix+self.Name)
	k.leads = s.lease != 0 && !k.isMissing && s.isMissing(leaderKey) && s.isCandidate()
	for key := range s.records {
		if name, ok := strings.CutPrefix(key, memberPrefix); ok && s.IsSuccessorOf(name) {
			k.earlier = append(k.earlier, key)
		}
	}
	kernel.RunAsync(s.workers, 0, s.replies, func(ctx context.Context) (renewal, error) { return s.keep(ctx, k) })
}

func (s *service) isMissing(key string) bool {
	_, ok := s.records[key]
	return !ok
}

// isCandidate reports whether this daemon should try to lead: one that all agree
// on at once, the others if that one does not.
func (s *service) isCandidate() bool {
	view := s.view.Load()
	if batch.RendezvousPick(leaderName, slices.Collect(maps.Keys(view.Live))) == view.Self.Name {
		return true
	}
	return !s.leaderless.IsZero() && s.loop.Now().Sub(s.leaderless) > candidateAfter
}

func (s *service) keep(ctx context.Context, k keeping) (renewal, error) {
	asked := boottime.Now()
	kept := renewal{lease: k.lease, isUrgent: k.isUrgent}
	ttl := idleLease
	if k.isUrgent {
		ttl = urgentLease
	}
	var err error
	if k.isNew {
		kept.lease, ttl, err = s.ledger.Grant(ctx, ttl)
	} else {
		err = s.ledger.KeepAlive(ctx, k.lease)
	}
	if err != nil {
		return renewal{}, err
	}
	kept.runsUntil = asked + ttl
	switch {
	case k.isMissing:
		// Only this daemon writes its key. Those of earlier runs on the host would
		// stand until their leases end.
		err = s.announce(ctx, outside.Transaction{Removals: k.earlier}, memberPrefix+k.self.Name, kept.lease, k.self)
	case k.leads:
		absent := outside.Transaction{Conditions: []outside.Condition{{Key: leaderKey}}}
		err = s.announce(ctx, absent, leaderKey, kept.lease, k.self)
	}
	return kept, err
}

// announce writes a key of the session. Whoever holds it if there is one already,
// the watch will tell.
func (s *service) announce(ctx context.Context, transaction outside.Transaction, key string, lease outside.LeaseID, self contract.Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return errors.WithStack(err)
	}
	transaction.Writes = []outside.Write{{Key: key, Value: value, Lease: lease}}
	_, err = s.ledger.Commit(ctx, transaction)
	if errors.Is(err, outside.ErrConflict) {
		return nil
	}
	return err
}

// renewed takes in the outcome on the control goroutine.
func (s *service) renewed(reply kernel.AsyncResult[renewal]) {
	s.busy = false
	if kept := reply.Value; kept.lease != 0 {
		if s.lease != kept.lease {
			s.log.WithField("lease", kept.lease).WithField("urgent", kept.isUrgent).Info("The session's lease is granted.")
		}
		s.lease, s.isUrgent = kept.lease, kept.isUrgent
		s.runsUntil.Store(int64(kept.runsUntil))
	}
	next := idleRenewal
	if s.isUrgent || s.wantsUrgent {
		next = urgentRenewal
	}
	switch {
	case errors.Is(reply.Err, outside.ErrLeaseLost):
		s.log.WithField("lease", s.lease).Warn("The session's lease has ended.")
		s.lease, next = 0, 0
		s.runsUntil.Store(0)
	case reply.Err != nil:
		next = retryEvery
	case s.isMissing(leaderKey):
		next = min(next, candidateAfter)
	}
	s.renewAfter(next)
	s.publish()
}

// take applies news of the sessions on the control goroutine.
func (s *service) take(news contract.PrefixChanges) {
	if news.Full {
		clear(s.records)
	}
	for _, record := range news.Records {
		if record.Removed {
			delete(s.records, record.Key)
		} else {
			s.records[record.Key] = record
		}
	}
	if !s.isMissing(leaderKey) {
		s.leaderless = time.Time{}
	} else if s.leaderless.IsZero() {
		s.leaderless = s.loop.Now()
	}
	self := s.view.Load().Self
	// A key that was taken away while the lease runs is written again at once.
	if s.lease != 0 && !s.busy && (s.isMissing(memberPrefix+self.Name) || s.isMissing(leaderKey) && s.isCandidate()) {
		s.renewAfter(0)
	}
	s.publish()
}

// publish makes the view of the sessions known to the other services.
func (s *service) publish() {
	last := s.view.Load()
	next := &contract.SessionView{Self: last.Self, Lease: s.lease, Live: make(map[string]contract.Member)}
	for key, record := range s.records {
		var member contract.Member
		if err := json.Unmarshal(record.Value, &member); err != nil {
			s.log.WithError(err).WithField("key", key).Error("A session's key cannot be read.")
			continue
		}
		if key == leaderKey {
			next.Leader, next.FencingToken = member.Name, uint64(record.Created)
		} else {
			next.Live[member.Name] = member
		}
	}
	if since, reached := s.ledger.ReachedSince(); reached && len(s.records) > 0 {
		next.AbsenceReliableFrom = since.Add(absence)
	}
	if next.Leader != last.Leader || next.FencingToken != last.FencingToken {
		s.log.WithFields(logrus.Fields{"leader": next.Leader, "token": next.FencingToken}).Info("The leader has changed.")
	}
	if next.Lease == last.Lease && next.Leader == last.Leader && next.FencingToken == last.FencingToken &&
		next.AbsenceReliableFrom.Equal(last.AbsenceReliableFrom) && maps.Equal(next.Live, last.Live) {
		return
	}
	s.view.Publish(next)
	s.ledger.SetRelays(s.relaysOf(next))
	s.ledger.SetWatchUpstream(sourceOf(next))
	s.weigh()
}

// sourceOf is the address of the daemon that gives this one the news of the store,
// empty when it is to ask the store itself. In each zone the first daemon by name
// tells the others; the first of all asks the store, so that the store's work grows
// neither with daemons nor with zones. A daemon that is not live asks for itself.
func sourceOf(view *contract.SessionView) string {
	self := view.Self
	if _, isLive := view.Live[self.Name]; !isLive {
		return ""
	}
	ofZone, ofAll := self, self
	for _, member := range view.Live {
		if member.Zone == self.Zone && member.Name < ofZone.Name {
			ofZone = member
		}
		if member.Name < ofAll.Name {
			ofAll = member
		}
	}
	switch self.Name {
	case ofAll.Name:
		return ""
	case ofZone.Name:
		return ofAll.RPCAddress
	}
	return ofZone.RPCAddress
}

// isSource reports whether others follow this daemon.
func isSource(view *contract.SessionView) bool {
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

// relaysOf lists the other daemons, those of the own zone first.
func (s *service) relaysOf(view *contract.SessionView) []string {
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

// Stop implements kernel.Service. It ends the lease, so that others need not
// wait for its lapse.
func (s *service) Stop(ctx context.Context) error {
	var lease outside.LeaseID
	err := s.calls.Do(ctx, func() {
		s.stopping = true
		lease = s.lease
	})
	if err != nil || lease == 0 {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, stopWithin)
	defer cancel()
	if err := s.ledger.Revoke(bounded, lease); err != nil {
		s.log.WithError(err).Info("The session's lease is left to lapse.")
	}
	return nil
}
