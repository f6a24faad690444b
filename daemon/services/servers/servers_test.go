package servers

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

// fakeKnowledge has been served for a time; zero if it is not served.
type fakeKnowledge struct {
	contract.StoreKnowledge
	servedFor time.Duration
}

func (f fakeKnowledge) ServedSince(string) (time.Time, bool) {
	return time.Now().Add(-f.servedFor), f.servedFor > 0
}

type emptySession struct{ contract.Session }

func (emptySession) View() *kernel.Snapshot[contract.SessionView] {
	return kernel.NewSnapshot(&contract.SessionView{})
}

func newTestService() *service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &service{
		entries: make(map[structs.HostName]catalog.Server), lapsed: make(map[structs.HostName]bool), leaving: make(map[structs.HostName]int64),
		knowledge: fakeKnowledge{servedFor: time.Hour}, session: emptySession{}, log: logrus.NewEntry(log),
		view: kernel.NewSnapshot(&contract.ServersView{}), hosts: kernel.NewSnapshot(&contract.HostView{}),
	}
}

// put applies the entry of a server.
func (s *service) put(id string, started int64) {
	value := fmt.Sprintf(`{"service":"portal","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready","born":%d}`, started)
	s.applyChanges(contract.News{Records: []outside.Record{{Key: platform.ServerPrefix + id, Value: []byte(value)}}})
}

func (s *service) isOffered(id string) bool {
	for _, server := range s.view.Load().ByService["portal"] {
		if server.ID == structs.HostName(id) {
			return len(s.hosts.Load().Services["portal"]) > 0
		}
	}
	return false
}

// TestMarkLeaving_EntryComesBack lets the entry of a server that announced that it
// leaves disappear and come back, as in an outage of the store. The server must get no
// work before it has restarted.
func TestMarkLeaving_EntryComesBack(t *testing.T) {
	s := newTestService()
	s.put("a", 1)
	must.True(t, s.isOffered("a"))
	s.markLeaving("a")
	must.False(t, s.isOffered("a"))
	s.applyChanges(contract.News{Records: []outside.Record{{Key: platform.ServerPrefix + "a", Removed: true}}})
	s.put("a", 1)
	must.False(t, s.isOffered("a"))
	s.put("a", 2)
	must.True(t, s.isOffered("a"))
}

// TestRemoveEntry_StoreAway removes the entry of a server that was listed before. It must
// stay offered only while the store is away or has just returned.
func TestRemoveEntry_StoreAway(t *testing.T) {
	for servedFor, isKept := range map[time.Duration]bool{0: true, reregistrationTimeout / 2: true, 2 * reregistrationTimeout: false} {
		s := newTestService()
		s.loop = kernel.NewLoop(clockwork.NewFakeClock())
		s.put("a", 1)
		s.loaded, s.knowledge = true, fakeKnowledge{servedFor: servedFor}
		s.applyChanges(contract.News{Records: []outside.Record{{Key: platform.ServerPrefix + "a", Removed: true}}})
		must.Eq(t, isKept, s.isOffered("a"), must.Sprint(servedFor))
	}
}
