package zone

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Roster lists the daemons of a zone in the order in which they were added.
type Roster []structs.Incarnation

// Has reports whether a member is on the roster.
func (r Roster) Has(member structs.Incarnation) bool { return slices.Contains(r, member) }

// With returns the roster with a member added. The member replaces older
// incarnations of its host.
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

// memberState is a collector's state of a member of the roster. The instants are
// readings of the collector's clock.
type memberState struct {
	// followsTerm reports that the member has adopted the collector's term, or has
	// ended; followsSince is when the collector first knew.
	followsTerm  bool
	followsSince Instant
	// lastConfirmed is the stamp of the newest reply that the member echoed.
	lastConfirmed Instant
	grantEnds     Instant
	// lastRequest is when the member last sent a request, or was added.
	lastRequest Instant
	// stagedRound is the newest round that the member has staged.
	stagedRound change.Round
}

// GrantState is the newest state of the settings that a collector has read.
// Grants carry it. Undecided reports that Round has not been decided.
type GrantState struct {
	Round     change.Round
	Undecided bool
	Revision  settings.Revision
}

// Collector grants leases to the daemons of a zone. It is not safe for
// concurrent use.
type Collector struct {
	self           structs.Incarnation
	term           structs.Term
	grantDuration  time.Duration
	storeLeaseEnds Instant
	roster         Roster
	// proposedRoster is a roster whose write to the store is undecided, or nil.
	proposedRoster Roster
	members        map[structs.Incarnation]*memberState
	grantState     GrantState
	// stateLoaded reports that grantState was read in this term and grants are not
	// suspended.
	stateLoaded bool
}

// NewCollector returns a collector of a term that has just begun. The grant
// duration is T of the package's rules; the roster is the one in the store.
func NewCollector(self structs.Incarnation, term structs.Term, grantDuration time.Duration, roster Roster) *Collector {
	return &Collector{
		self:          self,
		term:          term,
		grantDuration: grantDuration,
		roster:        roster,
		members:       make(map[structs.Incarnation]*memberState),
	}
}

// Term returns the collector's fencing token.
func (c *Collector) Term() structs.Term { return c.term }

// Roster returns the roster that the collector uses.
func (c *Collector) Roster() Roster { return c.roster }

// SetStoreLease sets when the lease in the store expires. The caller must count
// its time to live from when it sent the renewal.
func (c *Collector) SetStoreLease(until Instant) { c.storeLeaseEnds = until }

// StoreLeaseLive reports whether the lease in the store is live.
func (c *Collector) StoreLeaseLive(now Instant) bool { return now < c.storeLeaseEnds }

// SetGrantState sets the newest state of the settings, which must have been read
// from the store in this term. The collector grants nothing before the first
// call: the state that its daemon had as a follower may be older than a round
// that a former collector has acknowledged.
func (c *Collector) SetGrantState(state GrantState) { c.grantState, c.stateLoaded = state, true }

// SuspendGrants stops grants and acknowledgements until the next SetGrantState.
func (c *Collector) SuspendGrants() { c.stateLoaded = false }

// HandleRequest returns the reply to a follower. A follower of a lower term gets
// the term but no grant, because a former collector may still count it in its
// majority. A follower of a higher term gets no grant either; the caller must
// then give up the role of collector.
func (c *Collector) HandleRequest(now Instant, request Ask) Reply {
	reply := Reply{
		Term:  c.term,
		Stamp: now,
		Cut:   !c.StoreLeaseLive(now),
	}
	if c.stateLoaded {
		reply.Round, reply.Undecided, reply.Revision = c.grantState.Round, c.grantState.Undecided, c.grantState.Revision
	}
	c.endOlderIncarnations(now, request.Member)
	if request.Term > c.term || !c.isMember(request.Member) {
		return reply
	}
	state := c.memberState(request.Member)
	state.lastRequest = now
	state.stagedRound = max(state.stagedRound, request.Staged)
	if request.Term < c.term {
		return reply
	}
	c.recordConfirmation(state, now, request)
	if c.stateLoaded && c.MayGrant(now) {
		reply.Granted = true
		state.grantEnds = now + c.grantDuration
	}
	return reply
}

// endOlderIncarnations records that the older incarnations of a member's host
// have ended. They no longer follow a former collector, so they count as if
// they had adopted this term now.
func (c *Collector) endOlderIncarnations(now Instant, member structs.Incarnation) {
	for _, other := range c.roster {
		if other.Host != member.Host || other.Start >= member.Start {
			continue
		}
		if state := c.memberState(other); !state.followsTerm {
			state.followsTerm, state.followsSince = true, now
		}
	}
}

