package jobs

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingobeam/flamingobeam/coord/batch"
	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// zoneView returns the session view of a zone with two strong and eight weak
// hosts, beside another zone.
func zoneView(self string) *contract.SessionView {
	view := &contract.SessionView{Live: make(map[string]membership.Member)}
	for i := range 12 {
		member := membership.Member{Name: fmt.Sprintf("host-%d.1a", i), Zone: "zone-a", Strength: 0.19}
		if i < 2 {
			member.Strength = 0.8
		}
		if i >= 10 {
			member.Zone, member.Strength = structs.ZoneName("zone-b"), 0.8
		}
		view.Live[member.Name] = member
	}
	view.Self = view.Live[self]
	return view
}

func TestModelOwnerOf_SameStrongHost(t *testing.T) {
	owners := make(map[string]bool)
	for model := range 20 {
		var first string
		for i := range 10 {
			owner := modelOwnerOf(fmt.Sprint(model), zoneView(fmt.Sprintf("host-%d.1a", i)), avoidedHosts{})
			must.Eq(t, 0.8, owner.Strength)
			must.Eq(t, "zone-a", owner.Zone)
			if first == "" {
				first = owner.Name
			}
			must.Eq(t, first, owner.Name)
		}
		owners[first] = true
	}
	must.MapLen(t, 2, owners)
}

func TestModelOwnerOf_Restart(t *testing.T) {
	before := modelOwnerOf("model", zoneView("host-5.1a"), avoidedHosts{})
	view := zoneView("host-5.1a")
	delete(view.Live, before.Name)
	next := before
	next.Name = membership.HostOf(before.Name) + ".2b"
	view.Live[next.Name] = next
	must.Eq(t, next.Name, modelOwnerOf("model", view, avoidedHosts{}).Name)
	// Both runs of a host are listed until the lease of the first expires.
	view.Live[before.Name] = before
	must.Eq(t, next.Name, modelOwnerOf("model", view, avoidedHosts{}).Name)
}

func TestModelOwnerOf_NoSession(t *testing.T) {
	view := zoneView("host-5.1a")
	delete(view.Live, view.Self.Name)
	must.Eq(t, view.Self.Name, modelOwnerOf("model", view, avoidedHosts{}).Name)
}

func TestModelOwnerOf_Stopping(t *testing.T) {
	owner := modelOwnerOf("model", zoneView("host-5.1a"), avoidedHosts{})
	view := zoneView(owner.Name)
	var stopping avoidedHosts
	stopping.add(owner.Name, true)
	must.NotEq(t, owner.Name, modelOwnerOf("model", view, stopping).Name)
	must.Eq(t, 0.8, modelOwnerOf("model", view, stopping).Strength)
	view.Live = map[string]membership.Member{owner.Name: owner}
	must.Eq(t, owner.Name, modelOwnerOf("model", view, stopping).Name)
}

// TestModelOwnerOf_RollingRestart checks that a job goes to a host that a rolling
// restart has passed, unless none is as strong as the others.
func TestModelOwnerOf_RollingRestart(t *testing.T) {
	const old, young = "18b35e202cb00000", "18b35e2a66000000"
	view := &contract.SessionView{Live: make(map[string]membership.Member)}
	for _, name := range []string{"host-1." + old, "host-2." + old, "host-3." + old, "host-4." + young} {
		view.Live[name] = membership.Member{Name: name, Zone: "zone-a", Strength: 1}
	}
	view.Self = view.Live["host-1."+old]
	for model := range 20 {
		var stopping avoidedHosts
		stopping.add("host-2."+old, true)
		must.Eq(t, "host-4."+young, modelOwnerOf(fmt.Sprint(model), view, stopping).Name)
		var lost avoidedHosts
		lost.add("host-4."+young, false)
		must.NotEq(t, "host-4."+young, modelOwnerOf(fmt.Sprint(model), view, lost).Name)
	}
	view.Live["host-4."+young] = membership.Member{Name: "host-4." + young, Zone: "zone-a", Strength: 0.19}
	var stopping avoidedHosts
	stopping.add("host-2."+old, true)
	must.NotEq(t, "host-4."+young, modelOwnerOf("model", view, stopping).Name)
}

// submitPeers answers submissions with a result code for each host, zero if the
// host accepts them, and records the hosts that were asked.
type submitPeers struct {
	contract.Peers
	codes map[string]result.Code
	// isEarlierRelease leaves out what earlier releases do not report.
	isEarlierRelease bool
	asked            []string
}

func (p *submitPeers) Call(_ context.Context, address, _ string, _, reply any) error {
	p.asked = append(p.asked, address)
	if code := p.codes[address]; code == result.PeerUnreachable {
		return result.New(code, "")
	}
	submitReply := reply.(*SubmitReply)
	submitReply.Code = p.codes[address]
	if code := submitReply.Code; code != 0 && !p.isEarlierRelease {
		submitReply.NotWritten = result.OutcomeOf(result.New(code, "")) == result.NotRun
	}
	return nil
}

// TestSubmitToModelOwner_Refusals submits a job through a weak host. A host that
// certainly has not accepted the job is passed over for the next strong one;
// after a lost reply no other daemon is asked.
func TestSubmitToModelOwner_Refusals(t *testing.T) {
	isEarlierRelease := false
	submit := func(codes map[string]result.Code) (asked []string, accepted, isUnknown bool) {
		view := zoneView("host-5.1a")
		for name, member := range view.Live {
			member.RPCAddress = membership.HostOf(name)
			view.Live[name] = member
		}
		s := newService()
		s.session.(*fakeServices).session.Publish(view)
		peers := &submitPeers{codes: codes, isEarlierRelease: isEarlierRelease}
		s.peers = peers
		accepted, isUnknown = s.submitToModelOwner(t.Context(), &batch.Job{ID: "job", Model: "model"}, nil)
		return peers.asked, accepted, isUnknown
	}
	first := membership.HostOf(modelOwnerOf("model", zoneView("host-5.1a"), avoidedHosts{}).Name)
	second := map[string]string{"host-0": "host-1", "host-1": "host-0"}[first]

	asked, accepted, _ := submit(nil)
	must.Eq(t, []string{first}, asked)
	must.True(t, accepted)
	for _, code := range []result.Code{result.Stopping, result.PeerUnreachable} {
		asked, accepted, _ = submit(map[string]result.Code{first: code})
		must.Eq(t, []string{first, second}, asked)
		must.True(t, accepted)
	}
	asked, accepted, isUnknown := submit(map[string]result.Code{first: result.OutcomeUnknown})
	must.Eq(t, []string{first}, asked)
	must.False(t, accepted)
	must.True(t, isUnknown)
	asked, accepted, isUnknown = submit(map[string]result.Code{first: result.StoreUnavailable})
	must.Eq(t, []string{first}, asked)
	must.False(t, accepted || isUnknown)
	// An earlier release also refuses a job whose write was applied without a reply.
	isEarlierRelease = true
	asked, accepted, isUnknown = submit(map[string]result.Code{first: result.StoreUnavailable})
	must.Eq(t, []string{first}, asked)
	must.False(t, accepted)
	must.True(t, isUnknown)
	asked, accepted, _ = submit(map[string]result.Code{first: result.Stopping})
	must.Eq(t, []string{first, second}, asked)
	must.True(t, accepted)
}
