package peers

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
)

// TestCall_EndsWhenThePeerDoesNotRead calls a peer that accepts a connection
// and reads nothing, with more than the buffers of a connection hold.
func TestCall_EndsWhenThePeerDoesNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &service{clients: make(map[string]*rpc.Client), dial: net.DialTimeout}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	args, reply := make([]byte, 64<<20), 0
	err = s.Call(ctx, listener.Addr().String(), "Journal.Submit", &args, &reply)
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
}
