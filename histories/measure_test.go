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

var measureEnabled = flag.Bool("histories.measure", false, "measure the latency of a settings change with the default lease times")

const (
	storeOutage   = 2 * time.Second
	changeTimeout = 60 * time.Second
	settleDelay   = 8 * time.Second
	pollInterval  = time.Millisecond
)

// TestMeasure_ChangeLatency logs, for each fault, the time from the operator's
// call until the change is decided and until every live daemon applies it. It
// asserts no times.
func TestMeasure_ChangeLatency(t *testing.T) {
	if !*measureEnabled {
		t.Skip("set -histories.measure to run")
	}
	cases := []struct {
		name   string
		inject func(c *cluster) (heal func())
	}{
		{"calm", func(*cluster) func() { return func() {} }},
		{"collector killed", func(c *cluster) func() {
			c.kill(c.collector("zone-0"))
			return func() {}
		}},
		{"collector cut from the store", func(c *cluster) func() {
			c.network.setCut(c.network.storeCutHosts, c.collector("zone-0"), true)
			return func() {}
		}},
		{"store outage of 2 s after the stage", func(c *cluster) func() {
			time.AfterFunc(2*pollInterval, func() { c.network.store.SetFaults(store.Faults{Down: true}) })
			time.AfterFunc(storeOutage, func() { c.network.store.SetFaults(store.Faults{}) })
			return func() {}
		}},
		{"zone cut from the store", func(c *cluster) func() {
			for _, host := range c.hosts[:3] {
				c.network.setCut(c.network.storeCutHosts, host, true)
			}
			return func() {}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, config.Default().Lease, 3, 3, 3)
			time.Sleep(settleDelay)
			defer test.inject(c)()
			startTime := time.Now()
			outcome, code := c.applyUntilDecided(stepSamplesChange(settings.ChangeID(test.name), "w0", 77))
			decisionLatency := time.Since(startTime)
			for code == result.OK && !c.allServeValue("w0", 77) {
				time.Sleep(pollInterval)
			}
			t.Logf("%s: %v after %.3f s, in force after %.3f s, missing %s", test.name, code, decisionLatency.Seconds(), time.Since(startTime).Seconds(), outcome)
		})
	}
}

// applyUntilDecided applies a change at the last host and retries it under the
// same ID until its outcome is known.
func (c *cluster) applyUntilDecided(change settings.Change) (string, result.Code) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		outcome, err := c.daemonOn(c.hosts[len(c.hosts)-1]).operator.Apply(ctx, change)
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

// allServeValue reports whether every live daemon with a link to the store holds
// an unexpired grant and applies the value to the workspace.
func (c *cluster) allServeValue(workspace structs.WorkspaceName, samples int) bool {
	for _, host := range c.hosts {
		d := c.daemonOn(host)
		if d == nil || c.network.storeCutHosts[host] {
			continue
		}
		view := d.settings.View().Load()
		if view.Resolved[workspace].StepSamples != samples || !time.Now().Before(view.GrantEnds) {
			return false
		}
	}
	return true
}
