package managed

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/emulate/soak"
)

// linkDelay is how long a delayed link holds up each piece.
const linkDelay = 120 * time.Millisecond

// faultyLink forwards TCP connections to an address, and harms them in a mode.
type faultyLink struct {
	listener net.Listener
	mu       sync.Mutex
	mode     soak.LinkMode
	// changed is closed when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	// silenced are connections that stay silent until they are closed.
	silenced map[net.Conn]bool
}

func newFaultyLink(t *testing.T, target string) *faultyLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &faultyLink{listener: listener, changed: make(chan struct{}), conns: make(map[net.Conn]bool), silenced: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, target)
		}
	}()
	t.Cleanup(func() { _ = listener.Close(); l.set(soak.LinkReset) })
	return l
}

func (l *faultyLink) address() string { return l.listener.Addr().String() }

func (l *faultyLink) set(mode soak.LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	for conn := range l.conns {
		switch mode {
		case soak.LinkReset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		case soak.LinkSilent:
			l.silenced[conn] = true
		}
	}
}

func (l *faultyLink) serve(client net.Conn, target string) {
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	l.mu.Lock()
	l.conns[client], l.conns[server] = true, true
	mode := l.mode
	l.mu.Unlock()
	if mode == soak.LinkReset {
		_ = client.(*net.TCPConn).SetLinger(0)
	} else {
		var copying sync.WaitGroup
		copying.Go(func() { l.copy(server, client, false) })
		copying.Go(func() { l.copy(client, server, true) })
		copying.Wait()
	}
	_, _ = client.Close(), server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range []net.Conn{client, server} {
		delete(l.conns, conn)
		delete(l.silenced, conn)
	}
}

// copy forwards one direction until an end closes, and then closes both.
func (l *faultyLink) copy(to, from net.Conn, isReply bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for l.holds(from, isReply) {
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// holds waits while bytes of a connection may not pass, at most until the next change of the
// mode, and reports whether to ask again.
func (l *faultyLink) holds(from net.Conn, isReply bool) bool {
	l.mu.Lock()
	mode, changed, silenced := l.mode, l.changed, l.silenced[from]
	l.mu.Unlock()
	switch {
	case silenced && mode != soak.LinkReset, mode == soak.LinkOneWay && isReply:
		<-changed
		return true
	case mode == soak.LinkDelayed:
		time.Sleep(linkDelay)
	}
	return false
}
