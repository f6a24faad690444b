// Package zone decides which daemons of an availability zone may treat their
// settings as the newest. One daemon, the collector, holds the zone's lease in
// the platform's store and grants short leases to the other daemons, the
// followers.
//
// Rules:
//
//   - A collector's term is a fencing token from the store. A follower accepts
//     only the highest term that it has seen.
//   - A grant lasts for a duration T from when the follower sent its request,
//     by the follower's clock, and carries the newest revision and round that
//     the collector has read.
//   - A collector grants nothing before it has read the settings in its own
//     term: the settings that it had as a follower may be older than a round
//     that its predecessor has acknowledged.
//   - A collector grants while its store lease is live, or while more than
//     half of the roster has confirmed its term within T. A confirmation is
//     dated by the collector's own clock at the reply that the follower
//     echoes, so that a collector that was paused does not count old messages
//     as recent confirmations.
//   - A collector acknowledges a round for its zone if each member of the
//     roster has staged the round, or follows the collector and has no grant,
//     or has never followed the collector. The last kind may be at most half of
//     the roster, and if there are any, the other members must have followed
//     for more than 2T: by then a former collector that is partitioned from
//     the store has lost its majority, and its last grant has expired.
//   - When a host restarts, its older incarnations have ended: they count as
//     following the collector since its first request from the newer one.
//   - Only a collector whose store lease is live may change the roster, and only
//     if its followers meet the condition above: at most half of the roster has
//     never followed it, and if there are any, the others have followed for more
//     than 2T. While a roster write is undecided the collector needs a majority
//     of both rosters.
package zone

import "time"

// Instant is a reading of a monotonic clock, as the time since a moment that is
// fixed for the process.
type Instant = time.Duration
