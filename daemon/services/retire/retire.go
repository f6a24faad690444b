// Package retire implements the service "control.retire", which responds to the
// operator's orders to drain a storage host. Such a host holds no durable data, so it is
// drained at once.
package retire

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/daemon/config"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
	"github.com/flamingobeam/flamingobeam/outside"
	"github.com/flamingobeam/flamingobeam/platform"
)

func init() {
	kernel.Register(contract.NameRetire, func() kernel.Service { return &service{} })
}

// retryDelay is the pause before a failed write of the status is retried.
const retryDelay = 500 * time.Millisecond

// watchOptions has no BatchDelay, so that an order is handled at once.
var watchOptions = contract.WatchOptions{PollTimeout: 15 * time.Second}

type service struct {
	kernel.Base
	host    string
	store   contract.TransactionalStore
	log     *logrus.Entry
	workers *kernel.Workers
}

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	daemon, err := kernel.ConfigOf[config.Daemon](ctx)
	if err != nil {
		return err
	}
	s.host, s.log, s.workers = string(daemon.Host), ctx.Log(), ctx.Workers()
	if s.store, err = kernel.Find[contract.TransactionalStore](ctx, contract.NameTransactionalStore); err != nil {
		return err
	}
	s.store.WatchPrefix(platform.RetirePrefix, watchOptions, s.handleOrders)
	return nil
}

// handleOrders starts the response to orders for this host. It runs on the control
// goroutine.
func (s *service) handleOrders(changes contract.News) {
	for _, record := range changes.Records {
		if !record.Removed && strings.TrimPrefix(record.Key, platform.RetirePrefix) == s.host {
			s.log.WithField("revision", record.Revision).Info("Received an order to drain this host; it holds no durable data.")
			s.workers.Go(s.writeStatus)
		}
	}
}

// writeStatus writes that this host is drained. It retries until the write succeeds or
// conflicts, or ctx ends.
func (s *service) writeStatus(ctx context.Context) {
	write := outside.Write{Key: platform.RetireStatusPrefix + s.host, Value: platform.EncodeRetireStatus(true)}
	for ctx.Err() == nil {
		_, err := s.store.Commit(ctx, outside.Transaction{Writes: []outside.Write{write}})
		if err == nil || errors.Is(err, outside.ErrConflict) {
			return
		}
		s.log.WithError(err).Warn("Failed to write the retire status.")
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}
