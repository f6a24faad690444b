package dispatch

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// spoiltHold is how long no kept connection to a server is used after bytes of an earlier
// exchange have come in place of a response. Its other connections may be like that one,
// and each would cost a request an attempt.
const spoiltHold = 3 * time.Second

// spoiltServers are the servers whose kept connections are not used for a while. The zero
// value is ready to use, and it is safe for concurrent use.
type spoiltServers struct {
	mu    sync.Mutex
	until map[structs.HostName]time.Time
}

func (s *spoiltServers) add(server structs.HostName, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[structs.HostName]time.Time)
	}
	for name, until := range s.until {
		if !now.Before(until) {
			delete(s.until, name)
		}
	}
	s.until[server] = now.Add(spoiltHold)
}

func (s *spoiltServers) has(server structs.HostName, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[server])
}

// connectionTrace observes the connection of an exchange.
type connectionTrace struct {
	isKept, hasBytes atomic.Bool
}

func (t *connectionTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { t.isKept.Store(info.Reused); t.hasBytes.Store(false) },
		GotFirstResponseByte: func() { t.hasBytes.Store(true) },
	})
}

// isSpoilt reports whether an exchange without a usable response got bytes on a connection
// that had been used before.
func (t *connectionTrace) isSpoilt() bool { return t.isKept.Load() && t.hasBytes.Load() }
