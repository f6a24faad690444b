package usage

import (
	"context"
	"io"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/usage"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

type fakeSession struct {
	contract.Session
	view *kernel.Snapshot[contract.SessionView]
}

func (f *fakeSession) View() *kernel.Snapshot[contract.SessionView] { return f.view }

// network connects services by their addresses. calls counts the calls by method, and
// errors fails those to an address.
type network struct {
	mu       sync.Mutex
	services map[string]*service
	calls    map[string]int
	errors   map[string]error
}

func (n *network) Call(_ context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	n.calls[method]++
	n.mu.Unlock()
	receiver := &Receiver{service: n.services[address]}
	if err := n.errors[address]; err != nil {
		return err
	}
	switch method {
	case "Usage.Read":
		return receiver.Read(args.(CountsRequest), reply.(*CountsReply))
	case "Usage.Gather":
		return receiver.Gather(args.(CountsRequest), reply.(*CountsReply))
	default:
		return receiver.Adopt(args.(HandoverRequest), &struct{}{})
	}
}

type noMetrics struct{ contract.Metrics }

func (noMetrics) Count(string, int64) {}

// newNetwork returns services in zones, each of which has counted one request now.
func newNetwork(zones map[string]string) *network {
	n := &network{services: make(map[string]*service), calls: make(map[string]int), errors: make(map[string]error)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	live := make(map[string]membership.Member)
	for name, zone := range zones {
		live[name] = membership.Member{Name: name, RPCAddress: name, Zone: structs.ZoneName(zone)}
	}
	for name := range zones {
		s := &service{
			isEnabled: true, rules: usage.Rules{Length: 5 * time.Second, Due: 10 * time.Second}, meter: usage.NewMeter(time.Minute), clocks: make(map[string]clockNote),
			peers: n, metrics: noMetrics{}, log: logrus.NewEntry(log),
			session: &fakeSession{view: kernel.NewSnapshot(&contract.SessionView{Self: live[name], Live: live})},
		}
		s.RecordStart("w", time.Now())
		n.services[name] = s
	}
	return n
}

// gatherAll gathers the last ten seconds of a time at a daemon.
func (n *network) gatherAll(name string, now time.Time) gatherResult {
	s := n.services[name]
	request := CountsRequest{Now: now.UnixNano(), Windows: []WindowBounds{
		{Window: 1, From: now.Add(-10 * time.Second).UnixNano(), To: now.Add(-5 * time.Second).UnixNano()},
		{Window: 2, From: now.Add(-5 * time.Second).UnixNano(), To: now.UnixNano()},
	}}
	s.book = s.rules.NewBook()
	return s.gather(context.Background(), request, s.unanswered(), s.clocks)
}

var sixDaemons = map[string]string{"a-1.0": "a", "a-2.0": "a", "b-1.0": "b", "b-2.0": "b", "c-1.0": "c", "c-2.0": "c"}

// TestGather_ThroughZones checks that the holder calls one daemon of each other zone.
func TestGather_ThroughZones(t *testing.T) {
	n := newNetwork(sixDaemons)
	gathered := n.gatherAll("a-1.0", time.Now().Add(time.Millisecond))
	must.Eq(t, map[usage.Window]usage.Counts{2: {"w": 6}}, gathered.counts)
	must.SliceLen(t, 6, gathered.answered)
	must.Eq(t, 2, n.calls["Usage.Gather"])
	must.SliceLen(t, 3, gathered.offsets)
}

// TestGather_ZoneFirstLost checks that another daemon of the zone is asked at once.
func TestGather_ZoneFirstLost(t *testing.T) {
	n := newNetwork(sixDaemons)
	n.errors["b-1.0"] = result.Wrap(result.PeerUnreachable, errors.New("refused"))
	gathered := n.gatherAll("a-1.0", time.Now().Add(time.Millisecond))
	must.Eq(t, 5, gathered.counts[2]["w"])
	must.SliceNotContains(t, gathered.answered, "b-1.0")
}

// TestGather_EarlierRelease checks that daemons which do not know the calls keep nobody
// waiting.
func TestGather_EarlierRelease(t *testing.T) {
	n := newNetwork(sixDaemons)
	for _, name := range []string{"a-2.0", "b-1.0", "c-1.0", "c-2.0"} {
		n.errors[name] = result.Wrap(result.OutcomeUnknown, rpc.ServerError("rpc: can't find service Usage.Read"))
	}
	gathered := n.gatherAll("a-1.0", time.Now().Add(time.Millisecond))
	must.Eq(t, 2, gathered.counts[2]["w"])
	must.SliceLen(t, 6, gathered.answered)
}

// TestGather_HolderClockWrong gives the holder a clock that is two seconds ahead of all. It
// must learn that and include nothing that was cut by it.
func TestGather_HolderClockWrong(t *testing.T) {
	n := newNetwork(sixDaemons)
	gathered := n.gatherAll("a-1.0", time.Now().Add(2*time.Second))
	s := n.services["a-1.0"]
	s.applyGathered(usage.Step{}, gathered)
	must.True(t, (s.clockError-2*time.Second).Abs() < 200*time.Millisecond)
	must.MapEmpty(t, gathered.counts)
}

// TestGather_DaemonClockWrong tells the holder of a daemon whose clock is ahead. The daemon
// is not believed, and then asked again with its error, or without one if the difference
// may be the time of the message.
func TestGather_DaemonClockWrong(t *testing.T) {
	n := newNetwork(sixDaemons)
	s := n.services["a-1.0"]
	s.clocks["b-2.0"] = clockNote{err: -2 * time.Second}
	gathered := n.gatherAll("a-1.0", time.Now().Add(time.Millisecond))
	must.Eq(t, 5, gathered.counts[2]["w"])
	must.MapContainsKey(t, gathered.suspects, "b-2.0")

	gathered.suspects = map[string]usage.ClockReading{
		"b-1.0": {Offset: 1500 * time.Millisecond, Uncertainty: 300 * time.Millisecond},
		"b-2.0": {Offset: 400 * time.Millisecond, Uncertainty: 300 * time.Millisecond},
	}
	s.applyGathered(usage.Step{}, gathered)
	must.Eq(t, clockNote{err: 1500 * time.Millisecond, isSettled: true}, s.clocks["b-1.0"])
	must.Eq(t, clockNote{isSettled: true}, s.clocks["b-2.0"])
	must.Eq(t, 6, n.gatherAll("a-1.0", time.Now().Add(time.Millisecond)).counts[2]["w"])
	s.unsettleClocks()
	must.Eq(t, map[string]clockNote{"b-1.0": {err: 1500 * time.Millisecond}}, s.clocks)
}

// TestStop_HandsOver checks that a daemon hands its counts over once.
func TestStop_HandsOver(t *testing.T) {
	n := newNetwork(sixDaemons)
	must.NoError(t, n.services["b-1.0"].Stop(t.Context()))
	n.errors["b-1.0"] = result.Wrap(result.PeerUnreachable, errors.New("stopped"))
	must.Eq(t, 6, n.gatherAll("a-1.0", time.Now().Add(time.Millisecond)).counts[2]["w"])
	must.NoError(t, n.services["b-1.0"].Stop(t.Context()))
	must.Eq(t, 1, n.calls["Usage.Adopt"])
}

// TestStop_UnknownOutcome checks that counts which another daemon may have are not handed
// over again.
func TestStop_UnknownOutcome(t *testing.T) {
	n := newNetwork(sixDaemons)
	n.errors["b-2.0"] = result.Wrap(result.OutcomeUnknown, errors.New("timeout"))
	must.NoError(t, n.services["b-1.0"].Stop(t.Context()))
	must.Eq(t, 1, n.calls["Usage.Adopt"])
}