// recordConfirmation records that a member follows this term.
func (c *Collector) recordConfirmation(state *memberState, now Instant, request Ask) {
	if !state.followsTerm {
		state.followsTerm, state.followsSince = true, now
	}
	state.lastConfirmed = max(state.lastConfirmed, request.Echo)
}

// isMember reports whether a daemon is on the roster, and on the proposed one if
// there is one.
func (c *Collector) isMember(member structs.Incarnation) bool {
	return c.roster.Has(member) && (c.proposedRoster == nil || c.proposedRoster.Has(member))
}

// memberState returns the state of a member, which it creates if there is none.
func (c *Collector) memberState(member structs.Incarnation) *memberState {
	state, ok := c.members[member]
	if !ok {
		state = &memberState{}
		c.members[member] = state
	}
	return state
}

// MayGrant reports whether the collector may grant now: while its store lease is
// live, or while a majority of the roster, and of the proposed roster if there
// is one, confirms its term.
func (c *Collector) MayGrant(now Instant) bool {
	if c.StoreLeaseLive(now) {
		return true
	}
	return c.hasMajority(now, c.roster) && (c.proposedRoster == nil || c.hasMajority(now, c.proposedRoster))
}

// hasMajority reports whether more than half of a roster, the collector included,
// has confirmed the term within the grant duration.
func (c *Collector) hasMajority(now Instant, roster Roster) bool {
	confirmed := 0
	for _, member := range roster {
		state := c.members[member]
		if member == c.self || state != nil && state.followsTerm && now < state.lastConfirmed+c.grantDuration {
			confirmed++
		}
	}
	return 2*confirmed > len(roster)
}

// PredecessorsExpired reports whether no former collector can still have a
// majority or a grant that has not expired.
func (c *Collector) PredecessorsExpired(now Instant) bool {
	notFollowing := 0
	recentFollower := false
	for _, member := range c.roster {
		state := c.members[member]
		switch {
		case state == nil || !state.followsTerm:
			notFollowing++
		case now <= state.followsSince+2*c.grantDuration:
			recentFollower = true
		}
	}
	return notFollowing == 0 || !recentFollower && 2*notFollowing <= len(c.roster)
}

// MayAcknowledge reports whether the zone may acknowledge a round, that is,
// whether no member can serve a request affected by the round until the round is
// decided. The store lease must be live, so that a successor reads the head
// after this decision and its grants carry the round.
func (c *Collector) MayAcknowledge(now Instant, round change.Round) bool {
	if !c.stateLoaded || !c.StoreLeaseLive(now) {
		return false
	}
	notFollowing := 0
	for _, member := range c.roster {
		state := c.members[member]
		switch {
		case state != nil && state.stagedRound >= round:
		case state == nil || !state.followsTerm:
			notFollowing++
		case now < state.grantEnds:
			return false
		}
	}
	return notFollowing == 0 || c.PredecessorsExpired(now)
}

// LastBlockingGrantEnd returns when the last grant expires that prevents a round
// from being acknowledged, or zero if there is none.
func (c *Collector) LastBlockingGrantEnd(now Instant, round change.Round) Instant {
	var last Instant
	for _, member := range c.roster {
		state := c.members[member]
		if state != nil && state.stagedRound < round && now < state.grantEnds {
			last = max(last, state.grantEnds)
		}
	}
	return last
}

// ProposeRoster starts a change of the roster and reports whether the roster may
// be written to the store now. The caller ends the change with ResolveRoster.
func (c *Collector) ProposeRoster(now Instant, roster Roster) bool {
	if c.proposedRoster != nil || !c.StoreLeaseLive(now) || !c.PredecessorsExpired(now) {
		return false
	}
	c.proposedRoster = roster
	return true
}

// ResolveRoster ends a proposal with the roster that is now in the store.
func (c *Collector) ResolveRoster(now Instant, roster Roster) {
	for _, member := range roster {
		if !c.roster.Has(member) {
			c.memberState(member).lastRequest = now
		}
	}
	c.proposedRoster = nil
	c.roster = roster
	for member := range c.members {
		if !roster.Has(member) {
			delete(c.members, member)
		}
	}
}

// UnresponsiveMembers returns the members other than the collector that have sent
// no request, or whose last request and whose grant's end are more than a timeout
// ago.
func (c *Collector) UnresponsiveMembers(now Instant, timeout time.Duration) []structs.Incarnation {
	var unresponsive []structs.Incarnation
	for _, member := range c.roster {
		state := c.members[member]
		if member == c.self {
			continue
		}
		if state == nil || now > max(state.lastRequest, state.grantEnds)+timeout {
			unresponsive = append(unresponsive, member)
		}
	}
	return unresponsive
}
