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
	"sync/atomic"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/membership"

	"github.com/sirupsen/logrus"

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
	// revokeTimeout bounds the revocation of the lease, within the time that a planned stop
	// has left.
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
	// mayNotLead is set while this daemon cannot do the work of the leader.
	mayNotLead bool
	// yieldsUntil is the time until which this daemon leaves the leadership to others.
	yieldsUntil time.Time
	// resignedToken is the token with which this daemon resigned last. A renewal that
	// began before does not bring it back.
	resignedToken uint64
	// resignedAt is when it was given up.
	resignedAt time.Time
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
		RPCAddress: daemon.Listen.Peers, RelayAddress: daemon.Listen.Relay, RelaysOnce: daemon.Listen.Relay != "", SharesRuns: true,
		Zone:     daemon.Place.Zone,
		Strength: daemon.Platform.Strength,
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
	return name != self && membership.SameHost(name, self)
}

// SetOwnsJobs implements contract.Session.
func (s *service) SetOwnsJobs(owns bool) {
	if s.ownsJobs != owns {
		s.ownsJobs = owns
		s.updateLeaseTTL()
	}
}

// hasOwnKey reports whether the store has this daemon's key as it should be.
func (s *service) hasOwnKey(self membership.Member) bool {
	record, ok := s.records[memberPrefix+self.Name]
	var stored membership.Member
	return ok && json.Unmarshal(record.Value, &stored) == nil && stored.IsStopping == self.IsStopping
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

// Drain implements kernel.Drainer. It lets the other daemons know that this one is about
// to stop, so that they hand no work over to it, and hands the leadership on.
func (s *service) Drain(ctx context.Context) error {
	return s.loopExecutor.Do(ctx, func() {
		next := *s.view.Load()
		next.Self.IsStopping = true
		s.view.Publish(&next)
		s.resign()
		s.scheduleRenewal(0)
	})
}

// Stop implements kernel.Service. It revokes the lease, so that other daemons
// need not wait for its expiry.
func (s *service) Stop(ctx context.Context) error {
	var lease outside.LeaseID
	err := s.loopExecutor.Do(ctx, func() {
		s.isStopping = true
		s.leadership.Store(&leadership{})
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
