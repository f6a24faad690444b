// Package zone decides who in an availability zone may take its settings for
// the newest. One daemon, the collector, holds the zone's lease in the
// platform's store and grants short leases to the other daemons, the
// followers.
//
// Rules:
//
//   - A collector's term is a fencing number from the store. A follower obeys
//     the highest term that it has seen and never goes back.
//   - A grant lasts for a span T from when the follower asked for it, by the
//     follower's clock, and carries the newest revision and round that the
//     collector knows.
//   - A collector grants nothing before it has read the settings in its own
//     term: what it knew as a follower may be older than a round that its
//     predecessor has acknowledged.
//   - A collector grants while its store lease is live, or while more than
//     half of the roster has confirmed its term within T. A confirmation is
//     dated by the collector's own clock at the reply that the follower
//     echoes, so that a collector that was paused does not take old messages
//     for fresh ones.
//   - A collector acknowledges a round for its zone when each member of the
//     roster has staged it, or followed the collector and has no grant any
//     more, or never followed it. The last are at most half of the roster, and
//     then the others must have followed for more than 2T: by then a former
//     collector that is cut off from the store has lost its majority, and its
//     last grant has run out.
//   - A host that runs again has ended its older incarnations: they count as
//     having followed the collector since it heard of the newer one.
//   - The roster is changed only by a collector whose store lease is live and
//     that meets the last condition. While a roster write is undecided the
//     collector needs a majority of both rosters.
package zone

import "time"

// Instant is a reading of a monotonic clock, as the time since some moment
// that is fixed for one process.
type Instant = time.Duration
