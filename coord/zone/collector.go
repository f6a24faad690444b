package zone

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Roster lists the daemons of a zone, in order.
type Roster []structs.Incarnation

// Has reports whether a member is on the roster.
func (r Roster) Has(member structs.Incarnation) bool { return slices.Contains(r, member) }

// With returns the roster with a member added; an older incarnation of the
// same host gives way to it.
func (r Roster) With(member structs.Incarnation) Roster {
	next := slices.DeleteFunc(slices.Clone(r), func(other structs.Incarnation) bool {
		return other.Host == member.Host && other.Start <= member.Start
	})
	return append(next, member)
}

// Without returns the roster with a member removed.
func (r Roster) Without(member structs.Incarnation) Roster {
	return slices.DeleteFunc(slices.Clone(r), func(other structs.Incarnation) bool { return other == member })
}

// standing is what a collector knows of a member.
type standing struct {
	followed  bool
	since     Instant
	confirmed Instant
	granted   Instant
	// heard is when the member last asked, or joined.
	heard  Instant
	staged change.Round
}

// GrantState is the newest that a collector knows of the settings.
type GrantState struct {
	Round     change.Round
	Undecided bool
	Revision  settings.Revision
}

// Collector grants leases to the daemons of a zone. It is not safe for
// concurrent use.
type Collector struct {
	self       structs.Incarnation
	term       structs.Term
	span       time.Duration
	storeUntil Instant
	roster     Roster
	proposed   Roster
	members    map[structs.Incarnation]*standing
	news       GrantState
	learned    bool
}

// NewCollector returns a collector of a term that has just begun. The span is
// T; the roster is the one in the store.
func NewCollector(self structs.Incarnation, term structs.Term, span time.Duration, roster Roster) *Collector {
	return &Collector{
		self:    self,
		term:    term,
		span:    span,
		roster:  roster,
		members: make(map[structs.Incarnation]*standing),
	}
}

// Term is the collector's fencing number.
func (c *Collector) Term() structs.Term { return c.term }

// Roster is the one that the collector goes by.
func (c *Collector) Roster() Roster { return c.roster }

// SetStoreLease says until when the lease in the store is live, counted from
// when its renewal was asked for.
func (c *Collector) SetStoreLease(until Instant) { c.storeUntil = until }

// StoreLeaseLive reports whether the lease in the store is live.
func (c *Collector) StoreLeaseLive(now Instant) bool { return now < c.storeUntil }

// SetGrantState takes the newest state of the settings, read from the store in this
// term. Before the first call the collector grants nothing: what its daemon
// knew as a follower may be older than a round that a former collector has
// acknowledged.
func (c *Collector) SetGrantState(news GrantState) { c.news, c.learned = news, true }

// SuspendGrants stops the grants until the next SetGrantState.
func (c *Collector) SuspendGrants() { c.learned = false }

// HandleRequest answers a follower. One that has not followed this term before only
// learns of the term, because until it has, a former collector may count on
// it. One of a higher term gets no grant either; the caller must then give up
// the role.
func (c *Collector) HandleRequest(now Instant, ask LeaseRequest) LeaseReply {
	reply := LeaseReply{
		Term:  c.term,
		Stamp: now,
		Cut:   !c.StoreLeaseLive(now),
	}
	if c.learned {
		reply.Round, reply.Undecided, reply.Revision = c.news.Round, c.news.Undecided, c.news.Revision
	}
	c.bury(now, ask.Member)
	if ask.Term > c.term || !c.known(ask.Member) {
		return reply
	}
	member := c.standing(ask.Member)
	member.heard = now
	member.staged = max(member.staged, ask.Staged)
	if ask.Term < c.term {
		return reply
	}
	c.confirm(member, now, ask)
	if c.learned && c.MayGrant(now) {
		reply.Granted = true
		member.granted = now + c.span
	}
	return reply
}

// bury notes that the older incarnations of a member's host have ended. They
// follow nobody any more, as if they had gone over to this term now.
func (c *Collector) bury(now Instant, member structs.Incarnation) {
	for _, other := range c.roster {
		if other.Host != member.Host || other.Start >= member.Start {
			continue
		}
		if known := c.standing(other); !known.followed {
			known.followed, known.since = true, now
		}
	}
}

