package swaps

import (
	"net/http"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/placement"
	"github.com/flamingobeam/flamingobeam/daemon/transport"
)

const (
	// keptConnTimeout is how long the connection to an engine is kept for its next load.
	keptConnTimeout = 30 * time.Second
	// maxKeptConns is the number of engines up to which the leader keeps connections.
	maxKeptConns = 256
)

// newTransport returns the transport for the orders to an engine and the reports that
// follow. Their responses do not name the requests to which they belong, so the connection
// carries nothing else, and it outlasts a load only if that ended with a report: a late copy
// of a report is told from the response to the next order by its body, and as a report it is
// at worst an earlier state of the engine. A late copy of the response to an order could not
// be told from that to the next one.
func newTransport() *http.Transport {
	return transport.New(transport.Options{DialTimeout: orderTimeout, IdleTimeout: keptConnTimeout, MaxIdlePerHost: 1})
}

// release marks an engine as free for its next order, and closes the connection.
func (e *engine) release() {
	e.busy, e.isFetching, e.currentLoad = false, false, placement.WeightLoad{}
	e.transport.CloseIdleConnections()
}

// releaseAfterReport marks an engine as free for its next order after its report was read.
// In a deployment of many engines their loads are far apart, and the leader keeps no
// connections.
func (s *service) releaseAfterReport(e *engine) {
	if len(s.engines) > maxKeptConns {
		e.release()
		return
	}
	e.busy, e.isFetching, e.currentLoad = false, false, placement.WeightLoad{}
}
