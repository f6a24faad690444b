package hedge

import "time"

// Request is a request without a response after its delay.
type Request struct {
	// Repeatable is set if several servers may run the request.
	Repeatable bool
	// Attempts is the number of servers that have the request, and MaxAttempts how many
	// may.
	Attempts    int
	MaxAttempts int
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	// Usual is the time within which most requests of its kind are answered.
	Usual time.Duration
}

// Check decides whether a request may be hedged at all, before the limits are asked. A
// hedge that would probably be answered too late only adds work.
func Check(request Request) Refusal {
	switch {
	case !request.Repeatable:
		return RefusedByKind
	case request.Attempts >= request.MaxAttempts:
		return RefusedByAttempts
	case request.Remaining < request.Usual:
		return RefusedByDeadline
	}
	return Allowed
}