// confirm records that a member follows this term.
func (c *Collector) confirm(member *standing, now Instant, ask LeaseRequest) {
	if !member.followed {
		member.followed, member.since = true, now
	}
	member.confirmed = max(member.confirmed, ask.Echo)
}

func (c *Collector) known(member structs.Incarnation) bool {
	return c.roster.Has(member) && (c.proposed == nil || c.proposed.Has(member))
}

func (c *Collector) standing(member structs.Incarnation) *standing {
	known, ok := c.members[member]
	if !ok {
		known = &standing{}
		c.members[member] = known
	}
	return known
}

// MayGrant reports whether the collector may grant now.
func (c *Collector) MayGrant(now Instant) bool {
	if c.StoreLeaseLive(now) {
		return true
	}
	return c.majority(now, c.roster) && (c.proposed == nil || c.majority(now, c.proposed))
}

func (c *Collector) majority(now Instant, roster Roster) bool {
	confirmed := 0
	for _, member := range roster {
		known := c.members[member]
		if member == c.self || known != nil && known.followed && now < known.confirmed+c.span {
			confirmed++
		}
	}
	return 2*confirmed > len(roster)
}

// PredecessorsExpired reports whether no former collector can still hold a majority or
// have a grant running.
func (c *Collector) PredecessorsExpired(now Instant) bool {
	strangers := 0
	young := false
	for _, member := range c.roster {
		known := c.members[member]
		switch {
		case known == nil || !known.followed:
			strangers++
		case now <= known.since+2*c.span:
			young = true
		}
	}
	return strangers == 0 || !young && 2*strangers <= len(c.roster)
}

// MayAcknowledge reports whether the zone may acknowledge a round: no member
// can serve a touched request until the round is decided. The store lease must
// be live, so that a successor reads the head after this decision and grants
// nothing without the round.
func (c *Collector) MayAcknowledge(now Instant, round change.Round) bool {
	if !c.learned || !c.StoreLeaseLive(now) {
		return false
	}
	strangers := 0
	for _, member := range c.roster {
		known := c.members[member]
		switch {
		case known != nil && known.staged >= round:
		case known == nil || !known.followed:
			strangers++
		case now < known.granted:
			return false
		}
	}
	return strangers == 0 || c.PredecessorsExpired(now)
}

// LastBlockingGrantEnd is when the last grant that keeps a round from being acknowledged
// runs out, or zero when none does.
func (c *Collector) LastBlockingGrantEnd(now Instant, round change.Round) Instant {
	var last Instant
	for _, member := range c.roster {
		known := c.members[member]
		if known != nil && known.staged < round && now < known.granted {
			last = max(last, known.granted)
		}
	}
	return last
}

// ProposeRoster begins a change of the roster and reports whether it may be written
// to the store now.
func (c *Collector) ProposeRoster(now Instant, roster Roster) bool {
	if c.proposed != nil || !c.StoreLeaseLive(now) || !c.PredecessorsExpired(now) {
		return false
	}
	c.proposed = roster
	return true
}

// ResolveRoster ends a proposal: the roster is the one now in the store.
func (c *Collector) ResolveRoster(now Instant, roster Roster) {
	for _, member := range roster {
		if !c.roster.Has(member) {
			c.standing(member).heard = now
		}
	}
	c.proposed = nil
	c.roster = roster
	for member := range c.members {
		if !roster.Has(member) {
			delete(c.members, member)
		}
	}
}

// UnresponsiveMembers lists the members other than the collector that have not asked for a
// span and whose grant has run out.
func (c *Collector) UnresponsiveMembers(now Instant, span time.Duration) []structs.Incarnation {
	var silent []structs.Incarnation
	for _, member := range c.roster {
		known := c.members[member]
		if member == c.self {
			continue
		}
		if known == nil || now > max(known.heard, known.granted)+span {
			silent = append(silent, member)
		}
	}
	return silent
}
