package histories

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/emulate/store"
)

var measure = flag.Bool("histories.measure", false, "measure how long a change takes, with the default leases")

const (
	measuredOutage = 2 * time.Second
	measuredWait   = 60 * time.Second
	settleWait     = 8 * time.Second
	watchPause     = time.Millisecond
)

// TestMeasure_changes times a change from the operator's command until every
// live daemon serves under it, for each fault. It asserts no times.
func TestMeasure_changes(t *testing.T) {
	if !*measure {
		t.Skip("give -histories.measure")
	}
	cases := []struct {
		name  string
		fault func(c *cluster) (heal func())
	}{
		{"calm", func(*cluster) func() { return func() {} }},
		{"collector killed", func(c *cluster) func() {
			c.kill(c.collector("zone-0"))
			return func() {}
		}},
		{"collector cut from the store", func(c *cluster) func() {
			c.network.set(c.network.cutStore, c.collector("zone-0"), true)
			return func() {}
		}},
		{"store outage of 2 s after the stage", func(c *cluster) func() {
			time.AfterFunc(2*watchPause, func() { c.network.store.SetFaults(store.Faults{Down: true}) })
			time.AfterFunc(measuredOutage, func() { c.network.store.SetFaults(store.Faults{}) })
			return func() {}
		}},
		{"zone cut from the store", func(c *cluster) func() {
			for _, host := range c.hosts[:3] {
				c.network.set(c.network.cutStore, host, true)
			}
			return func() {}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, config.Default().Lease, 3, 3, 3)
			time.Sleep(settleWait)
			defer test.fault(c)()
			begun := time.Now()
			outcome, code := c.applySettled(setSamples(settings.ChangeID(test.name), "w0", 77))
			decided := time.Since(begun)
			for code == result.OK && !c.allServe("w0", 77) {
				time.Sleep(watchPause)
			}
			t.Logf("%s: %v after %.3f s, in force after %.3f s, missing %s", test.name, code, decided.Seconds(), time.Since(begun).Seconds(), outcome)
		})
	}
}

// applySettled applies a change at the last host until its outcome is known.
func (c *cluster) applySettled(change settings.Change) (string, result.Code) {
	ctx, cancel := context.WithTimeout(context.Background(), measuredWait)
	defer cancel()
	for ctx.Err() == nil {
		outcome, err := c.get(c.hosts[len(c.hosts)-1]).operator.Apply(ctx, change)
		if err == nil {
			return "none", result.OK
		}
		if code := result.CodeOf(err); code != result.ChangeUnknown && code != result.StoreUnavailable {
			return fmt.Sprint(outcome.Missing, " ", err), code
		}
	}
	must.NoError(c.t, ctx.Err())
	return "", result.ChangeUnknown
}

// allServe reports whether every live daemon that is not cut off from the
// store serves a workspace under a value.
func (c *cluster) allServe(workspace structs.WorkspaceName, samples int) bool {
	for _, host := range c.hosts {
		d := c.get(host)
		if d == nil || c.network.cutStore[host] {
			continue
		}
		view := d.settings.View().Load()
		if view.Resolved[workspace].StepSamples != samples || !time.Now().Before(view.GrantEnds) {
			return false
		}
	}
	return true
}
