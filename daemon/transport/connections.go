package transport

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// OpenReason is why a request needed a new connection. It ends the name of a counter.
type OpenReason string

// The reasons, by what became of the last connection to the address that ended.
const (
	// OpenedFirst means that there was no connection to the address yet.
	OpenedFirst OpenReason = "first"
	// OpenedBusy means that all connections to the address were in use.
	OpenedBusy OpenReason = "busy"
	// OpenedAfterIdle means that the server had closed the idle connection, and
	// OpenedAfterExpiry that this daemon had.
	OpenedAfterIdle   OpenReason = "closed_idle"
	OpenedAfterExpiry OpenReason = "expired"
	// OpenedAfterCut means that this daemon had ended a request, or had not read its
	// response to the end.
	OpenedAfterCut OpenReason = "cut"
	// OpenedAfterBreak means that the server had closed a connection in use, and
	// OpenedAfterClose that its response had announced the close.
	OpenedAfterBreak OpenReason = "broken"
	OpenedAfterClose OpenReason = "announced"
	// OpenedSingleUse means that the request asked for a connection of its own.
	OpenedSingleUse OpenReason = "single_use"
	// OpenedBeyondPart means that this daemon has its part of the server's connections.
	OpenedBeyondPart OpenReason = "beyond_part"
)

// Connections keeps account of a daemon's connections to servers, by address. All
// transports to the servers share one, so that a request of any kind can be placed where a
// connection is idle. It is safe for concurrent use; its lock is held for short
// calculations only.
type Connections struct {
	mu        sync.Mutex
	addresses map[string]*addressState
	// total is the number of open connections.
	total int
}

// addressState counts the connections to one address. An address without connections
// is forgotten after addressRetention.
type addressState struct {
	open, idle int
	// lastEnded is the connection that ended last, at endedAt, and lastEnd is why.
	lastEnded *watchedConn
	lastEnd   OpenReason
	endedAt   time.Time
	// lastIdle is how long the last connection that ended idle had been so.
	lastIdle time.Duration
}

// addressRetention is how long an address without connections is remembered, and
// maxAddresses the number of addresses above which old ones are looked for.
const (
	addressRetention = 5 * time.Minute
	maxAddresses     = 1024
)

// NewConnections returns an account without connections.
func NewConnections() *Connections {
	return &Connections{addresses: make(map[string]*addressState)}
}

// Idle returns the number of idle connections to an address.
func (c *Connections) Idle(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.addresses[address]; state != nil {
		return state.idle
	}
	return 0
}

// Open returns the number of connections to an address, in use or idle.
func (c *Connections) Open(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.addresses[address]; state != nil {
		return state.open
	}
	return 0
}

// Total returns the number of connections to all addresses.
func (c *Connections) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// Watch returns a dial function that counts the connections it opens.
func (c *Connections) Watch(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		state := c.addresses[address]
		if state == nil {
			c.forgetOld()
			state = &addressState{}
			c.addresses[address] = state
		}
		watched := &watchedConn{Conn: conn, account: c, state: state, reason: state.openReason(), isIdle: true, idleSince: time.Now(), lastIdle: state.lastIdle}
		c.total++
		state.open++
		state.idle++
		return watched, nil
	}
}

// openReason returns why another connection is opened now.
func (s *addressState) openReason() OpenReason {
	switch {
	case s.open > s.idle:
		return OpenedBusy
	case s.lastEnd != "":
		return s.lastEnd
	}
	return OpenedFirst
}

// forgetOld drops the addresses that have had no connection for a while.
func (c *Connections) forgetOld() {
	if len(c.addresses) < maxAddresses {
		return
	}
	for address, state := range c.addresses {
		if state.open == 0 && time.Since(state.endedAt) > addressRetention {
			delete(c.addresses, address)
		}
	}
}

// Use follows the connection of one request. Its fields are valid once the request has
// one.
type Use struct {
	// IsNew is set if the connection was opened for the request, and Reason is why.
	IsNew  bool
	Reason OpenReason
	// LastIdle is how long an earlier idle connection to the address had been kept.
	LastIdle time.Duration

	conn *watchedConn
}

// GotConn records the connection of the request.
func (u *Use) GotConn(info httptrace.GotConnInfo) {
	u.IsNew = !info.Reused
	u.conn, _ = info.Conn.(*watchedConn)
	if u.conn != nil {
		u.Reason, u.LastIdle = u.conn.reason, u.conn.lastIdle
		u.conn.begin(u)
	}
}

// PutIdle records that the connection was kept for further requests, or not.
func (u *Use) PutIdle(err error) {
	if u.conn != nil && err == nil {
		u.conn.endUse(u)
	}
}

// AnnouncedClose records that the server closes the connection after the response.
func (u *Use) AnnouncedClose() {
	if u.conn != nil {
		u.conn.announce()
	}
}

// watchedConn is a connection in the account.
type watchedConn struct {
	net.Conn
	account *Connections
	state   *addressState
	reason  OpenReason
	// lastIdle is how long an earlier connection to the address had been idle when it ended.
	lastIdle time.Duration

	// The following fields are guarded by the account's lock. A connection is idle until a
	// request uses it: net/http may have found another one for the request meanwhile.
	user                                   *Use
	idleSince                              time.Time
	isIdle, isEnded, isAnnounced, isBroken bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if err != nil {
		c.account.mu.Lock()
		c.isBroken = c.isBroken || !c.isEnded
		c.account.mu.Unlock()
	}
	return count, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.account.mu.Lock()
	if !c.isEnded {
		c.isEnded = true
		c.account.total--
		c.state.end(c)
	}
	c.account.mu.Unlock()
	return c.Conn.Close()
}

// begin records that a request uses the connection.
func (c *watchedConn) begin(use *Use) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.user = use
	if c.isIdle && !c.isEnded {
		c.isIdle = false
		c.state.idle--
	}
}

// endUse records that the connection is kept. The next request may have got it already.
func (c *watchedConn) endUse(use *Use) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.user == use && !c.isIdle && !c.isEnded {
		c.isIdle, c.idleSince = true, time.Now()
		c.state.idle++
	}
}

// announce records that the server closes the connection. net/http closes it as soon as the
// response is read, which may have happened already.
func (c *watchedConn) announce() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.isAnnounced = true
	if c.isEnded && c.state.lastEnded == c {
		c.state.lastEnd = OpenedAfterClose
	}
}

// end counts a connection that ends, and why. The account's lock must be held.
func (s *addressState) end(c *watchedConn) {
	s.open--
	s.endedAt = time.Now()
	if c.isIdle {
		s.idle--
		s.lastIdle = time.Since(c.idleSince)
	}
	s.lastEnded = c
	switch {
	case c.isIdle && c.isBroken:
		s.lastEnd = OpenedAfterIdle
	case c.isIdle:
		s.lastEnd = OpenedAfterExpiry
	case c.isBroken:
		s.lastEnd = OpenedAfterBreak
	case c.isAnnounced:
		s.lastEnd = OpenedAfterClose
	default:
		s.lastEnd = OpenedAfterCut
	}
}
