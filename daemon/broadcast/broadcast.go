// Package broadcast calls groups of the other daemons that have a session. No
// daemon calls every other one: what the owners of batch jobs share goes to those
// that may own jobs, and what all are to know goes through the first daemon of
// each zone.
package broadcast

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/membership"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// Broadcaster calls other daemons that have a session.
type Broadcaster struct {
	Session contract.Session
	Peers   contract.Peers
	Workers *kernel.Workers
	Log     *logrus.Entry
	// Timeout bounds each call.
	Timeout time.Duration
}

// NotifyJobHosts calls a net/rpc method of the other daemons that may own batch jobs,
// concurrently, and does not wait for the replies. Failed calls are logged and not
// retried, so the receivers must tolerate a lost message.
func (b *Broadcaster) NotifyJobHosts(method string, message any) {
	b.EachJobHost(b.Notification(method, message))
}

// NotifyZoneFirsts is NotifyJobHosts for the first daemon of each zone, this one
// included.
func (b *Broadcaster) NotifyZoneFirsts(method string, message any) {
	for _, first := range membership.ZoneFirsts(b.Session.View().Load().Live) {
		b.start(first, b.Notification(method, message))
	}
}

// NotifyZone is NotifyJobHosts for the other daemons of this one's zone.
func (b *Broadcaster) NotifyZone(method string, message any) {
	view := b.Session.View().Load()
	for _, member := range view.Live {
		if member.Zone == view.Self.Zone && member.Name != view.Self.Name {
			b.start(member, b.Notification(method, message))
		}
	}
}

// EachJobHost calls a function for each other daemon that may own batch jobs and for
// the leader, each on its own worker, and does not wait for them to return. Errors are
// logged.
func (b *Broadcaster) EachJobHost(call func(ctx context.Context, member membership.Member) error) {
	b.EachJobHostIf(func(membership.Member) bool { return true }, call)
}

// EachJobHostIf is EachJobHost for the daemons that isWanted accepts.
func (b *Broadcaster) EachJobHostIf(isWanted func(membership.Member) bool, call func(ctx context.Context, member membership.Member) error) {
	view := b.Session.View().Load()
	hosts := membership.JobHosts(view.Live)
	for name, member := range view.Live {
		if (hosts[name] || name == view.Leader) && name != view.Self.Name && isWanted(member) {
			b.start(member, call)
		}
	}
}

// Notification returns a function that calls a method and ignores the reply.
func (b *Broadcaster) Notification(method string, message any) func(context.Context, membership.Member) error {
	return func(ctx context.Context, member membership.Member) error {
		var reply struct{}
		return b.Peers.Call(ctx, member.RPCAddress, method, message, &reply)
	}
}

// start runs a call to a daemon on a worker.
func (b *Broadcaster) start(member membership.Member, call func(context.Context, membership.Member) error) {
	b.Workers.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, b.Timeout)
		defer cancel()
		if err := call(ctx, member); err != nil {
			b.Log.WithError(err).WithField("daemon", member.Name).Info("Call to a daemon failed.")
		}
	})
}
