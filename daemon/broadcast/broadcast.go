// Package broadcast makes the same call to all other daemons that have a session.
package broadcast

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// Broadcaster makes calls to the other daemons.
type Broadcaster struct {
	Session contract.Session
	Peers   contract.Peers
	Workers *kernel.Workers
	Log     *logrus.Entry
	// Timeout bounds each call.
	Timeout time.Duration
}

// Notify calls a method of each other daemon at once and does not wait. A daemon
// that does not hear it is named in the log; the message must be one that it can
// do without.
func (o *Broadcaster) Notify(method string, message any) {
	o.ForEach(func(ctx context.Context, member contract.Member) error {
		var reply struct{}
		return o.Peers.Call(ctx, member.RPCAddress, method, message, &reply)
	})
}

// ForEach has a function called for each other daemon, each on a worker of its own,
// and does not wait.
func (o *Broadcaster) ForEach(ask func(ctx context.Context, member contract.Member) error) {
	view := o.Session.View().Load()
	for name, member := range view.Live {
		if name == view.Self.Name {
			continue
		}
		o.Workers.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, o.Timeout)
			defer cancel()
			if err := ask(ctx, member); err != nil {
				o.Log.WithError(err).WithField("daemon", member.Name).Info("A daemon does not answer.")
			}
		})
	}
}
