package resume

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/catalog"
)

func TestAuthorize(t *testing.T) {
	begun := Origin{Service: "models", Software: "v1", Server: "server-1", Started: 7}
	for name, c := range map[string]struct {
		origin, target Origin
		allowed        bool
	}{
		"same software":           {begun, Origin{Service: "models", Software: "v1", Server: "server-2"}, true},
		"other software":          {begun, Origin{Service: "models", Software: "v1.1", Server: "server-2"}, false},
		"prefix of the software":  {begun, Origin{Service: "models", Software: "v", Server: "server-2"}, false},
		"other service":           {begun, Origin{Service: "portal", Software: "v1", Server: "server-2"}, false},
		"unknown target":          {begun, Origin{Service: "models", Server: "server-2"}, false},
		"unknown origin":          {Origin{}, Origin{Service: "models", Software: "v1", Server: "server-2"}, false},
		"both unknown":            {Origin{Service: "models", Server: "server-1"}, Origin{Service: "models", Server: "server-2"}, false},
		"same process":            {Origin{Service: "models", Server: "server-1", Started: 7}, Origin{Service: "models", Server: "server-1", Started: 7}, true},
		"restarted under its ID":  {Origin{Service: "models", Server: "server-1", Started: 7}, Origin{Service: "models", Server: "server-1", Started: 8}, false},
		"start times are unknown": {Origin{Service: "models", Server: "server-1"}, Origin{Service: "models", Server: "server-1"}, false},
		"upgraded under its ID":   {begun, Origin{Service: "models", Software: "v1.1", Server: "server-1", Started: 8}, false},
	} {
		t.Run(name, func(t *testing.T) {
			permit, err := Authorize(Position{Last: 5, Origin: c.origin}, c.target)
			if !c.allowed {
				must.ErrorIs(t, err, ErrOtherSoftware)
				must.Eq(t, Permit{}, permit)
				return
			}
			must.NoError(t, err)
			must.Eq(t, 5, int(permit.Last()))
			must.True(t, permit.IsFor(c.target.Server))
			must.False(t, permit.IsFor("server-9"))
		})
	}
}

func TestAuthorize_NewStream(t *testing.T) {
	permit, err := Authorize(Position{}, Origin{Server: "server-1"})
	must.NoError(t, err)
	must.Eq(t, 0, int(permit.Last()))
	must.True(t, Position{}.ContinuesAt(catalog.Server{ID: "server-1"}))
}
