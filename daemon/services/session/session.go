// Package session is the service "store.session": a lease in the platform's
// store that keeps this daemon's keys, the list of the live daemons, and the
// choice of the one that gives orders.
package session

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
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
	// prefix is that of the sessions' keys and memberPrefix of the daemons'.
	prefix       = "flamingobeam/session/"
	memberPrefix = prefix + "member/"
	leaderKey    = prefix + "leader"
	// leaseFor is the time to live of a session: short, since a daemon's batch
	// jobs wait that long for another owner when it dies.
	leaseFor = 2 * time.Second
	// renewEvery is how often the lease is renewed: about three times within
	// it.
	renewEvery = 650 * time.Millisecond
	// retryEvery is the pause before a failed renewal is made again.
	retryEvery = 300 * time.Millisecond
	// absence is how long a daemon must be missing from the list, with the
	// store at hand, before its work is taken over: a daemon whose lease lapsed
	// with the store needs that long to come back.
	absence = 2500 * time.Millisecond
	// stopWithin bounds the end of the lease at a planned stop.
	stopWithin = 500 * time.Millisecond
)

// pace hears of a daemon that went at once.
var pace = contract.WatchPace{Wait: 2 * time.Second}

type service struct {
	kernel.Base
	ledger  contract.Ledger
	loop    *kernel.Loop
	workers *kernel.Workers
	log     *logrus.Entry
	view    *kernel.Snapshot[contract.SessionView]
	zone    structs.ZoneName
	replies *kernel.Mailbox[kernel.Reply[renewal]]
	calls   *kernel.Calls

	records map[string]outside.Record
	lease   outside.LeaseID
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
	if s.ledger, err = kernel.Find[contract.Ledger](ctx, contract.NameLedger); err != nil {
		return err
	}
	s.loop, s.workers, s.log = ctx.Loop(), ctx.Workers(), ctx.Log()
	s.records = make(map[string]outside.Record)
	s.view = kernel.NewSnapshot(&contract.SessionView{Self: contract.Member{
		Name:     fmt.Sprintf("%s.%x", daemon.Host, time.Now().UnixNano()),
		Peers:    daemon.Listen.Peers,
		Zone:     daemon.Place.Zone,
		Strength: daemon.Fleet.Strength,
	}})
	s.zone = daemon.Place.Zone
	s.replies = kernel.NewMailbox(s.loop, 1, s.renewed)
	s.ledger.Track(prefix, pace, s.take)
	s.calls = kernel.NewCalls(s.loop)
	s.loop.After(0, s.renew)
	return nil
}

// View implements contract.Session.
func (s *service) View() *kernel.Snapshot[contract.SessionView] { return s.view }

// Holds implements contract.Session.
func (s *service) Holds() bool { return boottime.Now() < time.Duration(s.runsUntil.Load()) }

// KeyOf implements contract.Session.
func (s *service) KeyOf(name string) string { return memberPrefix + name }

// Succeeds implements contract.Session.
func (s *service) Succeeds(name string) bool {
	self := s.view.Load().Self.Name
	return name != self && contract.SameHost(name, self)
}

// renewal is the outcome of keeping the session alive.
type renewal struct {
	lease     outside.LeaseID
	runsUntil time.Duration
}

// renew keeps the lease and writes the keys that are missing, on a worker.
func (s *service) renew() {
	if s.busy || s.stopping {
		return
	}
	s.busy = true
	lease, self := s.lease, s.view.Load().Self
	missing := lease == 0 || s.isMissing(memberPrefix+self.Name)
	leaderless := lease != 0 && !missing && s.isMissing(leaderKey)
	kernel.Async(s.workers, 0, s.replies, func(ctx context.Context) (renewal, error) {
		return s.keep(ctx, lease, self, missing, leaderless)
	})
}

func (s *service) isMissing(key string) bool {
	_, ok := s.records[key]
	return !ok
}

func (s *service) keep(ctx context.Context, lease outside.LeaseID, self contract.Member, missing, leaderless bool) (renewal, error) {
	asked := boottime.Now()
	ttl := leaseFor
	var err error
	if lease == 0 {
		lease, ttl, err = s.ledger.Grant(ctx, leaseFor)
	} else {
		err = s.ledger.KeepAlive(ctx, lease)
	}
	if err != nil {
		return renewal{}, err
	}
	kept := renewal{lease: lease, runsUntil: asked + ttl}
	if missing {
		err = s.announce(ctx, memberPrefix+self.Name, lease, self)
	} else if leaderless {
		err = s.announce(ctx, leaderKey, lease, self)
	}
	return kept, err
}

// announce writes a key of the session unless there is one. Whoever holds it,
// the watch will tell.
func (s *service) announce(ctx context.Context, key string, lease outside.LeaseID, self contract.Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = s.ledger.Commit(ctx, outside.Transaction{
		Conditions: []outside.Condition{{Key: key}},
		Writes:     []outside.Write{{Key: key, Value: value, Lease: lease}},
	})
	if errors.Is(err, outside.ErrConflict) {
		return nil
	}
	return err
}

// renewed takes in the outcome on the control goroutine.
func (s *service) renewed(reply kernel.Reply[renewal]) {
	s.busy = false
	next := renewEvery
	if reply.Value.lease != 0 {
		if s.lease == 0 {
			s.log.WithField("lease", reply.Value.lease).Info("The session's lease is granted.")
		}
		s.lease = reply.Value.lease
		s.runsUntil.Store(int64(reply.Value.runsUntil))
	}
	switch {
	case errors.Is(reply.Err, outside.ErrLeaseLost):
		s.log.WithField("lease", s.lease).Warn("The session's lease has ended.")
		s.lease, next = 0, 0
		s.runsUntil.Store(0)
	case reply.Err != nil:
		next = retryEvery
	}
	s.loop.After(next, s.renew)
	s.publish()
}

// take applies news of the sessions on the control goroutine.
func (s *service) take(news contract.News) {
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
	self := s.view.Load().Self
	// A key that was taken away while the lease runs is written again at once.
	if s.lease != 0 && (s.isMissing(memberPrefix+self.Name) || s.isMissing(leaderKey)) {
		s.loop.After(0, s.renew)
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
			next.Leader, next.Token = member.Name, uint64(record.Created)
		} else {
			next.Live[member.Name] = member
		}
	}
	if since, reached := s.ledger.ReachedSince(); reached && len(s.records) > 0 {
		next.Settled = since.Add(absence)
	}
	if next.Leader != last.Leader || next.Token != last.Token {
		s.log.WithFields(logrus.Fields{"leader": next.Leader, "token": next.Token}).Info("The leader has changed.")
	}
	if next.Lease == last.Lease && next.Leader == last.Leader && next.Token == last.Token &&
		next.Settled.Equal(last.Settled) && maps.Equal(next.Live, last.Live) {
		return
	}
	s.view.Publish(next)
	s.ledger.SetRelays(s.relaysOf(next))
	s.ledger.SetSource(sourceOf(next))
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
		return ofAll.Peers
	}
	return ofZone.Peers
}

// relaysOf lists the other daemons, those of the own zone first.
func (s *service) relaysOf(view *contract.SessionView) []string {
	var near, far []string
	for name, member := range view.Live {
		switch {
		case name == view.Self.Name:
		case member.Zone == s.zone:
			near = append(near, member.Peers)
		default:
			far = append(far, member.Peers)
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
