package config

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
)

func TestParseEntry_Clients(t *testing.T) {
	entry, err := ParseEntry([]byte("clients:\n  bytes: 1000000\n  work: 5\n  connections: 10\n  requests: 7\n  stalled_after: 2s\n"))
	must.NoError(t, err)
	must.Eq(t, Clients{Bytes: 1000000, Work: 5, Connections: 10, Requests: 7, StalledAfter: settings.Duration(2 * time.Second)}, entry.Clients)
	for _, invalid := range []string{"clients:\n  bytes: -1\n", "clients:\n  connections: -1\n", "clients:\n  stalled_after: 2h\n"} {
		_, err := ParseEntry([]byte(invalid))
		must.Eq(t, result.SettingsInvalid, result.CodeOf(err))
	}
}
