package balance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/limit"
	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/retry"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
)

const (
	eventCapacity = 8192
	replyCapacity = 1024
	// publishDelay gathers changes into one publication.
	publishDelay = 10 * time.Millisecond
	// refusedFor is how long a server that refused new work is passed over
	// while others have room, so that the view of the hosts can follow.
	refusedFor = time.Second
	// adaptEvery is the window over which limits are found.
	adaptEvery = 250 * time.Millisecond
)

// eventKind says what a traffic goroutine learned.
type eventKind uint8

const (
	// eventNone says nothing of the server: the caller gave up.
	eventNone eventKind = iota
	// eventAnswered means that a server that failed answers again.
	eventAnswered
	// eventUnreached means that no connection could be opened.
	eventUnreached
	// eventSlow means that the server refused, or did not answer in time.
	eventSlow
	// eventRefused means that the server takes no new work, for the first time
	// within refusedFor.
	eventRefused
	// eventBroke means that the connection broke during the request.
	eventBroke
	// eventCleared means that a suspect request was answered.
	eventCleared
	// eventVersion means that the server reported another weight version.
	eventVersion
)

// event is what a traffic goroutine tells the control goroutine.
type event struct {
	server structs.HostName
	kind   eventKind
	print  quarantine.Fingerprint
}

// control is the state of the control goroutine, and the mailboxes to it.
type control struct {
	events  *kernel.Mailbox[event]
	changes *kernel.Mailbox[kernel.AsyncResult[*contract.HostView]]
	loads   *kernel.Mailbox[kernel.AsyncResult[loadReport]]
	probes  *kernel.Mailbox[kernel.AsyncResult[probeResult]]
	notices *kernel.Mailbox[Notice]
	told    *kernel.Mailbox[kernel.AsyncResult[tellResult]]
	active  *kernel.CoalescingMailbox[struct{}, struct{}]
	// isActive is set while the timers of limits and load reports run.
	isActive atomic.Bool

	// The fields below belong to the control goroutine.
	hosts   *contract.HostView
	records map[structs.HostName]*record
	// absent are the records of servers that are not listed now.
	absent   map[structs.HostName]*record
	services map[structs.ServiceName]*serviceRecord
	// engines are those of the own zone, which are asked for their loads.
	engines  []*record
	book     *quarantine.Tracker
	requests quarantine.View
	breaks   *quarantine.UnconfirmedCrashes
	outgoing Notice
	sending  bool
	joined   bool
	pending  bool
	expiring bool
	polling  bool
	polled   int
}

// record is a backend server as the control goroutine knows it.
type record struct {
	server   structs.BackendServer
	place    *place
	adaptive limit.AdaptiveLimit
	health   retry.Health
	timer    *kernel.Timer
	// absent is when the server was last missed in the list, or zero.
	absent time.Time
}

// prepare sets up the state before the control loop runs.
func (s *service) prepare() {
	s.snapshot = kernel.NewSnapshot(&snapshot{})
	s.undecided = newUndecided()
	s.control.records = make(map[structs.HostName]*record)
	s.control.absent = make(map[structs.HostName]*record)
	s.control.services = make(map[structs.ServiceName]*serviceRecord)
	s.control.hosts = &contract.HostView{}
	s.control.book = quarantine.NewTracker()
	s.control.breaks = quarantine.NewUnconfirmedCrashes()
	s.control.events = kernel.NewMailbox(s.loop, eventCapacity, s.onEvent)
	s.control.changes = kernel.NewMailbox(s.loop, replyCapacity, s.onHosts)
	s.control.loads = kernel.NewMailbox(s.loop, replyCapacity, s.onLoad)
	s.control.probes = kernel.NewMailbox(s.loop, replyCapacity, s.onProbe)
	s.control.notices = kernel.NewMailbox(s.loop, replyCapacity, s.onNotice)
	s.control.told = kernel.NewMailbox(s.loop, replyCapacity, s.onTold)
	s.control.active = kernel.NewCoalescingMailbox(s.loop, 1, func(struct{}, struct{}) { s.activate() })
	s.loop.AfterFunc(0, func() { s.takeHosts(s.hosts.View().Load()) })
}

