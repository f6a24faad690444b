package zone

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/change"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Ask is the lease request that a follower sends to its collector. It crosses
// net/rpc under the names of its fields. The type name is part of the gob
// encoding.
type Ask struct {
	Member structs.Incarnation
	// Term is the highest term that the follower has seen.
	Term structs.Term
	// Echo is the Stamp of the last reply of this term, or zero.
	Echo Instant
	// Staged is the newest round that the follower has staged.
	Staged change.Round
	// Revision is the settings revision that the follower uses.
	Revision settings.Revision
}

// Reply is the collector's reply to an Ask. It crosses net/rpc under the names of
// its fields. The type name is part of the gob encoding.
type Reply struct {
	Term structs.Term
	// Stamp is the collector's clock at the reply.
	Stamp Instant
	// Cut reports that the collector's lease in the store is not live, so that
	// the follower should look there for another collector.
	Cut bool
	// Granted reports that the follower may treat Round, Undecided and Revision
	// as the newest state of the settings until the grant ends.
	Granted bool
	// Round is the newest round; Undecided reports that it is not yet decided.
	Round     change.Round
	Undecided bool
	Revision  settings.Revision
}

// Follower holds a daemon's term and grant. It is not safe for concurrent use.
type Follower struct {
	self          structs.Incarnation
	grantDuration time.Duration
	term          structs.Term
	echo          Instant
	staged        change.Round
	revision      settings.Revision
	grantEnds     Instant
}

// NewFollower returns a follower without a grant. The grant duration is T of the
// package's rules.
func NewFollower(self structs.Incarnation, grantDuration time.Duration) *Follower {
	return &Follower{self: self, grantDuration: grantDuration}
}

// NewRequest returns the request to send now.
func (f *Follower) NewRequest() Ask {
	return Ask{Member: f.self, Term: f.term, Echo: f.echo, Staged: f.staged, Revision: f.revision}
}

// ApplyReply applies the reply to a request that was sent at requestedAt. It
// ignores a reply of an older term and returns false. The caller must apply the
// settings that come with the reply first, because a grant is valid only for them.
func (f *Follower) ApplyReply(requestedAt Instant, reply Reply) bool {
	if reply.Term < f.term {
		return false
	}
	if reply.Term > f.term {
		f.term, f.grantEnds = reply.Term, 0
	}
	f.echo = reply.Stamp
	f.staged = max(f.staged, reply.Round)
	f.revision = max(f.revision, reply.Revision)
	if reply.Granted {
		f.grantEnds = max(f.grantEnds, requestedAt+f.grantDuration)
	}
	return true
}

// GrantEnds returns when the follower must stop treating its settings as the
// newest, or zero if it has no grant.
func (f *Follower) GrantEnds() Instant { return f.grantEnds }

// Term returns the highest term that the follower has seen.
func (f *Follower) Term() structs.Term { return f.term }
