package intake

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/flamingobeam/flamingobeam/coord/intake"
)

const (
	// headPiece is how much of a head is read between two claims. The first piece is
	// part of the cost of a connection.
	headPiece = 4 << 10
	// headCost is what a byte of a head takes in memory: the text and the decoded fields.
	headCost = 2
	// writePiece is how much of an answer is written at once, so that a slow reader of
	// a long answer can be told from one that has stopped.
	writePiece = 64 << 10
)

// conn is a connection of a client, with what is held for it.
type conn struct {
	net.Conn
	service *service
	door    intake.Door
	origin  string

	// countsHeads is set while the head of a request is read, or could be.
	countsHeads atomic.Bool
	// hasRead is set once bytes other than a head have arrived.
	hasRead atomic.Bool
	// headRead is how much of the head has been read, and headClaimed how much of it has
	// been claimed.
	headRead, headClaimed atomic.Int64
	// writingSince is when the current write began, in Unix nanoseconds; zero if none is
	// in progress.
	writingSince atomic.Int64

	// The fields below belong to service.mu.
	phase intake.Phase
	held  int64
	moved time.Time
	// inRequest is set from Begin to End.
	inRequest bool
	wasServed bool
	// isEnded is set when the client had to end for others, and isClosed when the
	// connection is closed.
	isEnded, isClosed bool
}

func newConn(s *service, door intake.Door, raw net.Conn) *conn {
	c := &conn{Conn: raw, service: s, door: door, moved: time.Now()}
	if address, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		c.origin = address.IP.String()
	}
	c.countsHeads.Store(true)
	c.headClaimed.Store(headPiece)
	return c
}

// describe returns the holder for a choice. The caller must hold service.mu.
func (c *conn) describe(now time.Time) intake.Holder {
	holder := intake.Holder{Origin: c.origin, Phase: c.phase, Held: c.held, Still: now.Sub(c.moved), Served: c.wasServed || c.hasRead.Load()}
	if since := c.writingSince.Load(); since != 0 {
		holder.Phase, holder.Still = intake.Answering, now.Sub(time.Unix(0, since))
	}
	return holder
}

// errEnded is an error of a read that net/http does not answer.
func errEnded(c *conn) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errors.New("intake: no room for the head of a request")}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.countsHeads.Load() {
		n, err := c.Conn.Read(p)
		if n > 0 && !c.hasRead.Load() {
			c.hasRead.Store(true)
		}
		return n, err
	}
	if c.headRead.Load() >= c.headClaimed.Load() {
		if c.Claim(headPiece*headCost) != nil {
			return 0, errEnded(c)
		}
		c.headClaimed.Add(headPiece)
	}
	n, err := c.Conn.Read(p[:min(len(p), headPiece)])
	if n > 0 && c.headRead.Add(int64(n)) == int64(n) {
		c.beginHead()
	}
	return n, err
}

// beginHead records the first byte of a head.
func (c *conn) beginHead() {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if c.phase == intake.Idle {
		c.phase, c.moved = intake.Receiving, time.Now()
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.writingSince.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		c.writingSince.Store(0)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. A client that has to end gets no more time.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if c.isEnded {
		at = longAgo
	}
	return c.Conn.SetReadDeadline(at)
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// endForOthers ends a client: a request that is arriving fails to be read, so that it can
// be refused, and the connection of any other is closed. The caller must hold service.mu
// and call the returned function without it.
func (c *conn) endForOthers() (finish func()) {
	c.isEnded = true
	c.service.ending += c.held
	if c.phase == intake.Receiving && c.writingSince.Load() == 0 {
		_ = c.Conn.SetReadDeadline(longAgo)
		return func() {}
	}
	return func() { _ = c.Close() }
}

// Close implements net.Conn.
func (c *conn) Close() error {
	s := c.service
	s.mu.Lock()
	if !c.isClosed {
		c.isClosed = true
		delete(s.conns, c)
		s.counts[c.door]--
		if !c.inRequest {
			c.giveBack(c.held)
		}
	}
	s.mu.Unlock()
	return c.Conn.Close()
}