// watchHosts waits on a worker for the next host view.
func (s *service) watchHosts() {
	seen := s.control.hosts
	view := s.hosts.View()
	kernel.RunAsync(s.workers, 0, s.control.changes, func(ctx context.Context) (*contract.HostView, error) {
		newest, replaced := view.Watch()
		if newest != seen {
			return newest, nil
		}
		select {
		case <-replaced:
			return view.Load(), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}

func (s *service) onHosts(reply kernel.AsyncResult[*contract.HostView]) {
	if reply.Err == nil {
		s.takeHosts(reply.Value)
	}
}

func (s *service) takeHosts(hosts *contract.HostView) {
	before := s.mates()
	s.control.hosts = hosts
	s.rebuild()
	s.publish()
	s.join()
	s.greet(before)
	// Views that come meanwhile are taken together.
	s.loop.AfterFunc(publishDelay, s.watchHosts)
}

func (s *service) onEvent(e event) {
	now := s.now()
	switch e.kind {
	case eventCleared:
		if s.control.book.RecordAnswer(now, e.print) {
			s.outgoing().Cleared = append(s.outgoing().Cleared, e.print)
			s.requestsChanged()
		}
		return
	case eventBroke:
		if s.control.breaks.AddSuspect(now, e.server, e.print) {
			s.probeServer(e.server, 1)
		}
	}
	r, ok := s.control.records[e.server]
	if !ok {
		return
	}
	switch e.kind {
	case eventAnswered:
		r.health.RecordSuccess()
	case eventVersion:
		s.changed()
	case eventRefused:
		s.loop.AfterFunc(refusedFor, func() { r.place.refusing.Store(false) })
		s.failed(now, e.server, r)
	default:
		s.failed(now, e.server, r)
	}
}

// failed ejects a server after too many failures.
func (s *service) failed(now time.Time, name structs.HostName, r *record) {
	if !r.health.RecordFailure(now, func() bool { return s.mayEject(now, r.server.Service) }) {
		return
	}
	s.log.Warnf("%s fails and gets no requests for a while.", name)
	s.metrics.Count("balance.ejections", 1)
	s.changed()
	s.follow(now, r)
}

// mayEject holds the bound on the ejected part of a service.
func (s *service) mayEject(now time.Time, service structs.ServiceName) bool {
	sr := s.control.services[service]
	if sr == nil {
		return false
	}
	ejected := 1
	for _, r := range sr.records {
		if share, _ := r.health.Share(now); share == 0 {
			ejected++
		}
	}
	return float64(ejected) <= retry.MaxEjectedFraction*float64(len(sr.records))
}

// follow publishes a server's share at each step of its return.
func (s *service) follow(now time.Time, r *record) {
	s.loop.CancelTimer(r.timer)
	r.timer = nil
	if _, next := r.health.Share(now); !next.IsZero() {
		r.timer = s.loop.AfterFunc(next.Sub(now), func() {
			s.changed()
			s.follow(s.now(), r)
		})
	}
}

// changed publishes soon, once for all changes until then.
func (s *service) changed() {
	if s.control.pending {
		return
	}
	s.control.pending = true
	s.loop.AfterFunc(publishDelay, func() {
		s.control.pending = false
		s.publish()
	})
}

// arm starts the timers of limits and load reports when there is traffic.
func (s *service) arm() {
	if s.control.isActive.Load() || s.control.isActive.Swap(true) {
		return
	}
	_ = s.control.active.Post(struct{}{}, struct{}{})
}

func (s *service) activate() {
	s.loop.AfterFunc(adaptEvery, s.adapt)
	if !s.control.polling {
		s.control.polling = true
		s.loop.AfterFunc(pollEvery, s.poll)
	}
}

// loadReport is an engine's load, and the own requests there when it was
// asked for.
type loadReport struct {
	server structs.HostName
	own    int32
	load   outside.LoadReport
}
