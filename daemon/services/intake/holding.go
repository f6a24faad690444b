package intake

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/coord/result"
)

const (
	// requestBytes is what a request in progress takes besides its head, its body and
	// its answer: the goroutines and buffers at the caller's and at a server's side.
	requestBytes = 40 << 10
	// claimPatience is how long a claim waits for others to give bytes back.
	claimPatience = 500 * time.Millisecond
	// choiceInterval bounds how often the holders are looked through.
	choiceInterval = 10 * time.Millisecond
	// retryAfter is when there may be room again: ended clients give theirs back at once.
	retryAfter = 250 * time.Millisecond
)

func refusal(why string) *result.Error {
	refused := result.New(result.Overloaded, "%s", why)
	refused.RetryAfter = retryAfter
	return refused
}

var (
	errNoRoom      = refusal("no room for what the client sends")
	errNoRequests  = refusal("too many requests in progress")
	errForOthers   = refusal("the client holds more than others and moves less")
	errNoMoreBytes = refusal("the client holds more than its share")
)

// Begin implements contract.Holding.
func (c *conn) Begin() error {
	s := c.service
	s.mu.Lock()
	c.countsHeads.Store(false)
	c.inRequest, c.wasServed = true, true
	c.phase, c.moved = intake.Receiving, time.Now()
	s.requests++
	isOver := s.requests > s.budget.Requests
	if isOver {
		s.recordChoice(c.moved, "requests_refused", 1)
	}
	s.mu.Unlock()
	if isOver {
		return errNoRequests
	}
	return c.Claim(requestBytes)
}

// Claim implements contract.Holding.
func (c *conn) Claim(bytes int64) error {
	s := c.service
	var timer *time.Timer
	for {
		s.mu.Lock()
		now := time.Now()
		if c.take(now, bytes) {
			s.mu.Unlock()
			return nil
		}
		if timer == nil {
			timer = time.NewTimer(claimPatience)
			defer timer.Stop()
		}
		finish, err := c.makeRoom(now, bytes)
		if err == nil && s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, nextChoice := s.changed, s.nextChoice
		s.mu.Unlock()
		for _, end := range finish {
			end()
		}
		if err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(max(choiceInterval, time.Until(nextChoice))):
		case <-timer.C:
			s.mu.Lock()
			s.recordChoice(now, "claims_refused", 1)
			s.mu.Unlock()
			return errNoRoom
		}
	}
}

// TryClaim implements contract.Holding.
func (c *conn) TryClaim(bytes int64) bool {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	// An attempt at a server may outlast its request.
	return c.inRequest && c.take(time.Now(), bytes)
}

// take claims bytes if there is room. The caller must hold service.mu.
func (c *conn) take(now time.Time, bytes int64) bool {
	if c.isEnded || c.isClosed || !c.service.budget.Admits(c.held, bytes, c.service.held) {
		return false
	}
	if c.phase == intake.Idle {
		c.phase = intake.Receiving
	}
	c.held += bytes
	c.service.held += bytes
	c.moved = now
	return true
}

// makeRoom ends clients until enough bytes will be given back, or returns an error if this
// one has to end. The caller must hold service.mu and call the returned functions without
// it.
func (c *conn) makeRoom(now time.Time, bytes int64) (finish []func(), err error) {
	s := c.service
	if c.isEnded {
		return nil, errForOthers
	}
	if s.ending >= bytes || now.Before(s.nextChoice) {
		return nil, nil
	}
	s.nextChoice = now.Add(choiceInterval)
	conns, holders := s.snapshot(now, func(*conn) bool { return true })
	claimer := -1
	for i, other := range conns {
		if other == c {
			claimer = i
		}
	}
	if claimer < 0 {
		// Its connection is closed.
		return nil, errForOthers
	}
	victims := s.budget.BytesFrom(holders, claimer, bytes)
	for _, i := range victims {
		if i == claimer {
			s.recordChoice(now, "claims_refused", 1)
			return finish, errNoMoreBytes
		}
		finish = append(finish, conns[i].endForOthers())
	}
	if len(victims) > 0 {
		s.recordChoice(now, "clients_ended", len(victims))
	}
	return finish, nil
}

// Release implements contract.Holding.
func (c *conn) Release(bytes int64) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.giveBack(min(bytes, c.held))
	if c.held == 0 && !c.inRequest {
		c.phase, c.moved = intake.Idle, time.Now()
	}
}

// giveBack gives bytes back and wakes those who wait for some. The caller must hold
// service.mu.
func (c *conn) giveBack(bytes int64) {
	s := c.service
	c.held -= bytes
	s.held -= bytes
	if c.isEnded {
		s.ending -= bytes
	}
	if s.changed != nil && bytes > 0 {
		close(s.changed)
		s.changed = nil
	}
}

// Pass implements contract.Holding.
func (c *conn) Pass() {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.phase, c.moved = intake.Running, time.Now()
}

// Err implements contract.Holding.
func (c *conn) Err() error {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if c.isEnded {
		return errForOthers
	}
	return nil
}

// End implements contract.Holding.
func (c *conn) End() {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.inRequest {
		c.inRequest = false
		s.requests--
	}
	c.giveBack(c.held)
}

// becomeIdle prepares for the next request once the answer to the last one is written.
func (c *conn) becomeIdle() {
	c.End()
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.phase, c.moved = intake.Idle, time.Now()
	c.headRead.Store(0)
	c.headClaimed.Store(headPiece)
	c.countsHeads.Store(true)
}
