// Package broadcast calls all other daemons that have a session.
package broadcast

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

// Broadcaster calls the other daemons that have a session.
type Broadcaster struct {
	Session contract.Session
	Peers   contract.Peers
	Workers *kernel.Workers
	Log     *logrus.Entry
	// Timeout bounds each call.
	Timeout time.Duration
}

// Notify calls a net/rpc method of all other daemons concurrently and does not wait for
// the replies. Failed calls are logged and not retried, so the receivers must tolerate a
// lost message.
func (b *Broadcaster) Notify(method string, message any) {
	b.ForEach(func(ctx context.Context, member contract.Member) error {
		var reply struct{}
		return b.Peers.Call(ctx, member.RPCAddress, method, message, &reply)
	})
}

// ForEach calls a function for each other daemon, each on its own worker, and does not
// wait for them to return. Errors are logged.
func (b *Broadcaster) ForEach(call func(ctx context.Context, member contract.Member) error) {
	view := b.Session.View().Load()
	for name, member := range view.Live {
		if name == view.Self.Name {
			continue
		}
		b.Workers.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, b.Timeout)
			defer cancel()
			if err := call(ctx, member); err != nil {
				b.Log.WithError(err).WithField("daemon", member.Name).Info("Call to a daemon failed.")
			}
		})
	}
}
