package access

import "time"

// applyMargin is the part of the time for a revocation that a change takes within a
// daemon until requests are served by it.
const applyMargin = 100 * time.Millisecond

// Revocation says what a daemon does with keys while it cannot learn of changes.
type Revocation struct {
	// Within is how soon a key that was taken away must be refused.
	Within time.Duration
	// Strict is set if a daemon that may have missed a revocation for longer refuses all
	// keys. Otherwise it goes on with the configuration that it knows.
	Strict bool
}

// Allows reports whether keys may be accepted by a configuration that was certainly the
// newest one this long ago.
func (r Revocation) Allows(age time.Duration) bool {
	return !r.Strict || age <= r.Within-applyMargin
}
