package intake

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/intake"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// listener counts the connections of a door.
type listener struct {
	net.Listener
	service *service
	door    intake.Door
	limit   int
}

// Guard implements contract.Intake.
func (s *service) Guard(door intake.Door, inner net.Listener) net.Listener {
	return &listener{Listener: inner, service: s, door: door, limit: s.budget.ConnectionsAt(door, s.descriptors)}
}

// Accept implements net.Listener. It closes connections for which there is no room, until
// it has accepted one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.service, l.door, raw)
		if l.service.admit(c, l.limit) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit adds a connection, and closes another one if the door has no more.
func (s *service) admit(c *conn, limit int) bool {
	now := time.Now()
	s.mu.Lock()
	var victim *conn
	if s.counts[c.door] >= limit {
		conns, holders := s.snapshot(now, func(other *conn) bool { return other.door == c.door })
		index := s.budget.ConnectionFrom(holders)
		if index < 0 {
			s.recordChoice(now, "connections_refused", 1)
			s.mu.Unlock()
			return false
		}
		victim = conns[index]
		s.recordChoice(now, "connections_closed", 1)
	}
	s.conns[c] = true
	s.counts[c.door]++
	s.mu.Unlock()
	if victim != nil {
		_ = victim.Close()
	}
	return true
}

// withConnHolding adds the holding of a connection to the context of its requests.
func withConnHolding(ctx context.Context, raw net.Conn) context.Context {
	if c := unwrap(raw); c != nil {
		return contract.WithHolding(ctx, c)
	}
	return ctx
}

// trackState gives back the head of a request once its connection is idle again.
func trackState(raw net.Conn, state http.ConnState) {
	if c := unwrap(raw); c != nil && state == http.StateIdle {
		c.becomeIdle()
	}
}

// unwrap returns the counted connection below a connection, which may be of TLS.
func unwrap(raw net.Conn) *conn {
	if outer, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = outer.NetConn()
	}
	c, _ := raw.(*conn)
	return c
}

// OfConn implements contract.Intake.
func (s *service) OfConn(raw net.Conn) contract.Holding {
	if c := unwrap(raw); c != nil {
		c.countsHeads.Store(false)
		return c
	}
	return contract.HoldingOf(context.Background())
}
