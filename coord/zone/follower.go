package zone

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// LeaseRequest is what a follower sends to its collector.
type LeaseRequest struct {
	Member structs.Incarnation
	// Term is the highest term that the follower has seen.
	Term structs.Term
	// Echo is the stamp of the last reply of this term, or zero.
	Echo Instant
	// Staged is the newest round that the follower has staged.
	Staged change.Round
	// Revision is the one that the follower has in force.
	Revision settings.Revision
}

// LeaseReply is what the collector answers.
type LeaseReply struct {
	Term structs.Term
	// Stamp is the collector's clock.
	Stamp Instant
	// Cut says that the collector's lease in the store is not live, so that
	// the follower should look for another collector there.
	Cut bool
	// Granted says that the follower may take what the reply carries for the
	// newest settings.
	Granted bool
	// Round is the newest round; Undecided says that it is not yet decided.
	Round     change.Round
	Undecided bool
	Revision  settings.Revision
}

// Follower is a daemon's own standing. It is not safe for concurrent use.
type Follower struct {
	self      structs.Incarnation
	span      time.Duration
	term      structs.Term
	echo      Instant
	staged    change.Round
	revision  settings.Revision
	grantEnds Instant
}

// NewFollower returns a follower that has no grant. The span is T.
func NewFollower(self structs.Incarnation, span time.Duration) *Follower {
	return &Follower{self: self, span: span}
}

// NewRequest returns the message to send now.
func (fl *Follower) NewRequest() LeaseRequest {
	return LeaseRequest{Member: fl.self, Term: fl.term, Echo: fl.echo, Staged: fl.staged, Revision: fl.revision}
}

// ApplyReply takes a reply to a LeaseRequest sent at an instant, and reports whether it
// was obeyed. A reply of an older term is ignored. What the reply carries must
// have been applied before, because a grant is worth nothing without it.
func (fl *Follower) ApplyReply(asked Instant, reply LeaseReply) bool {
	if reply.Term < fl.term {
		return false
	}
	if reply.Term > fl.term {
		fl.term, fl.grantEnds = reply.Term, 0
	}
	fl.echo = reply.Stamp
	fl.staged = max(fl.staged, reply.Round)
	fl.revision = max(fl.revision, reply.Revision)
	if reply.Granted {
		fl.grantEnds = max(fl.grantEnds, asked+fl.span)
	}
	return true
}

// GrantEnds is when the follower must stop taking its settings for the
// newest; zero means that it has no grant.
func (fl *Follower) GrantEnds() Instant { return fl.grantEnds }

// Term is the highest term seen.
func (fl *Follower) Term() structs.Term { return fl.term }
